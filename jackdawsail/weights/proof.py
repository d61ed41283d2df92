"""Headers of a chunk request: the proof of the site secret, and the wanted pace.

Pacing at the sender keeps bursts off the link, which the receiver alone cannot.
"""

import hashlib
import hmac

PROOF_HEADER = 'Jackdawsail-Proof'
RATE_HEADER = 'Jackdawsail-Bits-Per-Second'


def chunk_proof(secret: bytes, digest: str) -> str:
    """Makes the proof for one chunk; it gives nothing but that chunk."""
    return hmac.new(secret, f'chunk {digest}'.encode(), hashlib.sha256).hexdigest()


def check_chunk_proof(secret: bytes, digest: str, received: str) -> bool:
    """Compares in constant time."""
    return hmac.compare_digest(chunk_proof(secret, digest), received)
