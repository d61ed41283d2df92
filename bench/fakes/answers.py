"""The text that a fake engine generates: a function of prompt and release digest.

A caller that knows both can tell its own whole answer from any other.
"""

import hashlib

MARK_CHARACTERS = 12


def answer_token(prompt: str, release_digest: str, position: int) -> str:
    """Returns the token at a position, counted from zero."""
    return f'{_mark(prompt, release_digest)}.{position} '


def answer_text(prompt: str, release_digest: str, tokens: int, start: int = 0) -> str:
    """Returns the answer from the token ``start`` up to ``tokens`` in all."""
    mark = _mark(prompt, release_digest)
    return ''.join(f'{mark}.{position} ' for position in range(start, tokens))


def _mark(prompt: str, release_digest: str) -> str:
    whole = hashlib.sha256(f'{release_digest}\n{prompt}'.encode()).hexdigest()
    return whole[:MARK_CHARACTERS]
