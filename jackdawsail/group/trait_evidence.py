"""Relays the evidence against traits of calls, and keeps it for processes that start.

Every control host keeps all evidence, so that it outlives the loss of any of them and needs
no leader. What an entry or another control host adds is relayed once, in batches.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from jackdawsail.clocks import Clock
from jackdawsail.message_router import MessageRouter
from jackdawsail.routing.trait_blame import TraitBlame
from jackdawsail.site.machine import SiteMachine
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link
from jackdawsail.wire.trait_messages import BlockedTraits, TraitEvidence

# The reports of all entries about one engine arrive within some tens of milliseconds.
RELAY_SECONDS = 0.02


@dataclass(slots=True)
class TraitEvidenceRelay:
    """Owns the evidence of a control host; ``on_blocked`` is called when an entry blocks a trait."""

    clock: Clock
    router: MessageRouter
    machine: SiteMachine
    blame: TraitBlame = field(default_factory=TraitBlame)
    on_blocked: Callable[[], None] = lambda: None
    _unsent: list[tuple[float, TraitEvidence]] = field(default_factory=list)
    _sent_traits: tuple[str, ...] = ()

    def start(self) -> None:
        """Subscribes to the links and to the evidence of entries and control hosts."""
        self.router.watch_links(self._link_opened, lambda link: None)
        self.router.register_handler(TraitEvidence, self._on_evidence)

    def site_changed(self) -> None:
        """Sends the stored block list to all entries if it has changed."""
        state = self.machine.state
        if state.blocked_traits == self._sent_traits:
            return
        self._sent_traits = state.blocked_traits
        self.blame.apply_stored(state.revision, state.blocked_traits)
        for link in self.router.links_to(Role.entry):
            link.send(self._stored_list())

    def _link_opened(self, link: Link) -> None:
        role = link.peer.role if link.peer else None
        if role is Role.entry:
            link.send(self._stored_list())
        if role in {Role.entry, Role.control}:
            link.send(self.blame.snapshot(self.clock.seconds()))

    def _on_evidence(self, _link: Link, evidence: TraitEvidence) -> None:
        now_seconds = self.clock.seconds()
        added = self.blame.merge(evidence, now_seconds)
        if added.is_empty:
            return
        if added.blocked:
            self.on_blocked()
        if not self._unsent:
            self.clock.callLater(RELAY_SECONDS, self._relay)
        self._unsent.append((now_seconds, added))

    def _relay(self) -> None:
        now_seconds = self.clock.seconds()
        batch = [
            _older(evidence, now_seconds - received_seconds)
            for received_seconds, evidence in self._unsent
        ]
        self._unsent.clear()
        relayed = TraitEvidence(
            min(evidence.revision for evidence in batch),
            [end for evidence in batch for end in evidence.ends],
            [answer for evidence in batch for answer in evidence.sound],
            [trait for evidence in batch for trait in evidence.blocked],
        )
        for link in self.router.links_to(Role.entry, Role.control):
            link.send(relayed)

    def _stored_list(self) -> BlockedTraits:
        state = self.machine.state
        return BlockedTraits(state.revision, list(state.blocked_traits))


def _older(evidence: TraitEvidence, seconds: float) -> TraitEvidence:
    """Returns evidence as it is to be sent some time after it was received."""
    return replace(
        evidence,
        ends=[replace(end, age_seconds=end.age_seconds + seconds) for end in evidence.ends],
        sound=[
            replace(answer, begun_age_seconds=answer.begun_age_seconds + seconds)
            for answer in evidence.sound
        ],
    )
