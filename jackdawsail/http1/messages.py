"""Value types of HTTP requests and answers, and helpers for headers."""

from dataclasses import dataclass

Headers = tuple[tuple[bytes, bytes], ...]

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


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; ``headers`` keep their order and the case of their names."""

    method: bytes
    target: bytes
    headers: Headers = ()
    body: bytes = b''

    def header(self, name: bytes) -> bytes:
        """Returns the first value of the header ``name`` (lower case), or empty bytes."""
        return first_value(self.headers, name)


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

    def header(self, name: bytes) -> bytes:
        """Returns the first value of the header ``name`` (lower case), or empty bytes."""
        return first_value(self.headers, name)


def first_value(headers: Headers, name: bytes) -> bytes:
    """Returns the first value of the header ``name`` (lower case), or empty bytes."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return b''


def end_to_end_headers(headers: Headers) -> Headers:
    """Returns the headers without the hop-by-hop ones, which concern one connection only."""
    connection_options = first_value(headers, b'connection').lower()
    hop_by_hop = {part.strip() for part in connection_options.split(b',')} | HOP_BY_HOP
    return tuple(pair for pair in headers if pair[0].lower() not in hop_by_hop)
