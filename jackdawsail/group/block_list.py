"""Keeps the parts of prompts that entries blocked in the site's state, which outlives restarts."""

from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result

from jackdawsail import events
from jackdawsail.consensus.interfaces import ProposeError, Replicator
from jackdawsail.routing.part_blame import PartBlame
from jackdawsail.site.machine import SiteMachine, block_part

PART_STORED = events.define(249, 'warning', 'blocked part of prompts is added to the stored list')
PART_NOT_STORED = events.define(
    252, 'warning', 'addition to the list of blocked parts was not confirmed'
)


@dataclass(slots=True)
class BlockList:
    """Proposes to store blocked parts while this control host is the leader."""

    replicator: Replicator
    machine: SiteMachine
    blame: PartBlame
    _proposed: set[str] = field(default_factory=set)

    def update(self) -> None:
        """Proposes each blocked part that the stored list lacks and that is not proposed yet."""
        if not self.replicator.is_leader():
            return
        for part in self.blame.unstored:
            if part not in self._proposed:
                self._proposed.add(part)
                events.log(PART_STORED, part=part)
                proposed: Any = self.replicator.propose(block_part(part))
                proposed.addCallback(self._settled, part).addErrback(events.log_failure)

    def _settled(self, outcome: Result[Any, ProposeError], part: str) -> None:
        """Allows another proposal of the part, which the next update makes if it is needed."""
        self._proposed.discard(part)
        if isinstance(outcome, Failure):
            events.log(PART_NOT_STORED, part=part, reason=outcome.failure().reason)
