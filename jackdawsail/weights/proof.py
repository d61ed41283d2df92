"""Headers of a chunk request: the proof of the site secret, and the requested rate.

The sender paces the transfer, because the receiver alone cannot keep bursts off
the link.
"""

import hashlib
import hmac

PROOF_HEADER = 'Jackdawsail-Proof'
RATE_HEADER = 'Jackdawsail-Bits-Per-Second'


def chunk_proof(secret: bytes, digest: str) -> str:
    """Returns the proof for one chunk; it authorizes a request for that chunk only."""
    return hmac.new(secret, f'chunk {digest}'.encode(), hashlib.sha256).hexdigest()


def check_chunk_proof(secret: bytes, digest: str, received: str) -> bool:
    """Returns whether a received proof is right; compares in constant time."""
    return hmac.compare_digest(chunk_proof(secret, digest), received)
