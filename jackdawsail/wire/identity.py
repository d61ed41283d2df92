"""Identities of processes, and their proof by an HMAC with the site secret.

Each end of a link sends a random nonce and the HMAC-SHA-256 of both nonces and
the identity that it claims. A recorded handshake cannot be replayed, because the
other side chooses a new nonce for every link.
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
    """Identifies one run of a process by its role, host, data centre and incarnation.

    ``incarnation`` is a random number chosen at each start, so that peers can tell a
    restarted process from the earlier run.
    """

    role: Role
    name: str
    zone: str
    region: str
    incarnation: int


@message('challenge')
class Challenge:
    """First message of the accepting side, with its nonce."""

    nonce: bytes


@message('introduce')
class Introduce:
    """First message of the connecting side: its identity, nonce and proof."""

    identity: Identity
    nonce: bytes
    proof: bytes


@message('welcome')
class Welcome:
    """Last message of the handshake: the accepting side's identity and proof."""

    identity: Identity
    proof: bytes


def make_proof(secret: bytes, identity: Identity, own_nonce: bytes, peer_nonce: bytes) -> bytes:
    """Computes the proof that the process with this identity knows the site secret."""
    body = cbor2.dumps([as_plain(identity), own_nonce, peer_nonce])
    return hmac.new(secret, body, hashlib.sha256).digest()


def check_proof(expected: bytes, received: bytes) -> bool:
    """Compares two proofs in constant time, so that timing reveals nothing of the expected one."""
    return hmac.compare_digest(expected, received)
