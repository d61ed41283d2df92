"""Smoothed interval between the completions of a busy upstream."""

SMOOTHING = 0.1  # weight of the newest interval


class CompletionInterval:
    """Estimates from past completions how soon the next slot becomes free."""

    def __init__(self) -> None:
        self.mean_seconds: float = 0
        self._last_seconds: float | None = None

    def completed(self, now_seconds: float, busy: bool) -> None:
        """Records a completion; an interval counts only if requests waited at both its ends."""
        last_seconds = self._last_seconds
        self._last_seconds = now_seconds if busy else None
        if last_seconds is None or not busy:
            return
        gap_seconds = now_seconds - last_seconds
        if not self.mean_seconds:
            self.mean_seconds = gap_seconds
        self.mean_seconds += SMOOTHING * (gap_seconds - self.mean_seconds)
