"""The relay program: one link to the control hosts for all entries of a region.

It keeps nothing on disk. Entries list relays in ``entry.control`` in place of control
hosts, preferably two relays on different hosts.
"""

import random
from typing import Any

from twisted.internet.defer import Deferred, succeed

from jackdawsail import events
from jackdawsail.control.fanout import RevisionFanout, connect_fan_out
from jackdawsail.loops import make_loop
from jackdawsail.message_router import MessageRouter
from jackdawsail.process import ProcessContext
from jackdawsail.program import require_section, run_program
from jackdawsail.relay.forwarding import connect_forwarder
from jackdawsail.relay.region_links import RegionLinks, connect_region_links
from jackdawsail.relay.region_table import RegionTable
from jackdawsail.settings.models import RelaySettings
from jackdawsail.state.replica import StateReplica
from jackdawsail.wire.dialer import Dialer
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import LinkServerFactory
from jackdawsail.wire.tls import listen

RENEW_SECONDS = 0.5


class RelayProgram:
    """Creates the components of a relay and connects them."""

    def __init__(self, context: ProcessContext, settings: RelaySettings) -> None:
        self._context = context
        self._settings = settings
        self._router = MessageRouter()
        self._links = _make_links(context, settings, self._router)
        connect_forwarder(self._router, lambda: self._links.leader)
        self._loop = make_loop(context.reactor, self._links.renew)
        rng = random.Random(context.identity.incarnation)
        self._dialers = [
            Dialer(context.reactor, address, context.link_settings, self._router, rng)
            for address in settings.control
        ]
        self._port: Any = None

    def start(self) -> None:
        """Listens for entries, dials the control hosts and logs that the process is ready."""
        context = self._context
        factory = LinkServerFactory(context.link_settings, self._router, context.reactor)
        address = context.host.address
        self._port = listen(
            context.reactor, self._settings.link_port, address, factory, context.tls
        )
        for dialer in self._dialers:
            dialer.start()
        self._loop.start(RENEW_SECONDS)
        events.log(events.PROCESS_READY, role='relay', link_port=self._port.getHost().port)

    def stop(self) -> 'Deferred[None]':
        """Closes the links; entries switch to their other relay before their lease lapses."""
        self._loop.stop()
        self._port.stopListening()
        for link in list(self._router.links):
            link.close('relay stops')
        for dialer in self._dialers:
            dialer.stop()
        return succeed(None)


def _make_links(
    context: ProcessContext, settings: RelaySettings, router: MessageRouter
) -> RegionLinks:
    replica = StateReplica()
    fan_out = connect_fan_out(RevisionFanout(context.reactor, lambda: replica.records), router)

    def forward_changes(keys: set[str]) -> None:
        fan_out.on_change(replica.revision, {key: replica.records.get(key) for key in keys})

    replica.watch(forward_changes)
    links = RegionLinks(
        reactor=context.reactor,
        router=router,
        replica=replica,
        table=RegionTable(),
        own_name=context.identity.name,
        lease_seconds=settings.zone_lease_seconds,
        answered_at_seconds=context.reactor.seconds(),
    )
    return connect_region_links(links)


def build(context: ProcessContext) -> Any:
    """Builds and starts the relay; returns its stop function."""
    settings = require_section(context.settings.relay, 'relay')
    program = RelayProgram(context, settings)
    program.start()
    return program.stop


def main() -> None:
    """Runs the command line."""
    run_program(Role.relay, build, __doc__)


if __name__ == '__main__':
    main()
