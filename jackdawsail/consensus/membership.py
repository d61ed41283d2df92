"""Changes of membership, one server at a time, and the repair of a lost voter.

A new host is first a learner. When it has caught up it is promoted if there
are fewer voters than the target. A voter that stays lost is removed first,
which never needs more live hosts than adding first, and the learner promoted
next.
"""

import math
from dataclasses import replace

from jackdawsail.consensus.configuration import Configuration, host_of
from jackdawsail.consensus.core import Core, Role
from jackdawsail.consensus.log import EntryKind
from jackdawsail.consensus.replication import Replication

CAUGHT_UP_ENTRIES = 64
INTRODUCTION_SECONDS = 10.0


class Membership:
    """Decides on the leader which configuration comes next."""

    def __init__(self, core: Core, replication: Replication) -> None:
        self._core = core
        self._replication = replication
        # Host name -> the node id that it was last up under, and when that was.
        self._introduced: dict[str, tuple[str, float]] = {}

    def introduce(self, node: str) -> None:
        """Notes a host that is up; one that is no member becomes a learner."""
        self._introduced[host_of(node)] = (node, self._core.now_seconds)

    def tick(self) -> None:
        """Makes the next change towards the target, if one is possible now."""
        if not self.can_change():
            return
        self._forget_old_introductions()
        wanted = self._next()
        if wanted is not None and self._stays_available(wanted):
            self._write(wanted)

    def can_change(self) -> bool:
        """Tells whether this node leads and every earlier change is committed."""
        core = self._core
        if core.role is not Role.leader or not self._replication.holds_lease(core.now_seconds):
            return False
        return core.log.configuration_index <= core.commit_index

    def change(self, remove_host: str, target_voters: int) -> str:
        """Removes a host or sets the number of voters; returns why it cannot, or ''."""
        if not self.can_change():
            return 'not the leader, or an earlier change is not committed yet'
        wanted = self._core.configuration
        if target_voters:
            wanted = replace(wanted, target_voters=target_voters)
        for member in wanted.members:
            if remove_host and host_of(member) == remove_host:
                wanted = wanted.without(member)
        return self._write_if_safe(wanted)

    def _write_if_safe(self, wanted: Configuration) -> str:
        current = self._core.configuration
        if wanted == current:
            return 'nothing changes'
        if not wanted.changes_one_voter_from(current):
            return 'only one voter may change at a time'
        if not wanted.voters or not self._stays_available(wanted):
            return 'too few of the remaining voters are up'
        self._write(wanted)
        return ''

    def _write(self, wanted: Configuration) -> None:
        if not wanted.changes_one_voter_from(self._core.configuration):
            raise AssertionError('more than one voter changes')
        self._replication.append_all([(EntryKind.configuration, wanted.encode())])

    def _next(self) -> Configuration | None:
        rules = (
            self._without_former_disk,
            self._with_promoted,
            self._without_lost,
            self._without_surplus,
            self._with_introduced,
        )
        return next(filter(None, (rule() for rule in rules)), None)

    def _without_former_disk(self) -> Configuration | None:
        """Drops the former identity of a host that is back with an empty disk."""
        current = self._core.configuration
        for member in current.members:
            if not self._is_up(member) and self._is_replaced(member):
                return current.without(member)
        return None

    def _is_replaced(self, member: str) -> bool:
        others = [one for one in self._core.configuration.members if one != member]
        return any(host_of(one) == host_of(member) and self._caught_up(one) for one in others)

    def _with_promoted(self) -> Configuration | None:
        current = self._core.configuration
        if len(current.voters) >= current.target_voters:
            return None
        voting_hosts = {host_of(voter) for voter in current.voters}
        for learner in current.learners:
            if self._caught_up(learner) and host_of(learner) not in voting_hosts:
                return current.promote(learner)
        return None

    def _without_lost(self) -> Configuration | None:
        current = self._core.configuration
        if not any(self._caught_up(learner) for learner in current.learners):
            return None
        for voter in current.voters:
            limit_seconds = self._core.timing.replace_voter_after_seconds
            if self._silent_seconds(voter) >= limit_seconds:
                return current.without(voter)
        return None

    def _without_surplus(self) -> Configuration | None:
        current = self._core.configuration
        if len(current.voters) <= current.target_voters:
            return None
        others = [voter for voter in current.voters if voter != self._core.node]
        return current.without(max(others, key=self._silent_seconds))

    def _with_introduced(self) -> Configuration | None:
        current = self._core.configuration
        for node, _seen_seconds in self._introduced.values():
            if node not in current.members:
                return current.with_learner(node)
        return None

    def _stays_available(self, wanted: Configuration) -> bool:
        up = [voter for voter in wanted.voters if self._is_up(voter)]
        return wanted.has_quorum(up)

    def _is_up(self, node: str) -> bool:
        return self._silent_seconds(node) < self._core.timing.election_timeout_seconds

    def _caught_up(self, node: str) -> bool:
        progress = self._replication.progress.get(node)
        if progress is None or not self._is_up(node):
            return False
        return progress.matched + CAUGHT_UP_ENTRIES >= self._core.log.last_index

    def _silent_seconds(self, node: str) -> float:
        if node == self._core.node:
            return 0
        progress = self._replication.progress.get(node)
        return math.inf if progress is None else progress.silent_seconds(self._core.now_seconds)

    def _forget_old_introductions(self) -> None:
        oldest_seconds = self._core.now_seconds - INTRODUCTION_SECONDS
        self._introduced = {
            host: seen for host, seen in self._introduced.items() if seen[1] >= oldest_seconds
        }
