"""The text that a fake engine generates: a function of prompt and release digest.

A caller that knows both can verify that an answer is complete and its own.
"""

import hashlib

DIGEST_CHARACTERS = 12


def answer_token(prompt: str, release_digest: str, position: int) -> str:
    """Returns the token at a position, counted from zero."""
    return f'{_answer_digest(prompt, release_digest)}.{position} '


def answer_text(prompt: str, release_digest: str, tokens: int, start: int = 0) -> str:
    """Returns the tokens from position ``start`` up to, but not including, ``tokens``."""
    digest = _answer_digest(prompt, release_digest)
    return ''.join(f'{digest}.{position} ' for position in range(start, tokens))


def _answer_digest(prompt: str, release_digest: str) -> str:
    digest = hashlib.sha256(f'{release_digest}\n{prompt}'.encode()).hexdigest()
    return digest[:DIGEST_CHARACTERS]
