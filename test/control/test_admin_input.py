"""Malformed, oversized and hostile administration input yields a problem, never an exception."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success
from twisted.internet.task import Clock
from twisted.web.resource import Resource

from jackdawsail.control.admin_commands import COMMAND_TYPES, parse_command
from jackdawsail.control.admin_http import MAX_BODY_BYTES, make_site
from jackdawsail.state.draft import Draft
from jackdawsail.state.machine import run_command
from test.entry.test_parsers import Transport

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=6,
)
FIELDS = st.sampled_from(['name', 'backend', 'zone', 'backends', 'document', 'weight', 'role'])


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.sampled_from([*COMMAND_TYPES, 'apply', 'nothing']),
    st.dictionaries(FIELDS, JSON | st.just('quill'), max_size=4),
)
def test_any_json_is_a_command_or_a_problem(kind, fields):
    raw = json.dumps({'request_id': 'r', 'kind': kind, **fields}).encode()
    parsed = parse_command(raw)
    if isinstance(parsed, Success):
        run_command(parsed.unwrap().body, Draft({}, {}))
    else:
        assert parsed.failure().code == 'invalid'


@settings(max_examples=100, derandomize=True)
@given(st.binary(max_size=100))
def test_any_bytes_are_a_problem(raw):
    assert isinstance(parse_command(raw), Failure)


def test_deep_nesting_is_refused_and_similar_names_are_suggested():
    assert isinstance(parse_command(b'[' * 100_000), Failure)
    parsed = parse_command(b'{"request_id": "r", "kind": "customer-put", "wieght": 2}')
    assert "perhaps 'weight' was meant" in parsed.failure().detail


def send_to_admin(framing):
    """Sends the head of a command on a new connection."""
    channel = make_site(Resource(), Clock()).buildProtocol(None)
    channel.makeConnection(Transport())
    channel.dataReceived(b'POST /v1/commands HTTP/1.1\r\nHost: x\r\n' + framing + b'\r\n\r\n')
    return channel


def test_oversized_bodies_end_the_connection():
    declared = send_to_admin(b'Content-Length: %d' % (MAX_BODY_BYTES + 1))
    assert b'413' in declared.transport.value()
    assert declared.transport.disconnecting
    chunked = send_to_admin(b'Transfer-Encoding: chunked')
    eighth_bytes = MAX_BODY_BYTES // 8
    for _ in range(9):
        if not chunked.transport.disconnecting:
            chunked.dataReceived(b'%x\r\n' % eighth_bytes + b'x' * eighth_bytes + b'\r\n')
    assert chunked.transport.disconnecting
