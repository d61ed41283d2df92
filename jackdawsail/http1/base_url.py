"""The base URL of an HTTP server, and the requests below it.

Example::

    base_url = parse_base_url('http://127.0.0.1:9000/engine')
    base_url.make_request('GET', '/state').target == b'/engine/state'
"""

from dataclasses import dataclass
from urllib.parse import urlsplit

from jackdawsail.errors import UserError
from jackdawsail.http1.messages import Headers, HttpRequest, make_request

DEFAULT_PORTS = {'http': 80, 'https': 443}


@dataclass(frozen=True, slots=True)
class BaseUrl:
    """Where a server listens (``address`` is host and port) and the prefix of its paths."""

    address: str
    path_prefix: str
    uses_tls: bool = False

    def make_request(
        self, method: str, path: str, headers: Headers = (), body: bytes = b''
    ) -> HttpRequest:
        """Makes a request for a path below the URL."""
        target = f'{self.path_prefix}{path}'.encode()
        return make_request(method.encode(), self.address, target, headers, body)


def parse_base_url(url: str) -> BaseUrl:
    """Parses an http or https URL; raises UserError for any other."""
    try:
        split = urlsplit(url)
        port = split.port or DEFAULT_PORTS.get(split.scheme)
    except ValueError as error:
        raise UserError(f'{url} is not a usable URL: {error}') from None
    if split.scheme not in DEFAULT_PORTS or not split.hostname:
        raise UserError(f'{url} is not a usable URL: http://HOST:PORT is expected')
    path_prefix = split.path.rstrip('/')
    return BaseUrl(f'{split.hostname}:{port}', path_prefix, split.scheme == 'https')
