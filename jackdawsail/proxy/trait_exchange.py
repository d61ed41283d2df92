"""Exchanges the evidence against traits of calls between an entry and the control hosts."""

from dataclasses import dataclass
from typing import Any

from jackdawsail.loops import start_loop
from jackdawsail.proxy.trait_reports import TraitReports
from jackdawsail.site.client import SiteClient
from jackdawsail.wire.link import Link
from jackdawsail.wire.trait_messages import BlockedTraits, TraitEvidence

CHECK_SECONDS = 0.1


@dataclass(slots=True)
class TraitExchange:
    """Sends what this entry adds to the evidence, and records what the others add."""

    reports: TraitReports
    client: SiteClient
    _loop: Any = None

    def start(self, reactor: Any) -> None:
        """Registers the message handlers and starts to check the evidence."""
        self.client.router.register_handler(TraitEvidence, self._on_evidence)
        self.client.router.register_handler(BlockedTraits, self._on_blocked_traits)
        self.reports.on_evidence = self._send
        self._loop = start_loop(reactor, self.reports.check, CHECK_SECONDS)

    def stop(self) -> None:
        """Stops to check the evidence."""
        self._loop.stop()

    def send_snapshot(self, link: Link) -> None:
        """Sends all evidence to a control host, which may have restarted without any."""
        snapshot = self.reports.blame.snapshot(self.reports.clock.seconds())
        if not snapshot.is_empty:
            link.send(snapshot)

    def _send(self, evidence: TraitEvidence) -> None:
        for link in self.client.links():
            link.send(evidence)

    def _on_evidence(self, _link: Link, evidence: TraitEvidence) -> None:
        added = self.reports.blame.merge(evidence, self.reports.clock.seconds())
        if added.blocked:
            self.reports.log_blocked(added.blocked, 'another entry')
        if added.ends:
            self.reports.check()

    def _on_blocked_traits(self, _link: Link, message: BlockedTraits) -> None:
        blame = self.reports.blame
        before = set(blame.blocked)
        if not blame.apply_stored(message.revision, message.traits):
            return
        after = set(blame.blocked)
        if after - before:
            self.reports.log_blocked(sorted(after - before), 'block list')
        if before - after:
            self.reports.log_lifted(sorted(before - after))
