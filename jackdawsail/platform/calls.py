"""Decodes calls to the HTTP interfaces of control hosts and entries, and encodes answers."""

from functools import singledispatchmethod
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec
from returns.result import Failure

from jackdawsail.group import calls
from jackdawsail.http1.messages import JSON_BODY, HttpAnswer, HttpRequest
from jackdawsail.platform.documents import content_digest, decode_document
from jackdawsail.platform.fields import UNREADABLE_JSON
from jackdawsail.platform.registrations import decode_registration
from jackdawsail.site.document import document_faults

_INSTANCES_PATH = '/api/instances/'
_EVACUATION_PATH = '/api/evacuation/'


class _WeightVersion(msgspec.Struct):
    model: str
    # The version of the weights, not of the configuration.
    version: int


def decode_call(request: HttpRequest) -> calls.Call:
    """Decodes one call; returns InvalidCall or UnknownCall if that is not possible."""
    try:
        split = urlsplit(request.target.decode('latin-1'))
    except ValueError:
        return calls.UnknownCall()
    path = split.path
    method = request.method.decode('latin-1')
    fixed_path_decoder = _FIXED_PATH_CALLS.get((method, path))
    if fixed_path_decoder is not None:
        return fixed_path_decoder(request, split.query)
    if path.startswith(_INSTANCES_PATH):
        return _instance_call(method, unquote(path.removeprefix(_INSTANCES_PATH)), request.body)
    if path.startswith(_EVACUATION_PATH) and method in {'POST', 'DELETE'}:
        zone = unquote(path.removeprefix(_EVACUATION_PATH))
        return calls.SetZoneEmptied(zone, emptied=method == 'POST')
    return calls.UnknownCall()


def _instance_call(method: str, upstream: str, body: bytes) -> calls.Call:
    if method == 'DELETE':
        return calls.Deregister(upstream)
    if method != 'PUT':
        return calls.UnknownCall()
    outcome = decode_registration(upstream, body)
    if isinstance(outcome, Failure):
        return calls.InvalidCall(outcome.failure())
    return calls.Heartbeat(outcome.unwrap())


def _put_config(request: HttpRequest, _query: str) -> calls.Call:
    outcome = decode_document(request.body)
    if isinstance(outcome, Failure):
        return calls.InvalidCall(outcome.failure())
    document = outcome.unwrap()
    faults = document_faults(document)
    if faults:
        return calls.InvalidCall('; '.join(faults[:3]))
    try:
        digest = content_digest(request.body)
    except UNREADABLE_JSON as error:
        # In a part that the document does not use, and which was skipped.
        return calls.InvalidCall(f'configuration cannot be read: {error}')
    return calls.PutDocument(document, digest, request.body)


def _get_config(_request: HttpRequest, _query: str) -> calls.Call:
    return calls.ReadDocument()


def _put_version(request: HttpRequest, _query: str) -> calls.Call:
    try:
        weights = msgspec.json.decode(request.body, type=_WeightVersion)
    except UNREADABLE_JSON as error:
        return calls.InvalidCall(str(error))
    return calls.AnnounceWeights(weights.model, weights.version)


def _find_entries(_request: HttpRequest, query: str) -> calls.Call:
    parameters = parse_qs(query)
    return calls.FindEntries(parameters.get('region', [''])[0], parameters.get('zone', [''])[0])


def _check_readiness(_request: HttpRequest, _query: str) -> calls.Call:
    return calls.CheckReadiness()


_FIXED_PATH_CALLS = {
    ('PUT', '/api/config'): _put_config,
    ('GET', '/api/config'): _get_config,
    ('POST', '/api/version-put'): _put_version,
    ('GET', '/api/resolve'): _find_entries,
    ('GET', '/api/ready'): _check_readiness,
}


class AnswerEncoder:
    """Encodes answers; ``control_port`` is the port of all control hosts, for redirects."""

    def __init__(self, control_port: int = 0) -> None:
        self._control_port = control_port

    def encode(self, answer: calls.Answer, target: bytes) -> HttpAnswer:
        """Encodes the answer to a call whose request target was ``target``."""
        return self._encode(answer, target)

    @singledispatchmethod
    def _encode(self, answer: calls.Answer, _target: bytes) -> HttpAnswer:
        raise AssertionError(f'{type(answer).__name__} has no encoding')

    @_encode.register
    def _encode_done(self, _answer: calls.Done, _target: bytes) -> HttpAnswer:
        return _json(200, {})

    @_encode.register
    def _encode_invalid(self, answer: calls.Invalid, _target: bytes) -> HttpAnswer:
        return _json(400, {'error': answer.reason})

    @_encode.register
    def _encode_conflict(self, answer: calls.Conflict, _target: bytes) -> HttpAnswer:
        return _json(409, {'error': answer.reason})

    @_encode.register
    def _encode_unavailable(self, answer: calls.Unavailable, _target: bytes) -> HttpAnswer:
        return _json(503, {'error': answer.reason})

    @_encode.register
    def _encode_not_found(self, _answer: calls.NotFound, _target: bytes) -> HttpAnswer:
        return _json(404, {'error': 'no such call'})

    @_encode.register
    def _encode_ask_host(self, answer: calls.AskHost, target: bytes) -> HttpAnswer:
        location = f'http://{answer.host}:{self._control_port}'.encode() + target
        return HttpAnswer(307, b'{}', (JSON_BODY, (b'Location', location)))

    @_encode.register
    def _encode_document(self, answer: calls.DocumentFound, _target: bytes) -> HttpAnswer:
        return HttpAnswer(200, answer.body, (JSON_BODY,))

    @_encode.register
    def _encode_entries(self, answer: calls.EntriesFound, _target: bytes) -> HttpAnswer:
        content = {'addresses': list(answer.addresses), 'ttl_s': answer.valid_seconds}
        return _json(200, content)


def _json(status: int, content: object) -> HttpAnswer:
    return HttpAnswer(status, msgspec.json.encode(content), (JSON_BODY,))
