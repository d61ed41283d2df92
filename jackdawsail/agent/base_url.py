"""The base URL of the upstream on this host, and the requests below it.

Example::

    base_url = parse_base_url('http://127.0.0.1:9000/engine')
    base_url.make_request('GET', '/state', (), b'').target == b'/engine/state'
"""

from dataclasses import dataclass
from urllib.parse import urlsplit

from jackdawsail.errors import UserError
from jackdawsail.http1.messages import Headers, HttpRequest

DEFAULT_PORT = 80
BODILESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE'))


@dataclass(frozen=True, slots=True)
class BaseUrl:
    """Where an upstream listens (``address`` is host and port) and the prefix of its paths."""

    address: str
    path_prefix: str

    def make_request(self, method: str, path: str, headers: Headers, body: bytes) -> HttpRequest:
        """Makes a request that is the only one on its connection."""
        all_headers = ((b'Host', self.address.encode()), (b'Connection', b'close'), *headers)
        if body or method not in BODILESS_METHODS:
            all_headers += ((b'Content-Length', str(len(body)).encode()),)
        target = f'{self.path_prefix}{path}'.encode()
        return HttpRequest(method.encode(), target, all_headers, body)


def parse_base_url(url: str) -> BaseUrl:
    """Parses a URL without TLS; raises UserError for any other."""
    split = urlsplit(url)
    try:
        port = split.port or DEFAULT_PORT
    except ValueError as error:
        raise UserError(f'{url} is no usable address of an upstream: {error}') from None
    if split.scheme != 'http' or not split.hostname:
        raise UserError(f'{url} is no usable address of an upstream: http://HOST:PORT is expected')
    return BaseUrl(f'{split.hostname}:{port}', split.path.rstrip('/'))
