"""Tells every linked process what this control host knows, and keeps them current.

Changes are sent at once; a summary goes out as a heartbeat, so that a process
which missed one learns it from the next. Registrations that only prolong what is
known are gathered for a moment and sent together.
"""

import zlib
from dataclasses import dataclass, field
from typing import Any

from jackdawsail import events
from jackdawsail.clocks import Clock
from jackdawsail.registry.registration import ReceivedRegistration, Registration, RegistrationTable
from jackdawsail.site.machine import SiteMachine
from jackdawsail.switchboard import Switchboard
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link
from jackdawsail.wire.site_messages import (
    AgedRegistration,
    DocumentPushed,
    DocumentWanted,
    Members,
    NamedWeights,
    Registrations,
    SiteSummary,
    UpstreamLeft,
)

GATHER_SECONDS = 0.1  # a twelfth of the interval of heartbeats
NAMED_KEPT_SECONDS = 60.0  # several times the longest time for a changeover
UPSTREAM_CHANGED = events.define(240, 'info', 'upstream registered, changed or left')


@dataclass(slots=True)
class Fanout:
    """Owns the registration book of a control host and sends to its links."""

    clock: Clock
    switchboard: Switchboard
    machine: SiteMachine
    book: RegistrationTable = field(default_factory=RegistrationTable)
    _gathered: dict[str, ReceivedRegistration] = field(default_factory=dict)
    _named_seconds: dict[tuple[str, int], float] = field(default_factory=dict)
    _compressed: tuple[int, bytes] = (0, b'')

    def start(self) -> None:
        """Begins to listen to links and to the state machine."""
        self.switchboard.watch(self._opened, lambda link: None)
        self.switchboard.on(DocumentWanted, self._on_wanted)
        self.switchboard.on(Registrations, self._on_registrations)
        self.switchboard.on(UpstreamLeft, self._on_left)
        self.machine.on_change = self.site_changed

    def site_changed(self) -> None:
        """Sends the summary of a state that has changed.

        Weights count as named when this process learns of them. One that has just
        started tells a later time than the others; entries keep the first that they
        hear, and the time to change over starts anew when control hosts are lost.
        """
        now_seconds = self.clock.seconds()
        fresh = dict.fromkeys(self.machine.state.weight_versions, now_seconds)
        # An older version keeps its own bound for a while beside a newer one.
        kept = {
            named: named_seconds
            for named, named_seconds in self._named_seconds.items()
            if named in fresh or now_seconds - named_seconds < NAMED_KEPT_SECONDS
        }
        self._named_seconds = {**fresh, **kept}
        self.send_summary()

    def send_summary(self) -> None:
        """Sends the summary to every link."""
        summary = self._summary()
        for link in self._followers():
            link.send(summary)

    def send_members(self, members: Members) -> None:
        """Tells every entry and agent who is linked."""
        for link in self._followers():
            link.send(members)

    def registered(self, registration: Registration, source: str) -> bool:
        """Takes a registration from an upstream; tells whether it was news."""
        held = self.book.get(registration.upstream)
        now_seconds = self.clock.seconds()
        if not self.book.update(registration, now_seconds):
            return False
        heard = ReceivedRegistration(registration, now_seconds)
        if held is None or _differs(held.registration, registration):
            self._log(registration, source)
            self._send_registrations([heard])
            return True
        if not self._gathered:
            self.clock.callLater(GATHER_SECONDS, self._send_gathered)
        self._gathered[registration.upstream] = heard
        return True

    def left(self, upstream: str) -> None:
        """Takes the goodbye of an upstream."""
        left = self.book.mark_gone(upstream, self.clock.seconds())
        if left is not None:
            self._log(left, 'goodbye')
        for link in list(self.switchboard.links):
            link.send(UpstreamLeft(upstream))

    def _followers(self) -> list[Link]:
        links = list(self.switchboard.links)
        return [link for link in links if link.peer and link.peer.role is not Role.control]

    def _opened(self, link: Link) -> None:
        if link.peer is not None and link.peer.role is not Role.control:
            link.send(self._summary())
        link.send(self._aged(self.book.all()))

    def _on_wanted(self, link: Link, wanted: DocumentWanted) -> None:
        state = self.machine.state
        if state.revision >= wanted.revision and state.document.version:
            link.send(DocumentPushed(state.revision, state.document.version, self._body()))

    def _on_registrations(self, _link: Link, message: Registrations) -> None:
        now_seconds = self.clock.seconds()
        for aged in message.heard:
            self.book.update(aged.registration, now_seconds - aged.age_seconds)

    def _on_left(self, _link: Link, message: UpstreamLeft) -> None:
        self.book.mark_gone(message.upstream, self.clock.seconds())

    def _send_gathered(self) -> None:
        gathered = list(self._gathered.values())
        self._gathered.clear()
        self._send_registrations(gathered)

    def _send_registrations(self, heard: list[ReceivedRegistration]) -> None:
        message = self._aged(heard)
        for link in list(self.switchboard.links):
            link.send(message)

    def _aged(self, heard: Any) -> Registrations:
        now_seconds = self.clock.seconds()
        aged = [
            AgedRegistration(one.registration, now_seconds - one.received_seconds) for one in heard
        ]
        return Registrations(aged)

    def _summary(self) -> SiteSummary:
        state = self.machine.state
        now_seconds = self.clock.seconds()
        weights = [
            NamedWeights(model, version, now_seconds - named_seconds)
            for (model, version), named_seconds in self._named_seconds.items()
        ]
        zones = list(state.emptied_zones)
        return SiteSummary(state.revision, state.document.version, zones, weights)

    def _body(self) -> bytes:
        document = self.machine.state.document
        if self._compressed[0] != document.version:
            self._compressed = (document.version, zlib.compress(document.body))
        return self._compressed[1]

    def _log(self, registration: Registration, source: str) -> None:
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


def _differs(held: Registration, new: Registration) -> bool:
    """Tells whether entries must hear of a registration at once."""
    before = (held.born_milliseconds, held.address, held.leaving, held.models)
    after = (new.born_milliseconds, new.address, new.leaving, new.models)
    return before != after or (held.cold_seconds > 0) != (new.cold_seconds > 0)
