"""Creates the replicator and the consensus links of a control host."""

import random
import secrets
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from returns.result import Failure

from jackdawsail import events
from jackdawsail.consensus.configuration import host_of, node_id
from jackdawsail.consensus.core import Timing
from jackdawsail.consensus.files import FolderFiles
from jackdawsail.consensus.interfaces import StateMachine
from jackdawsail.consensus.node import make_node
from jackdawsail.consensus.recovery import OpenedStorage, open_storage
from jackdawsail.control.consensus_host import ConsensusHost
from jackdawsail.control.raft_links import RaftLinks
from jackdawsail.control.raft_replicator import RaftReplicator
from jackdawsail.errors import UserError
from jackdawsail.message_router import MessageRouter
from jackdawsail.site.node import NodeSettings
from jackdawsail.wire.link import LinkSettings

ELECTION_TIMEOUT_SECONDS = 0.7  # several elections fit into the time to acknowledge a change
HEARTBEAT_SECONDS = 0.12  # four heartbeats fit into the leader's lease
REPLACE_VOTER_SECONDS = 2.5  # a replacement must become a voter within the time to catch up
SNAPSHOT_EVERY_ENTRIES = 200  # entries hold whole documents; the log stays far below the disk size
DISK_ID_BYTES = 8

TARGET_CHANGED = events.define(246, 'info', 'target number of voters changed')
STORAGE_READY = events.define(244, 'info', 'consensus log folder opened')


@dataclass(frozen=True, slots=True)
class InitialVoter:
    """A host that is a voter of the group from the bootstrap on."""

    name: str


@dataclass(frozen=True, slots=True)
class SiteGroupSettings:
    """Group settings of a control host; ``voters`` is empty if it must not bootstrap a group."""

    voters: tuple[InitialVoter, ...]
    snapshot_every_entries: int = SNAPSHOT_EVERY_ENTRIES


@dataclass(frozen=True, slots=True)
class ConsensusReplica:
    """The replicator of a control host and the links to the other control hosts."""

    replicator: RaftReplicator
    links: RaftLinks

    def raise_voter_target(self, tolerated_host_losses: int) -> list[str]:
        """Raises the target number of voters to what the tolerated host losses need.

        Has an effect only on the leader, and only once the group has members on enough hosts;
        a host whose disk was replaced is a member twice until the old one is removed.
        Returns the hosts of all members, which the caller must dial.
        """
        configuration = self.replicator.host.node.core.configuration
        needed_voters = 2 * tolerated_host_losses + 1
        hosts = {host_of(member) for member in configuration.members}
        is_short = configuration.target_voters < needed_voters <= len(hosts)
        if is_short and self.replicator.is_leader():
            events.log(TARGET_CHANGED, voters=needed_voters, members=list(configuration.members))
            self.replicator.change_voters(target_voters=needed_voters)
        return sorted(hosts)


def make_consensus_replica(
    reactor: Any,
    settings: NodeSettings,
    link_settings: LinkSettings,
    router: MessageRouter,
    machine: StateMachine,
) -> ConsensusReplica:
    """Opens the data folder and creates the replicator.

    Raises UserError when the stored log is damaged.
    """
    opened = _open(Path(settings.data_folder))
    hosts = {host: f'{host}:{settings.link_port}' for host in settings.seed_hosts}
    hosts.pop(settings.address, None)
    links = RaftLinks(reactor, link_settings, router, hosts)
    timing = Timing(
        election_timeout_seconds=ELECTION_TIMEOUT_SECONDS,
        heartbeat_seconds=HEARTBEAT_SECONDS,
        replace_voter_after_seconds=REPLACE_VOTER_SECONDS,
    )
    own_id = node_id(settings.address, opened.disk_id)
    rng = random.Random(link_settings.identity.incarnation)
    node = make_node(own_id, timing, rng, opened.durable, reactor.seconds())
    host = ConsensusHost(reactor, node, opened.storage, machine, links.send)
    group = SiteGroupSettings(_initial_voters(settings))
    return ConsensusReplica(RaftReplicator(settings.address, group, host, links), links)


def _initial_voters(settings: NodeSettings) -> tuple[InitialVoter, ...]:
    if not settings.may_bootstrap:
        return ()
    return tuple(InitialVoter(host) for host in settings.seed_hosts)


def _open(folder: Path) -> OpenedStorage:
    outcome = open_storage(FolderFiles(folder), secrets.token_hex(DISK_ID_BYTES))
    if isinstance(outcome, Failure):
        raise UserError(f'{folder}: {outcome.failure()}')
    opened = outcome.unwrap()
    events.log(
        STORAGE_READY,
        folder=str(folder),
        disk_id=opened.disk_id,
        term=opened.durable.term,
        entries=len(opened.durable.entries),
        cut_bytes=opened.truncated_bytes,
    )
    return opened
