"""Sends the site's state to all linked processes, registrations to those that place calls.

Changes are sent immediately. A summary is also sent periodically, so that a
process which missed a change receives it with the next summary. Registrations that
only renew a known one are batched.
"""

from dataclasses import dataclass, field, replace
from typing import Any

from jackdawsail import events
from jackdawsail.clocks import Clock
from jackdawsail.group.trait_evidence import TraitEvidenceRelay
from jackdawsail.message_router import MessageRouter
from jackdawsail.registry.registration import ReceivedRegistration, Registration, RegistrationTable
from jackdawsail.site.announcements import (
    Announcements,
    add_announcements,
    announced_weights,
    log_announcements,
    without_superseded,
)
from jackdawsail.site.machine import SiteMachine
from jackdawsail.site.stored_weights import StoredWeights, WeightsTuple, oldest_versions
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link
from jackdawsail.wire.site_messages import (
    AgedRegistration,
    AnnouncedWeights,
    DocumentPushed,
    DocumentWanted,
    Members,
    Registrations,
    SiteSummary,
    UpstreamLeft,
)

SUBSCRIBERS = (Role.entry, Role.agent)  # of the site's state; control hosts replicate it
REGISTRATION_READERS = (Role.entry, Role.control)  # agents place no calls
BATCH_SECONDS = 0.1  # a twelfth of the heartbeat interval
OVERDUE_AGE_SECONDS = 86_400.0  # longer than any time limit of weights
UPSTREAM_CHANGED = events.define(240, 'info', 'upstream registered, changed or left')


