"""Value types of HTTP requests and answers, and helpers for headers."""

from dataclasses import dataclass
from enum import StrEnum

Headers = tuple[tuple[bytes, bytes], ...]

CLOSE = (b'Connection', b'close')
JSON_BODY = (b'Content-Type', b'application/json')
LARGE_BODY_BYTES = 16_384
BODILESS_METHODS = frozenset((b'GET', b'HEAD', b'DELETE'))
BODILESS_STATUSES = frozenset((204, 304))
SUCCESS_STATUSES = range(200, 300)
FINAL_STATUSES = range(200, 600)  # RFC 9110, section 15; an answer with another one is broken

HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


class Framing(StrEnum):
    """What tells the receiver of an answer where its body ends (RFC 9112, section 6.3).

    ``length`` covers answers that never have a body. With ``connection`` the body ends when
    the upstream closes the connection, so that nothing but the content shows a truncation.
    """

    length = 'length'
    chunks = 'chunks'
    connection = 'connection'


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; ``headers`` keep their order and the case of their names.

    ``is_repeated`` is true for one that is sent again and again, whose answers are alike.
    """

    method: bytes
    target: bytes
    headers: Headers = ()
    body: bytes = b''
    is_repeated: bool = False

    def header(self, name: bytes) -> bytes:
        """Returns the first value of the header ``name`` (lower case), or empty bytes."""
        return first_value(self.headers, name)

    def without_large_body(self) -> 'HttpRequest':
        """Returns the request without its body if that is large, else the request itself.

        The owners of an ended request refer to each other, and their garbage is collected late.
        """
        if len(self.body) <= LARGE_BODY_BYTES:
            return self
        return HttpRequest(self.method, self.target, self.headers)


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete answer that this process makes; the length header is added on sending."""

    status: int
    body: bytes = b''
    headers: Headers = ()


@dataclass(frozen=True, slots=True)
class HttpAnswerHead:
    """The status line and headers of an upstream's answer."""

    status: int
    reason: bytes
    headers: Headers
    framing: Framing = Framing.length

    def header(self, name: bytes) -> bytes:
        """Returns the first value of the header ``name`` (lower case), or empty bytes."""
        return first_value(self.headers, name)


def make_request(
    method: bytes, address: str, target: bytes, headers: Headers = (), body: bytes = b''
) -> HttpRequest:
    """Makes a request to ``host:port`` with the headers that its framing needs."""
    all_headers = ((b'Host', address.encode()), *headers)
    if body or method not in BODILESS_METHODS:
        all_headers += ((b'Content-Length', str(len(body)).encode()),)
    return HttpRequest(method, target, all_headers, body)


def first_value(headers: Headers, name: bytes) -> bytes:
    """Returns the first value of the header ``name`` (lower case), or empty bytes."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return b''


def framing_of(method: bytes, status: int, headers: Headers) -> Framing:
    """Returns the framing of the answer to a request with this method."""
    if method == b'HEAD' or status in BODILESS_STATUSES:
        return Framing.length
    if first_value(headers, b'transfer-encoding'):
        return Framing.chunks
    if first_value(headers, b'content-length'):
        return Framing.length
    return Framing.connection


def end_to_end_headers(headers: Headers) -> Headers:
    """Returns the headers without the hop-by-hop ones, which concern one connection only."""
    connection_options = first_value(headers, b'connection').lower()
    hop_by_hop = {part.strip() for part in connection_options.split(b',')} | HOP_BY_HOP
    return tuple(pair for pair in headers if pair[0].lower() not in hop_by_hop)
