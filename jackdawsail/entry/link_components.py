"""The parts that own an entry's links, built together."""

from dataclasses import dataclass

from jackdawsail.entry.agent_links import AgentLinks
from jackdawsail.entry.control_links import ControlLinks
from jackdawsail.entry.known_state import KnownState
from jackdawsail.entry.peers import PEER_PREFIX, PeerLinks
from jackdawsail.membership.zone_table import ZoneTable
from jackdawsail.process import ProcessContext
from jackdawsail.message_router import MessageRouter
from jackdawsail.wire.link import Link


@dataclass(frozen=True, slots=True)
class LinkComponents:
    """The link parts of an entry, which the request parts read and send through."""

    router: MessageRouter
    known: KnownState
    table: ZoneTable
    control: ControlLinks
    agents: AgentLinks
    peers: PeerLinks

    def link_of(self, candidate: str) -> Link | None:
        """Returns the link of a candidate: an agent, or an entry of another zone."""
        if candidate.startswith(PEER_PREFIX):
            return self.peers.link(candidate)
        return self.agents.link(candidate)


def make_link_components(context: ProcessContext) -> LinkComponents:
    """Makes the parts that own the entry's links."""
    router = MessageRouter()
    table = ZoneTable()
    known = KnownState(router)
    control = ControlLinks(context, router, known, table)
    agents = AgentLinks(context.reactor, router, table, control)
    peers = PeerLinks(context, router)
    return LinkComponents(router, known, table, control, agents, peers)
