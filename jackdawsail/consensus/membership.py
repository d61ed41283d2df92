"""Membership changes, one server at a time, and the replacement of lost voters.

A new host joins as a learner. Once it has caught up, it is promoted if fewer voters
than the target are healthy, that is neither lost nor retired by an operator. An
unhealthy voter is removed only after that: if another host fails in between, any one
of the failed hosts that becomes reachable again restores the quorum.
"""

import math
from dataclasses import dataclass, replace

from jackdawsail.consensus.configuration import Configuration, host_of
from jackdawsail.consensus.core import Core, Role
from jackdawsail.consensus.log import EntryKind
from jackdawsail.consensus.replication import Replication

CAUGHT_UP_ENTRIES = 64  # a member that is at most this far behind, and a batch, has caught up
ANNOUNCEMENT_VALID_SECONDS = 10.0
NO_CHANGE_REASON = 'nothing changes'


@dataclass(frozen=True, slots=True)
class MemberChange:
    """An operator's change; an empty host name or 0 target voters changes nothing."""

    remove_host: str = ''
    add_host: str = ''
    target_voters: int = 0


class Membership:
    """Selects the next configuration of the group; active on the leader."""

    def __init__(self, core: Core, replication: Replication) -> None:
        self._core = core
        self._replication = replication
        # Host name -> its last announced node id and the time of that announcement.
        self._announced: dict[str, tuple[str, float]] = {}

    def record_announcement(self, node: str) -> None:
        """Records that a host is up; a host that is not a member becomes a learner later."""
        self._announced[host_of(node)] = (node, self._core.now_seconds)

    def tick(self) -> None:
        """Appends the next change towards the target configuration, if one is possible now."""
        if not self.can_change():
            return
        self._drop_old_announcements()
        configuration = self._next_configuration()
        if configuration is not None and self._has_live_quorum(configuration):
            self._append_configuration(configuration)

    def can_change(self) -> bool:
        """Returns whether this node holds the lease and every earlier change is committed."""
        core = self._core
        if core.role is not Role.leader or not self._replication.holds_lease(core.now_seconds):
            return False
        return core.log.configuration_index <= core.commit_index

    def change(self, requested: MemberChange) -> str:
        """Appends an operator's change; returns the reason of a refusal, or an empty string."""
        current = self._core.configuration
        if not self.can_change():
            return 'not the leader, or an earlier change is not committed yet'
        changed = current
        if requested.target_voters:
            changed = replace(changed, target_voters=requested.target_voters)
        if requested.remove_host:
            changed = changed.retire(requested.remove_host)
        if requested.add_host:
            changed = changed.unretire(requested.add_host)
        if changed == current:
            return NO_CHANGE_REASON
        self._append_configuration(changed)
        return ''

    def _append_configuration(self, configuration: Configuration) -> None:
        if not configuration.differs_by_at_most_one_voter(self._core.configuration):
            raise AssertionError('the configuration changes more than one voter')
        self._replication.append_all([(EntryKind.configuration, configuration.encode())])

    def _next_configuration(self) -> Configuration | None:
        rules = (
            self._without_surplus_voter,
            self._with_promoted_learner,
            self._without_obsolete_learner,
            self._with_announced_learner,
        )
        return next(filter(None, (rule() for rule in rules)), None)

    def _without_surplus_voter(self) -> Configuration | None:
        current = self._core.configuration
        if len(current.voters) <= current.target_voters:
            return None
        return current.without(max(current.voters, key=self._removal_priority))

    def _with_promoted_learner(self) -> Configuration | None:
        current = self._core.configuration
        healthy = {host_of(voter) for voter in current.voters if self._is_healthy(voter)}
        if len(healthy) >= current.target_voters:
            return None
        for learner in current.learners:
            eligible = host_of(learner) not in {*healthy, *current.retired}
            if eligible and self._has_caught_up(learner):
                return current.promote(learner)
        return None

    def _without_obsolete_learner(self) -> Configuration | None:
        current = self._core.configuration
        for learner in current.learners:
            if self._is_replaced(learner) or host_of(learner) in current.retired:
                return current.without(learner)
        return None

    def _with_announced_learner(self) -> Configuration | None:
        current = self._core.configuration
        for host, (node, _announced_seconds) in self._announced.items():
            if node not in current.members and host not in current.retired:
                return current.with_learner(node)
        return None

    def _removal_priority(self, voter: str) -> tuple[bool, bool, bool, bool, float]:
        # A silent host may return with its disk; a replaced one never votes as this member again.
        lost = (self._is_lost(voter), self._is_replaced(voter))
        is_retired = host_of(voter) in self._core.configuration.retired
        is_other = voter != self._core.node
        return *lost, is_retired, is_other, self._silent_seconds(voter)

    def _is_healthy(self, voter: str) -> bool:
        is_retired = host_of(voter) in self._core.configuration.retired
        return not is_retired and not self._is_lost(voter)

    def _is_lost(self, voter: str) -> bool:
        limit_seconds = self._core.timing.replace_voter_after_seconds
        return self._silent_seconds(voter) >= limit_seconds or self._is_replaced(voter)

    def _is_replaced(self, member: str) -> bool:
        """Returns whether the host now runs under another node id, as its disk was replaced."""
        if self._silent_seconds(member) < self._core.timing.election_timeout_seconds:
            return False
        others = [other for other in self._core.configuration.members if other != member]
        return any(
            host_of(other) == host_of(member) and self._has_caught_up(other) for other in others
        )

    def _has_live_quorum(self, configuration: Configuration) -> bool:
        live_voters = [voter for voter in configuration.voters if self._has_answered(voter)]
        return configuration.has_quorum(live_voters)

    def _has_answered(self, node: str) -> bool:
        """Returns whether a member has recently answered this leader.

        A member that a new leader has not heard yet does not count: its disk may be gone.
        """
        if node == self._core.node:
            return True
        progress = self._replication.progress.get(node)
        if progress is None:
            return False
        silent_seconds = self._core.now_seconds - progress.acked_seconds
        return silent_seconds < self._core.timing.election_timeout_seconds

    def _has_caught_up(self, node: str) -> bool:
        progress = self._replication.progress.get(node)
        if progress is None or not self._has_answered(node):
            return False
        log = self._core.log
        missing_entries = log.last_index - progress.match_index
        if progress.match_index < log.base_index or missing_entries > CAUGHT_UP_ENTRIES:
            return False
        # Commits wait for a new voter until it has the rest, so its size counts, too.
        missing_bytes = log.bytes_between(progress.match_index, log.last_index)
        return missing_entries <= 1 or missing_bytes <= self._core.timing.batch_bytes

    def _silent_seconds(self, node: str) -> float:
        if node == self._core.node:
            return 0
        progress = self._replication.progress.get(node)
        return math.inf if progress is None else progress.silent_seconds(self._core.now_seconds)

    def _drop_old_announcements(self) -> None:
        oldest_seconds = self._core.now_seconds - ANNOUNCEMENT_VALID_SECONDS
        self._announced = {
            host: announcement
            for host, announcement in self._announced.items()
            if announcement[1] >= oldest_seconds
        }
