"""How fast an engine reads prompts, from the times to the first tokens of its answers."""

from dataclasses import dataclass

SMOOTHING = 0.05  # weight of the newest prompt
MIN_PROMPT_TOKENS = 64  # a shorter prompt shows the first pass rather than the reading


@dataclass(slots=True)
class ReadSpeed:
    """Smoothed tokens and seconds of the prompts read.

    Prompts whose beginning the engine holds count too, so that the speed is too high rather than
    too low, and less is expected to be saved.
    """

    _tokens: float = 0
    _seconds: float = 0

    @property
    def tokens_per_second(self) -> float:
        """Returns the speed; 0 before the first prompt."""
        return self._tokens / self._seconds if self._seconds > 0 else 0

    def record(self, prompt_tokens: int, first_seconds: float) -> None:
        """Records the time from the dispatch of a prompt to its first tokens."""
        if prompt_tokens < MIN_PROMPT_TOKENS or first_seconds <= 0:
            return
        weight = SMOOTHING if self._seconds else 1
        self._tokens += weight * (prompt_tokens - self._tokens)
        self._seconds += weight * (first_seconds - self._seconds)
