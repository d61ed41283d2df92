"""The operators' own interface of a control host: the blocked traits of calls.

``GET /v1/blocks`` lists them, ``DELETE /v1/blocks/TRAIT`` lifts one. Errors are
JSON documents with a ``code`` and a ``detail``.
"""

from dataclasses import dataclass
from functools import singledispatch
from urllib.parse import unquote

import msgspec

from jackdawsail.group import block_calls, calls
from jackdawsail.http1.messages import JSON_BODY, HttpAnswer, HttpRequest

PATH = b'/v1/blocks'


@dataclass(frozen=True, slots=True)
class _OperatorCodec:
    """Decodes and encodes this interface, and leaves all other paths to the site's codec."""

    site: calls.CallCodec

    def decode(self, request: HttpRequest) -> calls.Call:
        """Decodes a call."""
        path, _, trait = request.target.removeprefix(PATH).partition(b'/')
        if path or not request.target.startswith(PATH):
            return self.site.decode(request)
        if request.method == b'GET' and not trait:
            return block_calls.ListBlockedTraits()
        if request.method == b'DELETE' and trait:
            return block_calls.LiftBlockedTrait(unquote(trait.decode('latin-1')))
        return calls.UnknownCall()

    def encode(self, answer: calls.Answer, target: bytes) -> HttpAnswer:
        """Encodes the answer to a call whose request target was ``target``."""
        if not target.startswith(PATH):
            return self.site.encode(answer, target)
        status, content = _content(answer)
        return HttpAnswer(status, msgspec.json.encode(content), (JSON_BODY,))


def with_operator_calls(site: calls.CallCodec) -> calls.CallCodec:
    """Returns a site's codec with this interface added."""
    codec = _OperatorCodec(site)
    return calls.CallCodec(codec.decode, codec.encode)


Content = tuple[int, dict[str, object]]


@singledispatch
def _content(answer: object) -> Content:
    return 404, {'code': 'not-found', 'detail': 'no such blocked trait'}


@_content.register
def _done(answer: calls.Done) -> Content:
    return 200, {}


@_content.register
def _unavailable(answer: calls.Unavailable) -> Content:
    return 503, {'code': 'unavailable', 'detail': answer.reason}


@_content.register
def _ask_host(answer: calls.AskHost) -> Content:
    return 503, {'code': 'not-leader', 'detail': f'the leader is {answer.host}'}


@_content.register
def _found(answer: block_calls.BlockedTraitsFound) -> Content:
    items = [{'trait': trait, 'stored': trait in answer.stored} for trait in answer.traits]
    return 200, {'revision': answer.revision, 'items': items}
