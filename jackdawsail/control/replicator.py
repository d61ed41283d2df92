"""Creates the replicator of a control process from its settings and its data folder.

Example::

    replicator = make_replicator(context, router, state_machine)
    replicator.start()
    replicator.propose(command).addCallback(print)
"""

import random
import secrets
from collections.abc import Callable
from pathlib import Path

from returns.result import Failure

from jackdawsail import events
from jackdawsail.consensus.configuration import node_id
from jackdawsail.consensus.core import Timing
from jackdawsail.consensus.files import FileOperations, FolderFiles
from jackdawsail.consensus.interfaces import StateMachine
from jackdawsail.consensus.messages import Message
from jackdawsail.consensus.node import make_node
from jackdawsail.consensus.recovery import OpenedStorage, open_storage
from jackdawsail.control.consensus_host import ConsensusHost
from jackdawsail.control.raft_links import RaftLinks
from jackdawsail.control.raft_replicator import RaftReplicator
from jackdawsail.errors import UserError
from jackdawsail.message_router import MessageRouter
from jackdawsail.process import ProcessContext
from jackdawsail.settings.models import ControlSettings

STORAGE_REFUSED = events.define(
    220, 'error', 'consensus storage is damaged, files are left unchanged'
)
STORAGE_OPENED = events.define(221, 'info', 'consensus storage opened')
RAFT_FOLDER = 'raft'
DISK_ID_BYTES = 6


def make_replicator(
    context: ProcessContext,
    router: MessageRouter,
    state_machine: StateMachine,
    files: FileOperations | None = None,
) -> RaftReplicator:
    """Opens the storage and creates the replicator, which is not started yet.

    Raises ``UserError`` if the storage is damaged or the host is not in the
    settings. Damaged files are left unchanged.
    """
    control = _control_settings(context)
    own_name = context.identity.name
    links = RaftLinks(
        context.reactor, context.link_settings, router, _peer_addresses(control, own_name)
    )
    folder = Path(control.data_folder) / RAFT_FOLDER
    opened = open_folder(files or FolderFiles(folder), folder)
    host = make_host(context, opened, state_machine, links.send)
    return RaftReplicator(own_name, control, host, links)


def _peer_addresses(control: ControlSettings, own_name: str) -> dict[str, str]:
    hosts = {host.name: host.address for host in (*control.voters, *control.learners)}
    if own_name not in hosts:
        raise UserError(f'{own_name} is neither in control.voters nor in control.learners')
    hosts.pop(own_name)
    return hosts


def make_host(
    context: ProcessContext,
    opened: OpenedStorage,
    state_machine: StateMachine,
    send: Callable[[Message], None],
) -> ConsensusHost:
    """Creates the consensus host of a process from the content of its data folder."""
    control = _control_settings(context)
    timing = Timing(
        election_timeout_seconds=control.election_timeout_seconds,
        heartbeat_seconds=control.raft_heartbeat_seconds,
        replace_voter_after_seconds=control.replace_voter_after_seconds,
    )
    own_id = node_id(context.identity.name, opened.disk_id)
    rng = random.Random(context.identity.incarnation)
    now_seconds = context.reactor.seconds()
    node = make_node(own_id, timing, rng, opened.durable, now_seconds)
    return ConsensusHost(context.reactor, node, opened.storage, state_machine, send)


def open_folder(files: FileOperations, folder: Path) -> OpenedStorage:
    """Opens the data folder and logs what it holds; raises UserError if it is damaged."""
    outcome = open_storage(files, secrets.token_hex(DISK_ID_BYTES))
    if isinstance(outcome, Failure):
        events.log(STORAGE_REFUSED, folder=str(folder), reason=outcome.failure())
        raise UserError(f'{folder}: {outcome.failure()}')
    opened = outcome.unwrap()
    durable = opened.durable
    events.log(
        STORAGE_OPENED,
        folder=str(folder),
        disk_id=opened.disk_id,
        term=durable.term,
        entries=len(durable.entries),
        cut_bytes=opened.truncated_bytes,
    )
    return opened


def _control_settings(context: ProcessContext) -> ControlSettings:
    control = context.settings.control
    if control is None:
        raise UserError('settings have no control section')
    return control
