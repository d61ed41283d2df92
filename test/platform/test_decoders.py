"""The decoders accept or reject all input without raising; invalid input registers nothing."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from jackdawsail.budget.limits import make_limits
from jackdawsail.group import calls
from jackdawsail.http1.messages import HttpAnswerHead, HttpRequest, first_value
from jackdawsail.platform import engines, traffic
from jackdawsail.platform.calls import AnswerEncoder, decode_call
from jackdawsail.platform.documents import content_digest, decode_document
from jackdawsail.platform.registrations import decode_registration
from jackdawsail.platform.settings import decode_settings
from jackdawsail.proxy.calls import DispatchDetails
from jackdawsail.routing.rest import MAX_REST_SECONDS
from jackdawsail.site.document import CallKind

ROUTE = {
    'name': 'r',
    'host': 'a.example',
    'path_prefix': '/x/',
    'kind': 'streaming',
    'timeout_ms': 6000,
    'target_latency_ms': 405,
    'service': 's',
    'max_attempts': 2,
    'resumable': True,
    'target_gap_ms': 300,
}
CONFIG = {
    'version': 7,
    'routes': [ROUTE],
    'services': [{'name': 's', 'max_connections': 9}, {'name': 'o', 'origin': '1.2.3.4:5'}],
    'limits': {'max_header_bytes': 100, 'header_timeout_ms': 500},
    'tenants': [{'name': 't', 'api_keys': ['k'], 'priority': 1, 'allowed_regions': []}],
}
HEARTBEAT = {
    'service': 's',
    'address': '10.0.0.9:8080',
    'zone': 'z',
    'slots': 16,
    'state': 'ready',
    'sequence': 4,
    'cold_remaining_ms': 1500,
    'models': [{'name': 'm', 'version': 1}],
    'born': 1700,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=9), inner),
    max_leaves=8,
)


def encode(content):
    return msgspec.json.encode(content)


def call(method, target, body=b''):
    return decode_call(HttpRequest(method, target, (), body))


def test_configuration_is_decoded():
    document = decode_document(encode(CONFIG)).unwrap()
    route = document.routes[0]
    assert (route.kind, route.time_limit_seconds) == (CallKind.stream, 6.0)
    assert route.target_seconds == pytest.approx(0.405)
    assert route.may_repeat
    assert document.origins[0].origin_address == '1.2.3.4:5'
    assert document.limits.head_seconds == pytest.approx(0.5)
    assert document.customers[0].keys == ('k',)


def test_unknown_fields_of_a_configuration_are_ignored():
    with_unknown_fields = {**CONFIG, 'new': 1, 'routes': [{**ROUTE, 'newer': {}}]}
    assert decode_document(encode(with_unknown_fields)) == decode_document(encode(CONFIG))


@pytest.mark.parametrize(
    'changes',
    [
        {'routes': [{**ROUTE, 'kind': 'other'}]},
        {'routes': [{**ROUTE, 'timeout_ms': 'soon'}]},
        {'routes': 5},
        {'version': -1},
        {'version': None},
    ],
)
def test_configuration_with_invalid_fields_is_rejected(changes):
    assert isinstance(decode_document(encode({**CONFIG, **changes})), Failure)


@given(st.data())
def test_truncated_configuration_is_rejected(data):
    body = encode(CONFIG)
    cut = data.draw(st.integers(0, len(body) - 1))
    assert isinstance(call(b'PUT', b'/api/config', body[:cut]), calls.InvalidCall)


def test_inconsistent_configuration_is_rejected_before_it_is_proposed():
    body = encode({**CONFIG, 'routes': [ROUTE, ROUTE]})
    assert 'two routes share' in call(b'PUT', b'/api/config', body).reason


def test_content_digest_ignores_white_space_and_order_of_keys():
    indented = json.dumps(CONFIG, indent=2).encode()
    reversed_keys = json.dumps(dict(reversed(CONFIG.items()))).encode()
    assert (
        content_digest(indented) == content_digest(reversed_keys) == content_digest(encode(CONFIG))
    )
    assert content_digest(encode({**CONFIG, 'version': 8})) != content_digest(indented)


def test_heartbeat_is_decoded():
    registration = call(b'PUT', b'/api/instances/i-7', encode(HEARTBEAT)).registration
    assert (registration.upstream, registration.places) == ('i-7', 16)
    assert registration.cold_seconds == pytest.approx(1.5)
    assert (registration.born_milliseconds, registration.sequence) == (1700, 4)
    assert not registration.leaving


@pytest.mark.parametrize('field', ['service', 'address', 'zone', 'slots', 'state', 'sequence'])
@pytest.mark.parametrize('invalid_value', [None, [], {'a': 1}, True])
def test_heartbeat_with_an_invalid_or_missing_field_is_rejected(field, invalid_value):
    body = encode({**HEARTBEAT, field: invalid_value})
    assert isinstance(decode_registration('i', body), Failure)
    incomplete = {key: value for key, value in HEARTBEAT.items() if key != field}
    assert isinstance(decode_registration('i', encode(incomplete)), Failure)


@given(st.binary(max_size=60) | JSON.map(encode))
def test_decoders_never_raise(body):
    for decoder in (
        decode_document,
        engines.decode_report,
        engines.decode_manifest,
        engines.decode_staged_pieces,
        lambda heartbeat: decode_registration('i', heartbeat),
    ):
        assert isinstance(decoder(body), (Success, Failure))
    assert isinstance(
        call(b'POST', b'/api/version-put', body), (calls.InvalidCall, calls.AnnounceWeights)
    )


@given(st.dictionaries(st.sampled_from(sorted(HEARTBEAT)), JSON))
def test_heartbeat_with_arbitrary_fields_never_raises(changes):
    outcome = decode_registration('i', encode({**HEARTBEAT, **changes}))
    assert isinstance(outcome, (Success, Failure))


def test_other_calls_are_decoded():
    assert call(b'GET', b'/api/config') == calls.ReadDocument()
    assert call(b'DELETE', b'/api/instances/i-7') == calls.Deregister('i-7')
    assert call(b'POST', b'/api/evacuation/z-1') == calls.SetZoneEmptied('z-1', emptied=True)
    assert call(b'DELETE', b'/api/evacuation/z-1') == calls.SetZoneEmptied('z-1', emptied=False)
    body = b'{"model":"m","version":2}'
    assert call(b'POST', b'/api/version-put', body) == calls.AnnounceWeights('m', 2)
    resolve_call = call(b'GET', b'/api/resolve?name=a.example&region=r&zone=z')
    assert resolve_call == calls.FindEntries('r', 'z')
    assert call(b'GET', b'/api/ready') == calls.CheckReadiness()
    for method, target in (
        (b'GET', b'/'),
        (b'PATCH', b'/api/config'),
        (b'GET', b'/api/evacuation/z'),
    ):
        assert call(method, target) == calls.UnknownCall()


def test_answers_are_encoded():
    encoder = AnswerEncoder(8000)
    redirect = encoder.encode(calls.AskHost('10.0.0.4'), b'/api/config')
    assert redirect.status == 307
    assert first_value(redirect.headers, b'location') == b'http://10.0.0.4:8000/api/config'
    entries = encoder.encode(calls.EntriesFound(('10.0.0.1:80',), 2.0), b'/')
    assert json.loads(entries.body) == {'addresses': ['10.0.0.1:80'], 'ttl_s': 2.0}
    statuses = {
        calls.Done(): 200,
        calls.Invalid('x'): 400,
        calls.Conflict('x'): 409,
        calls.Unavailable('x'): 503,
        calls.NotFound(): 404,
        calls.DocumentFound(b'{}'): 200,
    }
    for answer, status in statuses.items():
        assert encoder.encode(answer, b'/').status == status


def make_request(*headers, body=b''):
    return HttpRequest(b'POST', b'/x/', tuple(headers), body)


def test_headers_of_a_caller_are_decoded():
    caller_call = traffic.decode_caller_call(
        make_request(
            (b'Host', b'A.example:80'),
            (b'Attempt-Id', b'id1'),
            (b'Request-Deadline', b'2500'),
            (b'Authorization', b'Token key1'),
            (b'Model', b'm'),
            (b'Token-Usage', b'100,20'),
            (b'Last-Event-Id', b'12'),
        )
    )
    assert (caller_call.host, caller_call.attempt, caller_call.key, caller_call.model) == (
        'a.example',
        'id1',
        'key1',
        'm',
    )
    assert (
        caller_call.patience_seconds,
        caller_call.prompt_tokens,
        caller_call.answer_tokens,
    ) == (2.5, 100, 20)
    assert caller_call.last_event == '12'


def test_invalid_headers_count_as_missing():
    caller_call = traffic.decode_caller_call(
        make_request(
            (b'Request-Deadline', b'soon'), (b'Token-Usage', b'?'), (b'Authorization', b'Basic x')
        )
    )
    assert (caller_call.patience_seconds, caller_call.prompt_tokens, caller_call.key) == (0, 0, '')


@pytest.mark.parametrize('value', [b'inf', b'nan', b'-5', b'1e400', b'x', b'inf,inf', b'3,nan'])
def test_invalid_or_non_finite_number_counts_as_missing(value):
    headers = ((b'request-deadline', value), (b'token-usage', value), (b'length-hint', value))
    caller_call = traffic.decode_caller_call(HttpRequest(b'POST', b'/x', headers))
    assert caller_call.patience_seconds == 0
    assert caller_call.answer_tokens == 0
    assert caller_call.likely_answer_tokens == 0


def test_system_headers_are_never_copied_from_the_caller():
    request = make_request(
        (b'Host', b'a.example'),
        (b'Attempt-Id', b'id1'),
        (b'Authorization', b'Token key1'),
        (b'Tenant', b'forged'),
        (b'tenant', b'forged'),
        (b'Expect-Instance', b'forged'),
        (b'Request-Priority', b'0'),
        (b'Path', b'1.2.3.4:5=0-16'),
        (b'Connection', b'X-Mine'),
        (b'X-Mine', b'1'),
        (b'X-Other', b'2'),
        (b'Transfer-Encoding', b'chunked'),
        body=b'abc',
    )
    details = DispatchDetails('i-1', 1.25, 'real', '7', 2, 3)
    headers = traffic.upstream_headers(request, details)
    names = [name.lower() for name, _value in headers]
    assert len(names) == len(set(names))
    sent = {name.lower(): value for name, value in headers}
    assert sent[b'tenant'] == b'real'
    assert sent[b'expect-instance'] == b'i-1'
    assert sent[b'request-deadline'] == b'1250'
    assert sent[b'request-priority'] == b'3'
    assert sent[b'expect-version'] == b'2'
    assert sent[b'last-event-id'] == b'7'
    assert sent[b'content-length'] == b'3'
    assert sent[b'attempt-id'] == b'id1'
    assert sent[b'x-other'] == b'2'
    assert not {b'authorization', b'x-mine', b'path', b'transfer-encoding'} & sent.keys()


@pytest.mark.parametrize(
    ('status', 'headers', 'not_run'),
    [
        (503, ((b'Not-Executed', b'1'),), True),
        (421, (), True),
        (503, (), False),
        (500, (), False),
        (200, ((b'Weight-Versions', b'3'),), False),
    ],
)
def test_request_counts_as_not_run_only_by_header_or_status_421(status, headers, not_run):
    head = traffic.decode_upstream_head(HttpAnswerHead(status, b'', headers))
    assert head.not_run is not_run


@pytest.mark.parametrize('versions', [b'x', b'', b'\xb2', b'9' * 5000, b'-1'])
def test_unreadable_weight_version_of_an_answer_is_none(versions):
    head = HttpAnswerHead(200, b'', ((b'Weight-Versions', versions),))
    assert traffic.decode_upstream_head(head).weight_version == 0


def test_report_and_piece_list_are_decoded():
    report = {
        'models': [{'name': 'm', 'version': 2, 'adapters': []}],
        'layers': {'from': 0, 'target': 16, 'version': 2},
        'sequence': 3,
        'running': 5,
        'kv_used': 10,
        'kv_total': 40,
    }
    decoded = engines.decode_report(encode(report)).unwrap()
    assert (decoded.version_of('m'), decoded.layers, decoded.orders) == (2, 16, 3)
    assert decoded.memory_share == pytest.approx(0.25)
    piece_list = engines.decode_manifest(b'{"model":"m","version":2,"digests":["aa"]}').unwrap()
    assert piece_list.digests == ('aa',)


SETTINGS = """
node_name=core-1
ip=10.1.0.43
zone=z
region=r
zones.z=r
listen.control=10.1.0.43:8000
internal_ports=7700,7715
seeds=10.1.0.43:8000,10.2.0.39:8000
bootstrap=true
data_dir=/data/x
heartbeat_ms=1200
unknown.deep.key=1
fault_tolerance.machines=1
bounds.cold_multiplier=1.5
bounds.version_ms=8000
"""


def test_settings_file_is_decoded():
    settings = decode_settings(SETTINGS).unwrap()
    assert settings.seed_hosts == ('10.1.0.43', '10.2.0.39')
    assert settings.may_bootstrap
    assert (settings.link_port, settings.data_folder) == (7700, '/data/x')
    assert settings.bounds.weights_seconds == pytest.approx(8.0)
    assert settings.bounds.cold_ratio == pytest.approx(1.5)


@pytest.mark.parametrize('limits', ['', 'limits.memory_mb=0\nlimits.max_fds=0\n'])
def test_missing_and_zero_limits_mean_the_defaults(limits):
    bounds = decode_settings(SETTINGS + limits).unwrap().bounds
    assert make_limits(bounds.memory_megabytes, bounds.max_descriptors) == make_limits(256, 1024)
    assert decode_settings(SETTINGS + 'limits.memory_mb=200\n').unwrap().bounds.memory_megabytes


@pytest.mark.parametrize(
    'text', ['', 'node_name=a', SETTINGS.replace('bootstrap=true', 'bootstrap=perhaps')]
)
def test_invalid_settings_are_rejected(text):
    assert isinstance(decode_settings(text), Failure)


@given(st.text(max_size=80))
def test_settings_decoder_never_raises(text):
    assert isinstance(decode_settings(text), (Success, Failure))


def decode_prompt(value):
    headers = ((b'Prompt-Prefix', value),)
    caller_call = traffic.decode_caller_call(HttpRequest(b'POST', b'/x', headers))
    return caller_call.shared_parts, caller_call.own_part


def test_the_last_part_of_a_prompt_is_its_own_and_the_others_are_shared():
    assert decode_prompt(b'5c1e07a2:800, 91BD3f06:410,e4402b7d:250') == (
        ('5c1e07a2', '91bd3f06'),
        'e4402b7d',
    )
    assert decode_prompt(b'a:1') == ((), 'a')
    assert decode_prompt(b'a:1,a:1,b:2') == (('a',), 'b')


def test_of_a_long_prompt_the_first_parts_and_the_last_are_kept():
    prompt = ','.join(f'p{number}:1' for number in range(5000)).encode()
    shared_parts, own_part = decode_prompt(prompt)
    assert (len(shared_parts), own_part) == (traffic.MAX_PROMPT_PARTS - 1, 'p4999')


@given(st.binary(max_size=80))
def test_any_prompt_and_any_limit_are_decoded_or_left_out(value):
    shared_parts, own_part = decode_prompt(value)
    assert own_part or not shared_parts
    head = HttpAnswerHead(200, b'OK', ((b'Server-Limit', value),))
    limit = traffic.decode_upstream_head(head).limit
    assert (limit is None) == (not value.strip())
    assert limit is None or limit.calls_per_second is None or limit.calls_per_second >= 0


def requested_rest(value, status=503, date=b''):
    headers = ((b'Retry-After', value), (b'Date', date))
    decoded = traffic.decode_upstream_head(HttpAnswerHead(status, b'X', headers))
    return decoded.rest and decoded.rest.rest_seconds


@pytest.mark.parametrize(
    ('value', 'rest_seconds'),
    [
        (b'3', 3),
        (b' 0.25 ', 0.25),
        (b'.5', 0.5),
        (b'0', 0),
        (b'999999999999', MAX_REST_SECONDS),
        (b'9' * 400, MAX_REST_SECONDS),
        (b'-1', None),
        (b'1e3', None),
        (b'inf', None),
        (b'soon', None),
        (b'', None),
    ],
)
def test_rest_that_a_refusal_asks_for_is_decoded(value, rest_seconds):
    assert requested_rest(value) == rest_seconds


@pytest.mark.parametrize(
    ('date', 'rest_seconds'),
    [
        (b'Fri, 04 Dec 2026 15:00:00 GMT', 4),
        (b'Fri, 04 Dec 2026 15:00:09 GMT', 0),
        (b'', None),
        (b'yesterday', None),
    ],
)
def test_a_date_to_rest_until_counts_from_the_date_of_the_answer(date, rest_seconds):
    assert requested_rest(b'Fri, 04 Dec 2026 15:00:04 GMT', date=date) == rest_seconds


@pytest.mark.parametrize('status', [200, 421, 500])
def test_only_a_refusal_asks_for_rest(status):
    assert requested_rest(b'3', status) is None


@pytest.mark.parametrize(('value', 'is_leaving'), [(b'1', True), (b'0', False), (b'', False)])
def test_an_answer_says_whether_the_upstream_is_leaving(value, is_leaving):
    head = HttpAnswerHead(200, b'OK', ((b'Server-Leaving', value),))
    assert traffic.decode_upstream_head(head).is_leaving == is_leaving


@given(st.binary(max_size=40), st.binary(max_size=40))
def test_any_rest_and_date_are_decoded_or_left_out(value, date):
    rest_seconds = requested_rest(value, date=date)
    assert rest_seconds is None or 0 <= rest_seconds <= MAX_REST_SECONDS
