"""Remembers which requests an engine has answered, so that they are not known by crashes only."""

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_REMEMBERED = 2048


@dataclass(slots=True)
class AnsweredRequests:
    """The digests of the requests that were answered last, at most MAX_REMEMBERED.

    Example::

        answered = AnsweredRequests()
        answered.record('5ff5e7301093d862')
        '5ff5e7301093d862' in answered
    """

    _digests: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def __contains__(self, digest: str) -> bool:
        """Returns whether a request was answered recently."""
        return digest in self._digests

    def record(self, digest: str) -> None:
        """Records a request that was answered now."""
        self._digests[digest] = None
        self._digests.move_to_end(digest)
        if len(self._digests) > MAX_REMEMBERED:
            self._digests.popitem(last=False)
