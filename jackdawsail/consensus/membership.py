"""Changes of membership, one server at a time, and the repair of a lost voter.

A new host is first a learner. When it has caught up it is promoted if fewer
voters than the target are sound, that is neither lost nor retired by an
operator. Only then is an unsound voter removed: should another host fail in
between, the return of any one of them restores the quorum.
"""

import math
from dataclasses import dataclass, replace

from jackdawsail.consensus.configuration import Configuration, host_of
from jackdawsail.consensus.core import Core, Role
from jackdawsail.consensus.log import EntryKind
from jackdawsail.consensus.replication import Replication

CAUGHT_UP_ENTRIES = 64
INTRODUCTION_SECONDS = 10.0
NO_CHANGE_REASON = 'nothing changes'


@dataclass(frozen=True, slots=True)
class MemberChange:
    """An operator's change: hosts to retire or take back, the number of voters (0: as it is)."""

    remove_host: str = ''
    add_host: str = ''
    target_voters: int = 0


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

    def change(self, wanted: MemberChange) -> str:
        """Writes an operator's change; returns why it cannot, or ''."""
        current = self._core.configuration
        if not self.can_change():
            return 'not the leader, or an earlier change is not committed yet'
        changed = current
        if wanted.target_voters:
            changed = replace(changed, target_voters=wanted.target_voters)
        if wanted.remove_host:
            changed = changed.retire(wanted.remove_host)
        if wanted.add_host:
            changed = changed.take_back(wanted.add_host)
        if changed == current:
            return NO_CHANGE_REASON
        self._write(changed)
        return ''

    def _write(self, wanted: Configuration) -> None:
        if not wanted.changes_one_voter_from(self._core.configuration):
            raise AssertionError('more than one voter changes')
        self._replication.append_all([(EntryKind.configuration, wanted.encode())])

    def _next(self) -> Configuration | None:
        rules = (
            self._without_surplus,
            self._with_promoted,
            self._without_useless_learner,
            self._with_introduced,
        )
        return next(filter(None, (rule() for rule in rules)), None)

    def _without_surplus(self) -> Configuration | None:
        current = self._core.configuration
        if len(current.voters) <= current.target_voters:
            return None
        return current.without(max(current.voters, key=self._dispensability))

    def _with_promoted(self) -> Configuration | None:
        current = self._core.configuration
        sound = {host_of(voter) for voter in current.voters if self._is_sound(voter)}
        if len(sound) >= current.target_voters:
            return None
        for learner in current.learners:
            free = host_of(learner) not in {*sound, *current.retired}
            if free and self._caught_up(learner):
                return current.promote(learner)
        return None

    def _without_useless_learner(self) -> Configuration | None:
        current = self._core.configuration
        for learner in current.learners:
            if self._is_replaced(learner) or host_of(learner) in current.retired:
                return current.without(learner)
        return None

    def _with_introduced(self) -> Configuration | None:
        current = self._core.configuration
        for host, (node, _seen_seconds) in self._introduced.items():
            if node not in current.members and host not in current.retired:
                return current.with_learner(node)
        return None

    def _dispensability(self, voter: str) -> tuple[bool, bool, bool, float]:
        retired = host_of(voter) in self._core.configuration.retired
        other = voter != self._core.node
        return self._is_lost(voter), retired, other, self._silent_seconds(voter)

    def _is_sound(self, voter: str) -> bool:
        retired = host_of(voter) in self._core.configuration.retired
        return not retired and not self._is_lost(voter)

    def _is_lost(self, voter: str) -> bool:
        limit_seconds = self._core.timing.replace_voter_after_seconds
        return self._silent_seconds(voter) >= limit_seconds or self._is_replaced(voter)

    def _is_replaced(self, member: str) -> bool:
        """Tells whether a host is back under another id, as its disk was replaced."""
        if self._is_up(member):
            return False
        others = [one for one in self._core.configuration.members if one != member]
        return any(host_of(one) == host_of(member) and self._caught_up(one) for one in others)

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
