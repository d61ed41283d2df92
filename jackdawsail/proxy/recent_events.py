"""The events that an aborted answer is compared with: a new document, a stop, a silent engine."""

from dataclasses import dataclass

from jackdawsail.proxy import metrics


@dataclass(slots=True)
class RecentEvents:
    """When each event last occurred at this entry; None if it has not.

    ``document_seconds`` is when a site document came into force, ``stop_seconds`` when the stop
    of the process began, ``silence_seconds`` when a stream at a silent engine was last offered to
    another one.
    """

    document_seconds: float | None = None
    stop_seconds: float | None = None
    silence_seconds: float | None = None
    _document_version: int = 0

    def document_applied(self, version: int, now_seconds: float) -> None:
        """Records the document in force, if it is another one than before."""
        if version != self._document_version:
            self._document_version = version
            self.document_seconds = now_seconds

    def ages(self, now_seconds: float) -> dict[str, float | None]:
        """Returns the seconds since each event.

        Example::

            RecentEvents(document_seconds=4.0).ages(6.5)
            == {'document': 2.5, 'stop': None, 'silence': None}
        """
        since = {
            'document': self.document_seconds,
            'stop': self.stop_seconds,
            'silence': self.silence_seconds,
        }
        return {
            event: None if at_seconds is None else round(now_seconds - at_seconds, 3)
            for event, at_seconds in since.items()
        }

    def count_abort(self, reason: str, left: str, now_seconds: float) -> None:
        """Counts an answer whose connection was aborted, and how long after each event it was.

        ``left`` is why the last engine before it was left, empty if none was.
        """
        metrics.ABORTS.labels(reason, left).inc()
        for event, age_seconds in self.ages(now_seconds).items():
            if age_seconds is not None:
                metrics.ABORT_AGE_SECONDS.labels(event).observe(age_seconds)
