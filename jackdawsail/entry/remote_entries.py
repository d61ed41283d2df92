"""An entry's links to entries of other data centres, and the network delay on them."""

from jackdawsail.message_router import MessageRouter
from jackdawsail.process import ProcessContext
from jackdawsail.weights.pacing import DelayPacer
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link
from jackdawsail.wire.weight_messages import DelayProbe


class RemoteEntries:
    """Sends to entries of other data centres and measures the round trip to another region."""

    def __init__(self, context: ProcessContext, router: MessageRouter) -> None:
        self._context = context
        self._router = router
        self._pacer: DelayPacer | None = None
        router.register_handler(DelayProbe, self.handle_probe)

    def links(self) -> list[Link]:
        """Returns one link for each connected entry of another data centre."""
        zone = self._context.identity.zone
        link_by_entry: dict[str, Link] = {}
        for link in self._router.links:
            peer = link.peer
            if peer is not None and peer.role is Role.entry and peer.zone != zone:
                link_by_entry[peer.name] = link
        return list(link_by_entry.values())

    def send(self, message: object) -> None:
        """Sends a message to every connected entry of another data centre."""
        for link in self.links():
            link.send(message)

    def probe(self, pacer: DelayPacer) -> None:
        """Probes one entry of another region; the pacer gets the round trip time."""
        self._pacer = pacer
        region = self._context.identity.region
        remote = (link for link in self.links() if link.peer and link.peer.region != region)
        link = min(remote, key=_peer_name, default=None)
        if link is not None:
            link.send(DelayProbe(self._context.reactor.seconds(), is_echo=False))

    def handle_probe(self, link: Link, probe: DelayProbe) -> None:
        """Echoes the probe of another entry, or records the round trip time of an echo."""
        if not probe.is_echo:
            link.send(DelayProbe(probe.sent_seconds, is_echo=True))
        elif self._pacer is not None:
            self._pacer.record_delay(self._context.reactor.seconds() - probe.sent_seconds)


def _peer_name(link: Link) -> str:
    return link.peer.name if link.peer else ''
