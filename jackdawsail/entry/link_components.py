"""Builds the components that own an entry's links."""

from dataclasses import dataclass

from jackdawsail.entry.agent_links import AgentLinks
from jackdawsail.entry.control_links import ControlLinks
from jackdawsail.entry.peers import PEER_PREFIX, PeerLinks
from jackdawsail.entry.state_fanout import StateFanout
from jackdawsail.membership.zone_table import ZoneTable
from jackdawsail.message_router import MessageRouter
from jackdawsail.process import ProcessContext
from jackdawsail.wire.link import Link


@dataclass(frozen=True, slots=True)
class LinkComponents:
    """The link components of an entry, used by request processing and the tracker."""

    router: MessageRouter
    state: StateFanout
    table: ZoneTable
    control: ControlLinks
    agents: AgentLinks
    peers: PeerLinks

    def link_of(self, candidate: str) -> Link | None:
        """Returns the link of a candidate (an agent or an entry of another zone), or None."""
        if candidate.startswith(PEER_PREFIX):
            return self.peers.link(candidate)
        return self.agents.link(candidate)


def make_link_components(context: ProcessContext) -> LinkComponents:
    """Builds the link components; nothing is dialled yet."""
    router = MessageRouter()
    table = ZoneTable()
    state = StateFanout(router)
    control = ControlLinks(context, router, state, table)
    agents = AgentLinks(context.reactor, router, table, control)
    peers = PeerLinks(context, router)
    return LinkComponents(router, state, table, control, agents, peers)
