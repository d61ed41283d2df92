"""Links over mutual TLS open only with the peer's own certificate of the right authority."""

import datetime

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from twisted.internet.task import Clock
from twisted.protocols.tls import TLSMemoryBIOFactory

from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.link import LinkClientFactory, LinkServerFactory, LinkSettings
from jackdawsail.wire.tls import TlsFiles, make_context
from test.wire.test_link import Recorder, Transport


class Authority:
    """A certificate authority that issues host certificates."""

    def __init__(self, folder, name):
        self.folder = folder
        self.name = name
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.certificate = self._sign(name, self.key.public_key(), is_authority=True)
        (folder / f'{name}.ca').write_bytes(self._pem(self.certificate))

    def issue(self, host):
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(host, key.public_key(), is_authority=False)
        stem = self.folder / f'{self.name}-{host}'
        stem.with_suffix('.crt').write_bytes(self._pem(certificate))
        stem.with_suffix('.key').write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return TlsFiles(
            stem.with_suffix('.crt'), stem.with_suffix('.key'), self.folder / f'{self.name}.ca'
        )

    def _sign(self, common_name, public_key, is_authority):
        def make_name(text):
            return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, text)])

        start = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(make_name(common_name))
            .issuer_name(make_name(self.name))
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(start)
            .not_valid_after(start + datetime.timedelta(days=36500))
            .add_extension(x509.BasicConstraints(ca=is_authority, path_length=None), critical=True)
        )
        return builder.sign(self.key, hashes.SHA256())

    def _pem(self, certificate):
        return certificate.public_bytes(serialization.Encoding.PEM)


def connect(server_files, client_files, client_name='a1'):
    clock = Clock()
    entry, agent = Recorder(), Recorder()
    server_tls, client_tls = make_context(server_files), make_context(client_files)
    server_identity = Identity(Role.entry, 'e1', 'z', 'r', 1)
    client_identity = Identity(Role.agent, client_name, 'z', 'r', 2)
    server = TLSMemoryBIOFactory(
        server_tls,
        isClient=False,
        wrappedFactory=LinkServerFactory(
            LinkSettings(server_identity, b's', tls=server_tls), entry, clock
        ),
        clock=clock,
    ).buildProtocol(None)
    client = TLSMemoryBIOFactory(
        client_tls,
        isClient=True,
        wrappedFactory=LinkClientFactory(
            LinkSettings(client_identity, b's', tls=client_tls), agent, clock
        ),
        clock=clock,
    ).buildProtocol(None)
    client.makeConnection(Transport())
    server.makeConnection(Transport())
    for _ in range(60):
        clock.advance(0)
        for source, target in ((client, server), (server, client)):
            sent = source.transport.value()
            source.transport.clear()
            if sent:
                target.dataReceived(sent)
    return entry, agent


@pytest.fixture
def authority(tmp_path):
    return Authority(tmp_path, 'operators')


def test_certificates_of_one_authority_open_a_link(authority):
    entry, agent = connect(authority.issue('e1'), authority.issue('a1'))
    assert entry.opened[0].peer.name == 'a1'
    assert agent.opened[0].peer.name == 'e1'


def test_certificate_of_another_host_is_refused(authority):
    entry, _agent = connect(authority.issue('e1'), authority.issue('a1'), client_name='a2')
    assert not entry.opened


def test_certificate_of_another_authority_is_refused(authority, tmp_path):
    other_authority = Authority(tmp_path, 'stranger')
    entry, agent = connect(authority.issue('e1'), other_authority.issue('a1'))
    assert not entry.opened
    assert not agent.opened
