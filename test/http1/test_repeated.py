"""A repeated request is answered as any other, though known heads are not parsed again."""

from dataclasses import replace

import pytest
from twisted.internet.error import ConnectionDone

from jackdawsail.http1.client import ClientChannel
from test.http1.ends import Transport
from test.http1.test_client import OK, REQUEST, Owner, lose_connection

REPEATED = replace(REQUEST, is_repeated=True)
CLOSING = OK.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'
NEXT_ANSWERS = {
    'the same': [OK],
    'another body': [OK.replace(b'ok', b'no')],
    'another head': [OK.replace(b'200', b'503')],
    'closing': [CLOSING],
    'in pieces': [OK[:10], OK[10:-1], OK[-1:]],
    'cut after the head': [OK[:-2]],
    'cut in the body': [OK[:-1]],
    'with bytes behind it': [OK + b'x'],
    'two at once': [OK + OK],
    'garbled': [b'x' + OK],
    'empty head': [b'\r\n\r\n'],
    'in chunks': [CHUNKED],
    'interim first': [b'HTTP/1.1 103 Early\r\n\r\n' + OK],
    'nothing': [],
}


def answers(request, first, pieces):
    """Returns what the owners of three requests see; then the connection closes."""
    channel = ClientChannel('peer')
    channel.makeConnection(Transport())
    owners = []
    for received in ([first], pieces, [OK]):
        if channel.request_count and not channel.reusable:
            break
        owners.append(Owner())
        channel.send(request, owners[-1])
        for piece in received:
            if owners[-1].ends != ['garbled']:
                channel.dataReceived(piece)
    lose_connection(channel, ConnectionDone())
    sent = channel.transport.value(), channel.transport.aborted
    return [(each.heads, each.body, each.ends) for each in owners], sent


@pytest.mark.parametrize('first', [OK, CHUNKED, CLOSING], ids=['length', 'chunks', 'closing'])
@pytest.mark.parametrize('pieces', NEXT_ANSWERS.values(), ids=NEXT_ANSWERS)
def test_repeated_request_is_answered_as_any_other(first, pieces):
    # Guards against an answer that is accepted, or a connection kept, only for its known head.
    assert answers(REPEATED, first, pieces) == answers(REQUEST, first, pieces)


def test_another_object_with_the_same_content_is_not_answered_by_known_heads():
    channel, owner = ClientChannel('peer'), Owner()
    channel.makeConnection(Transport())
    channel.send(REPEATED, owner)
    channel.dataReceived(OK)
    channel.send(replace(REPEATED, target=b'/other'), owner)
    assert not channel._repeated.is_awaited
