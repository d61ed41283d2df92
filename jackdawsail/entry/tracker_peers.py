"""Links between the trackers of different data centres.

An entry does not know which entry of another data centre is its tracker, so the
tracker dials them all, up to a bound, while a release runs.
"""

import random
from collections.abc import Iterable

from jackdawsail.process import ProcessContext
from jackdawsail.switchboard import Switchboard
from jackdawsail.wire.dialer import Dialer
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link
from jackdawsail.wire.membership_messages import DirectoryEntry

PEERS_MAX = 24


class TrackerPeers:
    """Dials entries of other data centres that no link leads to yet."""

    def __init__(self, context: ProcessContext, switchboard: Switchboard) -> None:
        self._context = context
        self._switchboard = switchboard
        self._dialers: dict[str, Dialer] = {}
        self._rng = random.Random(context.identity.incarnation)

    def follow(self, directory: Iterable[DirectoryEntry]) -> None:
        """Dials what is new and lets go of what has left the directory."""
        zone = self._context.identity.zone
        far = {each.name: each.link_address for each in directory if each.zone != zone}
        for name in self._dialers.keys() - far.keys():
            self._dialers.pop(name).stop()
        linked = self.links()
        for name in sorted(far)[:PEERS_MAX]:
            if name not in self._dialers and name not in linked:
                self._dial(name, far[name])

    def links(self) -> dict[str, Link]:
        """Returns one link to each connected entry of another data centre."""
        zone = self._context.identity.zone
        found: dict[str, Link] = {}
        for link in self._switchboard.links:
            peer = link.peer
            if peer is not None and peer.role is Role.entry and peer.zone != zone:
                found[peer.name] = link
        return found

    def stop(self) -> None:
        """Ends the links that were dialled here."""
        for dialer in self._dialers.values():
            dialer.stop()
        self._dialers.clear()

    def _dial(self, name: str, address: str) -> None:
        context = self._context
        dialer = Dialer(
            context.reactor, address, context.link_settings, self._switchboard, self._rng
        )
        self._dialers[name] = dialer
        dialer.start()