@dataclass(slots=True)
class SiteFanout:
    """Owns the upstream registrations of a control host and sends changes to its links.

    ``announcements`` are the announced weights with the earliest known times.
    """

    clock: Clock
    router: MessageRouter
    machine: SiteMachine
    registrations: RegistrationTable = field(default_factory=RegistrationTable)
    traits: TraitEvidenceRelay = field(init=False)
    _batched: dict[str, ReceivedRegistration] = field(default_factory=dict)
    announcements: Announcements = field(default_factory=dict)
    _sent_revision: int = 0
    _stored_weights: WeightsTuple = ()

    def __post_init__(self) -> None:
        """Creates the relay of the evidence against traits of calls."""
        self.traits = TraitEvidenceRelay(self.clock, self.router, self.machine)

    def start(self) -> None:
        """Reads the state and subscribes to the events of the links and of the state machine.

        A new link gets the blocked traits before the summary, without which an entry takes
        no calls.
        """
        self.traits.start()
        self.router.watch_links(self._link_opened, lambda link: None)
        self.router.register_handler(DocumentWanted, self._on_document_wanted)
        self.router.register_handler(Registrations, self._on_registrations)
        self.router.register_handler(UpstreamLeft, self._on_upstream_left)
        self.machine.on_change = self.site_changed
        self.site_changed()

    def site_changed(self) -> None:
        """Records the announced weights and sends the summary if its revision has changed.

        Weights that are announced now have an age of 0, those that are found at a start the
        stored age, which is too low by the time since it was stored.
        """
        stored = self.machine.state.weights
        changed = [each for each in stored if each not in self._stored_weights]
        self._stored_weights = stored
        self._add_announcements([_announced(each) for each in changed], 'replicated state')
        self.traits.site_changed()
        revision = self.machine.state.revision
        if revision != self._sent_revision:
            self._sent_revision = revision
            self._send_whole_summary(self.router.links_to(*SUBSCRIBERS))

    def send_summary(self) -> None:
        """Sends the summary to every linked entry and agent; also serves as a heartbeat."""
        summary = self._summary()
        for link in self.router.links_to(*SUBSCRIBERS):
            link.send(summary)

    def send_members(self, members: Members) -> None:
        """Sends the list of linked processes to every entry and agent."""
        for link in self.router.links_to(*SUBSCRIBERS):
            link.send(members)

    def register(self, registration: Registration, source: str) -> bool:
        """Records a registration of an upstream; returns False if it was outdated."""
        held = self.registrations.get(registration.upstream)
        now_seconds = self.clock.seconds()
        if not self.registrations.update(registration, now_seconds):
            return False
        received = ReceivedRegistration(registration, now_seconds)
        if held is None or _needs_immediate_send(held.registration, registration):
            self._log_change(registration, source)
            self._send_registrations([received])
            return True
        if not self._batched:
            self.clock.callLater(BATCH_SECONDS, self._send_batched)
        self._batched[registration.upstream] = received
        return True

    def deregister(self, upstream: str) -> None:
        """Records that an upstream has left permanently, and broadcasts it."""
        last_registration = self.registrations.mark_gone(upstream, self.clock.seconds())
        if last_registration is not None:
            self._log_change(last_registration, 'goodbye')
        for link in self.router.links_to(*REGISTRATION_READERS):
            link.send(UpstreamLeft(upstream))

    def _link_opened(self, link: Link) -> None:
        role = link.peer.role if link.peer else None
        if role in SUBSCRIBERS:
            self._send_whole_summary([link])
        if role in REGISTRATION_READERS:
            registrations = self._with_ages(self.registrations.all())
            weights = announced_weights(self.announcements, self.clock.seconds())
            is_control = role is Role.control
            link.send(replace(registrations, weights=weights) if is_control else registrations)

    def _on_document_wanted(self, link: Link, wanted: DocumentWanted) -> None:
        state = self.machine.state
        if state.revision >= wanted.revision and state.document.version:
            link.send(
                DocumentPushed(state.revision, state.document.version, state.document.compressed)
            )

    def _on_registrations(self, link: Link, message: Registrations) -> None:
        now_seconds = self.clock.seconds()
        if message.weights:
            self._add_announcements(message.weights, link.peer.name if link.peer else '')
        for aged in message.heard:
            self.registrations.update(aged.registration, now_seconds - aged.age_seconds)

    def _add_announcements(self, told: list[AnnouncedWeights], source: str) -> None:
        """Keeps the earliest time of each version whose limit may still count.

        Those are the versions that the leader keeps in the state, and newer ones.
        """
        now_seconds = self.clock.seconds()
        oldest = oldest_versions(self.machine.state.weights)
        relevant = [each for each in told if each.version >= oldest.get(each.model, 0)]
        changes = add_announcements(self.announcements, relevant, now_seconds)
        self.announcements = without_superseded(self.announcements, oldest)
        log_announcements(changes, now_seconds, source)

    def _on_upstream_left(self, _link: Link, message: UpstreamLeft) -> None:
        self.registrations.mark_gone(message.upstream, self.clock.seconds())

    def _send_batched(self) -> None:
        batched = list(self._batched.values())
        self._batched.clear()
        self._send_registrations(batched)

    def _send_registrations(self, received: list[ReceivedRegistration]) -> None:
        message = self._with_ages(received)
        for link in self.router.links_to(*REGISTRATION_READERS):
            link.send(message)

    def _with_ages(self, received: Any) -> Registrations:
        now_seconds = self.clock.seconds()
        aged = [
            AgedRegistration(record.registration, now_seconds - record.received_seconds)
            for record in received
        ]
        return Registrations(aged)

    def _summary(self) -> SiteSummary:
        state = self.machine.state
        now_seconds = self.clock.seconds()
        weights = announced_weights(self.announcements, now_seconds)
        zones = list(state.emptied_zones)
        return SiteSummary(state.revision, state.document.version, zones, weights)

    def _send_whole_summary(self, links: list[Link]) -> None:
        """Sends the summary, to entries with the entries that share the limits."""
        summary = self._summary()
        sharing_entries = list(self.machine.state.sharing_entries)
        for_entries = replace(summary, sharing_entries=sharing_entries)
        for link in links:
            is_entry = link.peer is not None and link.peer.role is Role.entry
            link.send(for_entries if is_entry else summary)

    def _log_change(self, registration: Registration, source: str) -> None:
        events.log(
            UPSTREAM_CHANGED,
            upstream=registration.upstream,
            address=registration.address,
            leaving=registration.leaving,
            gone=registration.gone,
            born=registration.born_milliseconds,
            sequence=registration.sequence,
            source=source,
        )


def _announced(weights: StoredWeights) -> AnnouncedWeights:
    """Returns stored weights as other processes are told them; without an age they are overdue."""
    age_seconds = weights.age_seconds
    if age_seconds is None:
        age_seconds = OVERDUE_AGE_SECONDS
    return AnnouncedWeights(weights.model, weights.version, age_seconds)


def _needs_immediate_send(held: Registration, new: Registration) -> bool:
    """Returns whether entries need a registration immediately rather than batched."""
    before = (held.born_milliseconds, held.address, held.leaving, held.models)
    after = (new.born_milliseconds, new.address, new.leaving, new.models)
    return before != after or (held.cold_seconds > 0) != (new.cold_seconds > 0)
