"""Who a process is, and the proof of it by an HMAC of the site secret.

Both ends of a link send a random nonce and the HMAC-SHA-256 of both nonces and
the identity that they claim. A recorded exchange is of no use to a third party,
because the other side chooses its nonce anew for every link.
"""

import hashlib
import hmac
from dataclasses import dataclass
from enum import StrEnum

import cbor2

from jackdawsail.wire.codec import as_plain, message


class Role(StrEnum):
    """The program at one end of a link."""

    control = 'control'
    relay = 'relay'
    entry = 'entry'
    agent = 'agent'


@dataclass(frozen=True, slots=True)
class Identity:
    """Names a process: its role, its host, its data centre and this run of it.

    ``incarnation`` is a random number drawn at each start, which tells a
    restarted process from its former self.
    """

    role: Role
    name: str
    zone: str
    region: str
    incarnation: int


@message('challenge')
class Challenge:
    """First frame of the accepting side."""

    nonce: bytes


@message('introduce')
class Introduce:
    """First frame of the connecting side, with its proof."""

    identity: Identity
    nonce: bytes
    proof: bytes


@message('welcome')
class Welcome:
    """Ends the handshake with the accepting side's proof."""

    identity: Identity
    proof: bytes


def make_proof(secret: bytes, identity: Identity, own_nonce: bytes, peer_nonce: bytes) -> bytes:
    """Computes the proof that an identity knows the site secret."""
    body = cbor2.dumps([as_plain(identity), own_nonce, peer_nonce])
    return hmac.new(secret, body, hashlib.sha256).digest()


def check_proof(expected: bytes, received: bytes) -> bool:
    """Compares two proofs in constant time."""
    return hmac.compare_digest(expected, received)
