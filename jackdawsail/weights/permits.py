"""How many engines of a back end may change their release at once (pure)."""

from collections.abc import Iterable

PERMIT_SECONDS = 20.0


def switching_limit(max_switching_share: float, engines: int) -> int:
    """Returns the engines of one data centre that may change at once; at least one."""
    return max(1, int(max_switching_share * engines))


class SwitchPermits:
    """The permits of one back end; each lapses by itself after ``PERMIT_SECONDS``."""

    def __init__(self) -> None:
        self._until_seconds: dict[str, float] = {}
        self._asking: dict[str, str] = {}

    def ask(self, agent: str, release: str) -> None:
        """Queues an agent that has a verified release."""
        self._asking.setdefault(agent, release)
        self._asking[agent] = release

    def adopt(self, agent: str, now: float) -> None:
        """Counts an agent that was permitted by a former tracker and is changing."""
        self._until_seconds.setdefault(agent, now + PERMIT_SECONDS)

    def end(self, agent: str) -> None:
        """Frees the permit of an agent that has changed, failed or left."""
        self._until_seconds.pop(agent, None)
        self._asking.pop(agent, None)

    def grant(self, limit: int, releases: Iterable[str], now: float) -> list[tuple[str, str]]:
        """Returns newly permitted (agent, release) pairs, in the order of asking."""
        self._drop_lapsed(now)
        granted: list[tuple[str, str]] = []
        active = set(releases)
        for agent, release in list(self._asking.items()):
            free = len(self._until_seconds) < limit or agent in self._until_seconds
            if not free or release not in active:
                continue
            self._until_seconds[agent] = now + PERMIT_SECONDS
            self._asking.pop(agent)
            granted.append((agent, release))
        return granted

    def _drop_lapsed(self, now: float) -> None:
        lapsed = [agent for agent, until in self._until_seconds.items() if until <= now]
        for agent in lapsed:
            self._until_seconds.pop(agent)
