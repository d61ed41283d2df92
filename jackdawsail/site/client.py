"""Links of an entry or agent to all control hosts, whose messages update the site view."""

import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result, Success

from jackdawsail import events
from jackdawsail.message_router import MessageRouter
from jackdawsail.site.announcements import ages_by_version, log_announcements
from jackdawsail.site.document import MAX_DOCUMENT_BYTES, SiteDocument
from jackdawsail.site.process import NodeProcess
from jackdawsail.site.view import SiteView
from jackdawsail.wire.dialer import Dialer
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link
from jackdawsail.wire.site_messages import (
    DocumentPushed,
    DocumentWanted,
    Members,
    Registrations,
    SiteSummary,
    UpstreamLeft,
)

# A document takes a few round trips; after that it is requested again, from the control
# host whose summary arrives next.
DOCUMENT_RETRY_SECONDS = 0.3

DOCUMENT_IN_FORCE = events.define(320, 'info', 'site document is in force in this process')
DOCUMENT_UNREADABLE = events.define(
    321, 'error', 'site document from a control host cannot be read'
)
REVISION_IN_FORCE = events.define(322, 'info', 'site revision is in force in this process')
CONTROL_CONNECTED = events.define(323, 'info', 'link to control host opened')
CONTROL_LOST = events.define(324, 'warning', 'link to control host lost')
ZONES_EMPTIED = events.define(327, 'info', 'emptied data centres change in this process')

DecodeDocument = Callable[[bytes], Result[SiteDocument, str]]


@dataclass(frozen=True, slots=True)
class _ReceivedSummary:
    summary: SiteSummary
    received_seconds: float


@dataclass(slots=True)
class SiteClient:
    """Keeps links to all known control hosts and applies their messages to the site view.

    ``on_connected`` is called with each link that opens.
    """

    process: NodeProcess
    view: SiteView
    decode_document: DecodeDocument
    router: MessageRouter = field(default_factory=MessageRouter)
    on_connected: Callable[[Link], None] = lambda link: None
    _dialers: dict[str, Dialer] = field(default_factory=dict)
    _last_request: tuple[int, float] = (0, 0)
    _summaries: dict[Link, _ReceivedSummary] = field(default_factory=dict)

    def start(self) -> None:
        """Registers the message handlers and connects to the seeds."""
        router = self.router
        router.watch_links(self._link_opened, self._link_closed)
        router.register_handler(SiteSummary, self._on_summary)
        router.register_handler(DocumentPushed, self._on_document)
        router.register_handler(Registrations, self._on_registrations)
        router.register_handler(UpstreamLeft, self._on_upstream_left)
        router.register_handler(Members, self._on_members)
        self.dial_known()

    def stop(self) -> None:
        """Closes every link and stops reconnecting."""
        for dialer in self._dialers.values():
            dialer.stop()

    def links(self) -> list[Link]:
        """Returns the open links to control hosts."""
        return self.router.links_to(Role.control)

    def dial_known(self) -> None:
        """Connects to every control host that is a seed or that another control host reports."""
        settings = self.process.settings
        for host in {*settings.seed_hosts, *self.view.controls()} - self._dialers.keys():
            rng = random.Random(self.process.incarnation)
            address = f'{host}:{settings.link_port}'
            link_settings = self.process.link_settings
            reactor = self.process.reactor
            self._dialers[host] = Dialer(reactor, address, link_settings, self.router, rng)
            self._dialers[host].start()

    def _link_opened(self, link: Link) -> None:
        events.log(CONTROL_CONNECTED, control=_peer_name(link))
        self.on_connected(link)

    def _link_closed(self, link: Link) -> None:
        events.log(CONTROL_LOST, control=_peer_name(link))
        self._summaries.pop(link, None)
        self.view.forget_control(_peer_name(link))

    def _on_summary(self, link: Link, summary: SiteSummary) -> None:
        received = _ReceivedSummary(summary, self.process.reactor.seconds())
        self._summaries[link] = received
        self._apply_summary(link, received)

    def _apply_summary(self, link: Link, received: _ReceivedSummary) -> None:
        """Applies a summary; its ages count from when it was received."""
        summary = received.summary
        now_seconds = self.process.reactor.seconds()
        self.view.apply_sharing_entries(summary)
        if self.view.wants_document(summary):
            self._request_document(link, summary.revision, now_seconds)
        applied = self.view.apply_summary(summary, received.received_seconds)
        log_announcements(applied.announcements, now_seconds, _peer_name(link))
        if applied.zones_changed:
            self._log_zones(link, summary)
        if applied.in_force:
            self._log_revision(link, summary, now_seconds)

    def _request_document(self, link: Link, revision: int, now_seconds: float) -> None:
        requested_revision, requested_seconds = self._last_request
        waiting = now_seconds - requested_seconds < DOCUMENT_RETRY_SECONDS
        if requested_revision >= revision and waiting:
            return
        self._last_request = (revision, now_seconds)
        link.send(DocumentWanted(revision))

    def _on_document(self, link: Link, pushed: DocumentPushed) -> None:
        outcome = _decompress(pushed.compressed).bind(self.decode_document)
        if isinstance(outcome, Failure):
            events.log(DOCUMENT_UNREADABLE, control=_peer_name(link), reason=outcome.failure())
            return
        if self.view.apply_document(outcome.unwrap()):
            events.log(DOCUMENT_IN_FORCE, version=pushed.version, control=_peer_name(link))
        for sender, received in list(self._summaries.items()):
            self._apply_summary(sender, received)

    def _on_registrations(self, _link: Link, message: Registrations) -> None:
        """Records registrations; most are known already, as each control host sends all of them."""
        now_seconds = self.process.reactor.seconds()
        table = self.view.registrations
        newer = [
            table.update(aged.registration, now_seconds - aged.age_seconds)
            for aged in message.heard
        ]
        if any(newer):
            self.view.registrations_changed()

    def _on_upstream_left(self, _link: Link, message: UpstreamLeft) -> None:
        self.view.registrations.mark_gone(message.upstream, self.process.reactor.seconds())
        self.view.registrations_changed()

    def _on_members(self, link: Link, members: Members) -> None:
        self.view.apply_members(_peer_name(link), members)
        self.dial_known()

    def _log_zones(self, link: Link, summary: SiteSummary) -> None:
        events.log(
            ZONES_EMPTIED,
            revision=summary.revision,
            emptied_zones=summary.emptied_zones,
            control=_peer_name(link),
        )

    def _log_revision(self, link: Link, summary: SiteSummary, now_seconds: float) -> None:
        events.log(
            REVISION_IN_FORCE,
            revision=summary.revision,
            document=summary.document_version,
            emptied_zones=summary.emptied_zones,
            weight_ages_seconds=ages_by_version(self.view.weights, summary.weights, now_seconds),
            control=_peer_name(link),
        )


def _peer_name(link: Any) -> str:
    return link.peer.name if link.peer else ''


def _decompress(compressed: bytes) -> Result[bytes, str]:
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        return Failure(str(error))
    return Success(body) if decompressor.eof else Failure('cut off, or too long')
