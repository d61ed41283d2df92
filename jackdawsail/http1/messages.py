"""HTTP requests and answers as values."""

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
    """A whole request; ``headers`` keep their order and spelling."""

    method: bytes
    target: bytes
    headers: Headers = ()
    body: bytes = b''

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header, given in lower case; empty without one."""
        return first_value(self.headers, name)


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole answer of our own."""

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
        """Returns the first value of a header, given in lower case; empty without one."""
        return first_value(self.headers, name)


def first_value(headers: Headers, name: bytes) -> bytes:
    """Returns the first value of a header, given in lower case; empty without one."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return b''


def end_to_end_headers(headers: Headers) -> Headers:
    """Returns the headers that concern more than one connection."""
    named = first_value(headers, b'connection').lower()
    dropped = {part.strip() for part in named.split(b',')} | HOP_BY_HOP
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)
