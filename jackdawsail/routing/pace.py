"""Seconds between completions of a busy upstream, smoothed."""

SMOOTHING = 0.1


class CompletionPace:
    """Learns from completions how soon the next place becomes free."""

    def __init__(self) -> None:
        self.seconds_between: float = 0
        self._last_seconds: float | None = None

    def completed(self, now_seconds: float, busy: bool) -> None:
        """Counts one completion; only gaps of a busy time count."""
        last_seconds = self._last_seconds
        self._last_seconds = now_seconds if busy else None
        if last_seconds is None or not busy:
            return
        gap_seconds = now_seconds - last_seconds
        if not self.seconds_between:
            self.seconds_between = gap_seconds
        self.seconds_between += SMOOTHING * (gap_seconds - self.seconds_between)
