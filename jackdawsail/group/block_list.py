"""Keeps the traits of calls that entries blocked in the site's state, which outlives restarts."""

from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result

from jackdawsail import events
from jackdawsail.consensus.interfaces import ProposeError, Replicator
from jackdawsail.routing.trait_blame import TraitBlame
from jackdawsail.site.machine import SiteMachine, block_trait

TRAIT_STORED = events.define(249, 'warning', 'blocked trait of calls is added to the stored list')
TRAIT_NOT_STORED = events.define(
    252, 'warning', 'addition to the list of blocked traits was not confirmed'
)


@dataclass(slots=True)
class BlockList:
    """Proposes to store blocked traits while this control host is the leader."""

    replicator: Replicator
    machine: SiteMachine
    blame: TraitBlame
    _proposed: set[str] = field(default_factory=set)

    def update(self) -> None:
        """Proposes each blocked trait that the stored list lacks and that is not proposed yet."""
        if not self.replicator.is_leader():
            return
        for trait in self.blame.unstored:
            if trait not in self._proposed:
                self._proposed.add(trait)
                events.log(TRAIT_STORED, trait=trait)
                proposed: Any = self.replicator.propose(block_trait(trait))
                proposed.addCallback(self._settled, trait).addErrback(events.log_failure)

    def _settled(self, outcome: Result[Any, ProposeError], trait: str) -> None:
        """Allows another proposal of the trait, which the next update makes if it is needed."""
        self._proposed.discard(trait)
        if isinstance(outcome, Failure):
            events.log(TRAIT_NOT_STORED, trait=trait, reason=outcome.failure().reason)
