"""An entry's links to the entries of other data centres, and the delay on the way."""

from jackdawsail.process import ProcessContext
from jackdawsail.switchboard import Switchboard
from jackdawsail.weights.pacing import DelayPacer
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link
from jackdawsail.wire.weight_messages import DelayProbe


class FarEntries:
    """Sends to other data centres; measures the delay to another region by echoes."""

    def __init__(self, context: ProcessContext, switchboard: Switchboard) -> None:
        self._context = context
        self._switchboard = switchboard
        self._pacer: DelayPacer | None = None
        switchboard.on(DelayProbe, self.take_probe)

    def links(self) -> list[Link]:
        """Returns one link to each connected entry of another data centre."""
        zone = self._context.identity.zone
        found: dict[str, Link] = {}
        for link in self._switchboard.links:
            peer = link.peer
            if peer is not None and peer.role is Role.entry and peer.zone != zone:
                found[peer.name] = link
        return list(found.values())

    def send(self, sent: object) -> None:
        """Sends a message to every connected entry of another data centre."""
        for link in self.links():
            link.send(sent)

    def probe(self, pacer: DelayPacer) -> None:
        """Sends one probe to an entry of another region; the echo goes to the pacer."""
        self._pacer = pacer
        region = self._context.identity.region
        far = (link for link in self.links() if link.peer and link.peer.region != region)
        link = min(far, key=_peer_name, default=None)
        if link is not None:
            link.send(DelayProbe(self._context.reactor.seconds(), is_echo=False))

    def take_probe(self, link: Link, probe: DelayProbe) -> None:
        """Echoes another entry's probe, or notes the delay that an echo shows."""
        if not probe.is_echo:
            link.send(DelayProbe(probe.sent_seconds, is_echo=True))
        elif self._pacer is not None:
            self._pacer.record_delay(self._context.reactor.seconds() - probe.sent_seconds)


def _peer_name(link: Link) -> str:
    return link.peer.name if link.peer else ''
