"""A transport and a reactor in memory for tests of HTTP connections."""

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from jackdawsail.http1.channel_pool import RefusalCheck


class Transport(StringTransport):
    """A transport that records an abort and a close."""

    aborted = False
    closed = False

    def setTcpNoDelay(self, enabled):
        pass

    def registerProducer(self, producer, streaming):
        pass

    def unregisterProducer(self):
        pass

    def abortConnection(self):
        self.aborted = True

    def loseConnection(self):
        self.closed = True

    def take_written(self):
        written = self.value()
        self.clear()
        return written


class Reactor(Clock):
    """Records connection attempts in ``pending_connects``; the test opens or refuses each of them.

    Those that only check whether an address refuses connections are in ``pending_checks``.
    """

    def __init__(self):
        super().__init__()
        self.pending_connects = []
        self.pending_checks = []

    def connectTCP(self, host, port, factory, timeout, bind):
        is_check = isinstance(factory, RefusalCheck)
        pending = self.pending_checks if is_check else self.pending_connects
        pending.append((f'{host}:{port}', factory))
        return self

    def disconnect(self):
        pass

    def accept(self):
        """Opens the oldest requested connection and returns its channel."""
        _address, factory = self.pending_connects.pop(0)
        channel = factory.buildProtocol(None)
        channel.makeConnection(Transport())
        return channel


def reset(channel):
    channel.connectionLost(Failure(ConnectionLost()))


def close(channel):
    channel.connectionLost(Failure(ConnectionDone()))
