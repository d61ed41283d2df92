"""Mutual TLS between processes, with certificates that the operators issue.

Both sides present a certificate signed by the operators' own authority. Its common
name must be the host name that the peer claims in the handshake. Without
certificates, only the HMAC with the site secret authenticates the peer.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cryptography.x509 import NameOID
from twisted.internet import ssl
from twisted.internet.endpoints import SSL4ClientEndpoint


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of the PEM files of a process: its certificate, its key, the authority's certificate."""

    certificate_file: Path
    key_file: Path
    authority_file: Path


def make_context(files: TlsFiles) -> ssl.CertificateOptions:
    """Loads the files into a TLS context that requires a peer certificate of the authority."""
    certificate_and_key = files.certificate_file.read_bytes() + b'\n' + files.key_file.read_bytes()
    own = ssl.PrivateCertificate.loadPEM(certificate_and_key)
    authority = ssl.Certificate.loadPEM(files.authority_file.read_bytes())
    return ssl.CertificateOptions(
        privateKey=own.privateKey.original,
        certificate=own.original,
        trustRoot=ssl.trustRootFromCertificates([authority]),
    )


def peer_common_name(transport: Any) -> str:
    """Returns the common name of the peer's certificate, or an empty string without one."""
    certificate = transport.getPeerCertificate()
    if certificate is None:
        return ''
    subject = certificate.to_cryptography().subject
    names = subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    return str(names[0].value) if names else ''


def make_client_endpoint(
    reactor: Any,
    address: tuple[str, int],
    timeout_seconds: float,
    bind: tuple[str, int] | None,
    tls: Any,
) -> Any:
    """Makes the TLS endpoint of a dialer; ``bind`` is the local address, None for any."""
    host, port = address
    return SSL4ClientEndpoint(reactor, host, port, tls, timeout=timeout_seconds, bindAddress=bind)


def listen(reactor: Any, port: int, interface: str, factory: Any, tls: Any) -> Any:
    """Listens for links, with TLS unless ``tls`` is None; returns the listening port."""
    if tls is None:
        return reactor.listenTCP(port, factory, interface=interface)
    return reactor.listenSSL(port, factory, tls, interface=interface)
