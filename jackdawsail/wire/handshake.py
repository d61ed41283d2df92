"""The handshake that authenticates a link: challenge, introduction, welcome.

It does no I/O; the link sends and receives the messages.
"""

import secrets
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from jackdawsail.wire.codec import WireError
from jackdawsail.wire.identity import (
    Challenge,
    Identity,
    Introduce,
    Welcome,
    check_proof,
    make_proof,
)

NONCE_BYTES = 16
_WRONG_SECRET = WireError('peer does not know the site secret')


@dataclass(frozen=True, slots=True)
class HandshakeStep:
    """The message to send next, and the peer once its proof is verified."""

    reply: Introduce | Welcome | None = None
    peer: Identity | None = None


class Handshake:
    """The state of one side of the handshake; ``step`` handles the peer's messages."""

    def __init__(self, identity: Identity, secret: bytes) -> None:
        self._identity = identity
        self._secret = secret
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._peer_nonce = b''
        self._sent_challenge = False

    def challenge(self) -> Challenge:
        """Returns the accepting side's first message."""
        self._sent_challenge = True
        return Challenge(nonce=self._nonce)

    def step(self, received: object) -> Result[HandshakeStep, WireError]:
        """Handles one message of the peer; a failure means that the link must be closed."""
        if isinstance(received, Introduce) and self._sent_challenge:
            return self._check_introduction(received)
        if isinstance(received, Challenge) and not self._sent_challenge and not self._peer_nonce:
            return self._introduce(received)
        if isinstance(received, Welcome) and self._peer_nonce:
            return self._check_welcome(received)
        return Failure(WireError('message out of place in the handshake'))

    def _introduce(self, received: Challenge) -> Result[HandshakeStep, WireError]:
        if len(received.nonce) != NONCE_BYTES or received.nonce == self._nonce:
            return Failure(WireError('bad nonce'))
        self._peer_nonce = received.nonce
        proof = self._make_own_proof()
        return Success(HandshakeStep(reply=Introduce(self._identity, self._nonce, proof)))

    def _check_introduction(self, received: Introduce) -> Result[HandshakeStep, WireError]:
        if len(received.nonce) != NONCE_BYTES or received.nonce == self._nonce:
            return Failure(WireError('bad nonce'))
        self._peer_nonce = received.nonce
        if not self._is_valid_proof(received.identity, received.proof):
            return Failure(_WRONG_SECRET)
        reply = Welcome(self._identity, self._make_own_proof())
        return Success(HandshakeStep(reply=reply, peer=received.identity))

    def _check_welcome(self, received: Welcome) -> Result[HandshakeStep, WireError]:
        if not self._is_valid_proof(received.identity, received.proof):
            return Failure(_WRONG_SECRET)
        return Success(HandshakeStep(peer=received.identity))

    def _make_own_proof(self) -> bytes:
        return make_proof(self._secret, self._identity, self._nonce, self._peer_nonce)

    def _is_valid_proof(self, identity: Identity, proof: bytes) -> bool:
        expected = make_proof(self._secret, identity, self._peer_nonce, self._nonce)
        return check_proof(expected, proof)
