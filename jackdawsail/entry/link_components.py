"""The parts that own an entry's links, built together."""

from dataclasses import dataclass

from jackdawsail.entry.agent_links import AgentLinks
from jackdawsail.entry.control_links import ControlLinks
from jackdawsail.entry.known_state import KnownState
from jackdawsail.entry.peers import PEER_PREFIX, PeerLinks
from jackdawsail.membership.zone_table import ZoneTable
from jackdawsail.process import ProcessContext
from jackdawsail.switchboard import Switchboard
from jackdawsail.wire.link import Link


@dataclass(frozen=True, slots=True)
class LinkComponents:
    """The link parts of an entry, which the request parts read and send through."""

    switchboard: Switchboard
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
    switchboard = Switchboard()
    table = ZoneTable()
    known = KnownState(switchboard)
    control = ControlLinks(context, switchboard, known, table)
    agents = AgentLinks(context.reactor, switchboard, table, control)
    peers = PeerLinks(context, switchboard)
    return LinkComponents(switchboard, known, table, control, agents, peers)
