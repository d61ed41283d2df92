"""Limits how many engines of a back end switch to another release at once (pure)."""

from collections.abc import Iterable

PERMIT_SECONDS = 20.0


def switching_limit(max_switching_share: float, engines: int) -> int:
    """Returns how many engines of one data centre may switch at once; at least one."""
    return max(1, int(max_switching_share * engines))


class SwitchPermits:
    """The switch permits of one back end; each expires after ``PERMIT_SECONDS``."""

    def __init__(self) -> None:
        self._expiry_seconds: dict[str, float] = {}
        self._requests: dict[str, str] = {}

    def request(self, agent: str, release: str) -> None:
        """Queues an agent that holds a verified release."""
        self._requests.setdefault(agent, release)
        self._requests[agent] = release

    def adopt(self, agent: str, now: float) -> None:
        """Counts an agent that is switching with a permit of an earlier tracker."""
        self._expiry_seconds.setdefault(agent, now + PERMIT_SECONDS)

    def free(self, agent: str) -> None:
        """Frees the permit of an agent that has switched, failed or left."""
        self._expiry_seconds.pop(agent, None)
        self._requests.pop(agent, None)

    def grant(self, limit: int, releases: Iterable[str], now: float) -> list[tuple[str, str]]:
        """Returns newly permitted (agent, release) pairs, in the order of their requests."""
        self._drop_expired(now)
        granted: list[tuple[str, str]] = []
        active = set(releases)
        for agent, release in list(self._requests.items()):
            may_switch = len(self._expiry_seconds) < limit or agent in self._expiry_seconds
            if not may_switch or release not in active:
                continue
            self._expiry_seconds[agent] = now + PERMIT_SECONDS
            self._requests.pop(agent)
            granted.append((agent, release))
        return granted

    def _drop_expired(self, now: float) -> None:
        expired = [agent for agent, until in self._expiry_seconds.items() if until <= now]
        for agent in expired:
            self._expiry_seconds.pop(agent)
