"""Whether the host of an address refuses connections, as far as a pool can tell."""

import pytest
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.internet.error import NoRouteError, TimeoutError
from twisted.python.failure import Failure

from jackdawsail.http1.channel_pool import ChannelPool
from test.http1.ends import Reactor, Transport


@pytest.fixture
def check():
    reactor = Reactor()
    answers = []
    ChannelPool(reactor, reactor).check_refused('10.0.0.1:80', answers.append)
    [(address, factory)] = reactor.pending_checks
    assert address == '10.0.0.1:80'
    return reactor, factory, answers


def test_a_host_without_a_listener_refuses(check):
    _reactor, factory, answers = check
    factory.clientConnectionFailed(None, Failure(Refused()))
    assert answers == [True]


@pytest.mark.parametrize('error', [TimeoutError(), NoRouteError()])
def test_a_host_that_does_not_answer_refuses_nothing(check, error):
    _reactor, factory, answers = check
    factory.clientConnectionFailed(None, Failure(error))
    assert answers == [False]


def test_a_connection_that_opens_is_closed_again(check):
    _reactor, factory, answers = check
    connection = factory.buildProtocol(None)
    connection.makeConnection(Transport())
    assert connection.transport.closed
    assert answers == [False]
