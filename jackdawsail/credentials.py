"""The site secret and the TLS certificates of a process, from its settings."""

from pathlib import Path
from typing import Any

from jackdawsail.errors import UserError
from jackdawsail.settings.models import Settings
from jackdawsail.wire.tls import TlsFiles, make_context


def read_site_secret(settings: Settings) -> bytes:
    """Returns the site secret, which may be empty only if the host's address is loopback.

    The content of ``site_secret_file`` takes precedence. Raises UserError.
    """
    security = settings.security
    secret = security.site_secret
    if security.site_secret_file:
        secret = Path(security.site_secret_file).read_text('utf8').strip()
    host = settings.host
    if not secret and host is not None and not host.address.startswith('127.'):
        raise UserError('security.site_secret is required on all addresses except loopback')
    return secret.encode()


def make_tls_context(settings: Settings) -> Any:
    """Makes the TLS context of the links; returns None if no certificate is configured."""
    security = settings.security
    if not security.certificate_file:
        return None
    files = TlsFiles(
        Path(security.certificate_file), Path(security.key_file), Path(security.authority_file)
    )
    try:
        return make_context(files)
    except Exception as error:  # noqa: BLE001 - the library raises its own exception types
        raise UserError(f'security certificates cannot be used: {error}') from None
