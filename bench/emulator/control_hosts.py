"""Three control hosts of a site in simulated time, over links as narrow as those between regions."""

import json
import random
from collections.abc import Callable
from typing import Any

from twisted.internet.task import Clock

from jackdawsail.consensus.configuration import node_id
from jackdawsail.consensus.core import Core, Timing
from jackdawsail.consensus.files import FileOperations
from jackdawsail.consensus.node import make_node
from jackdawsail.consensus.recovery import open_storage
from jackdawsail.control.consensus_host import ConsensusHost
from jackdawsail.control.raft_links import LinkHandlers
from jackdawsail.control.raft_messages import RaftHello
from jackdawsail.control.raft_replicator import RaftReplicator
from jackdawsail.group.consensus_replica import (
    ELECTION_TIMEOUT_SECONDS,
    HEARTBEAT_SECONDS,
    REPLACE_VOTER_SECONDS,
    SNAPSHOT_EVERY_ENTRIES,
    InitialVoter,
    SiteGroupSettings,
)
from jackdawsail.site.machine import SiteMachine, put_document
from jackdawsail.site.stored_document import store_document
from jackdawsail.wire.codec import encode

NAMES = ('a', 'b', 'c')
LINK_BYTES_PER_SECOND = 10.5e6 / 8  # of all that a host sends to the others
LINK_DELAY_SECONDS = 0.025
STEP_SECONDS = 0.01
MakeFiles = Callable[[], FileOperations]


class NarrowLinks:
    """Delivers the messages of one host one after the other at the rate of its link."""

    def __init__(self, name: str, group: 'NarrowGroup') -> None:
        self.name = name
        self.sent_bytes = dict.fromkeys(NAMES, 0)
        self.handlers: LinkHandlers | None = None
        self._group = group
        self._free_seconds: float = 0

    def start(self, handlers: LinkHandlers) -> None:
        self.handlers = handlers
        self.send_hellos()

    def stop(self) -> None:
        self.handlers = None

    def send(self, message: Any) -> None:
        self.send_to(message.target.partition('@')[0], message)

    def send_to(self, host: str, message: Any) -> bool:
        clock = self._group.clock
        size_bytes = len(encode(message))
        self.sent_bytes[host] += size_bytes
        start_seconds = max(clock.seconds(), self._free_seconds)
        self._free_seconds = start_seconds + size_bytes / LINK_BYTES_PER_SECOND
        arrives_seconds = self._free_seconds + LINK_DELAY_SECONDS
        clock.callLater(arrives_seconds - clock.seconds(), self._deliver, host, message)
        return True

    def send_hellos(self) -> None:
        for host in self.hellos():
            self.send_to(host, self.handlers.make_hello())

    def hellos(self) -> dict[str, RaftHello]:
        others = {name: links for name, links in self._group.links.items() if name != self.name}
        return {
            name: links.handlers.make_hello()
            for name, links in others.items()
            if links.handlers is not None
        }

    def _deliver(self, host: str, message: Any) -> None:
        target = self._group.links[host].handlers
        if target is None:
            return
        if isinstance(message, RaftHello):
            target.on_hello(self.name, message)
        elif message.__class__ in target.forward_handlers:
            target.forward_handlers[message.__class__](self.name, message)
        else:
            target.on_message(message)


class NarrowGroup:
    """Control hosts with the time limits of a site.

    Example::

        group = NarrowGroup(make_files)
        group.put_document(1, documents_of(routes=110)(1))
        group.lose_disk(group.follower())
    """

    def __init__(
        self,
        make_files: MakeFiles,
        make_machine: Callable[[], Any] = SiteMachine,
        snapshot_every_entries: int = SNAPSHOT_EVERY_ENTRIES,
    ) -> None:
        self.clock = Clock()
        self.links: dict[str, NarrowLinks] = {}
        self.files: dict[str, Any] = {}
        self.machines: dict[str, Any] = {}
        self.replicators: dict[str, RaftReplicator] = {}
        self._make_files = make_files
        self._make_machine = make_machine
        self._settings = SiteGroupSettings(
            tuple(InitialVoter(voter) for voter in NAMES), snapshot_every_entries
        )
        for number, name in enumerate(NAMES):
            self.files[name] = make_files()
            self.start(name, number)
        self.run(4)

    def start(self, name: str, number: int) -> None:
        """Starts a host from its disk; ``number`` is one that no earlier start had."""
        opened = open_storage(self.files[name], f'disk{number}').unwrap()
        timing = Timing(
            election_timeout_seconds=ELECTION_TIMEOUT_SECONDS,
            heartbeat_seconds=HEARTBEAT_SECONDS,
            replace_voter_after_seconds=REPLACE_VOTER_SECONDS,
        )
        own_id = node_id(name, opened.disk_id)
        now_seconds = self.clock.seconds()
        node = make_node(own_id, timing, random.Random(number), opened.durable, now_seconds)
        links: Any = NarrowLinks(name, self)
        self.links[name] = links
        self.machines[name] = self._make_machine()
        host = ConsensusHost(
            self.clock, node, opened.storage, self.machines[name], self.links[name].send
        )
        self.replicators[name] = RaftReplicator(name, self._settings, host, links)
        self.replicators[name].start()

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)

    def leader(self) -> str:
        """Returns the leader; waits for one."""
        while True:
            for name, replicator in self.replicators.items():
                if replicator.is_leader():
                    return name
            self.run(STEP_SECONDS)

    def follower(self) -> str:
        leader = self.leader()
        return next(name for name in NAMES if name != leader)

    def propose(self, command: bytes) -> None:
        """Commits a command through the leader."""
        outcomes: list[Any] = []
        self.replicators[self.leader()].propose(command).addCallback(outcomes.append)
        while not outcomes:
            self.run(2 * STEP_SECONDS)
        assert outcomes[0].unwrap()

    def put_document(self, version: int, body: bytes) -> None:
        self.propose(put_document(store_document(version, str(version), body)))

    def lose_disk(self, name: str, down_seconds: float = 3.0) -> None:
        """Takes a host down and starts it again with an empty disk."""
        self.replicators[name].stop()
        self.run(down_seconds)
        self.files[name] = self._make_files()
        self.start(name, len(NAMES) + round(self.clock.seconds() / STEP_SECONDS))

    def has_one_vote_each(self) -> bool:
        """Returns whether the voters are the hosts with the disks that they have now."""
        voters = self.core(self.leader()).configuration.voters
        return set(voters) == {self.core(name).node for name in NAMES}

    def bytes_sent_to(self, name: str) -> int:
        return sum(links.sent_bytes[name] for links in self.links.values())

    def disk_bytes(self, name: str) -> int:
        return sum(len(self.files[name].read(each)) for each in self.files[name].names())

    def core(self, name: str) -> Core:
        return self.replicators[name].host.node.core


def make_route(rng: random.Random) -> dict[str, object]:
    """Returns a route of the platform's format with random names."""
    name = f'r-{rng.getrandbits(40):x}'
    return {
        'name': name,
        'host': f'{name}.example',
        'path_prefix': f'/{name}/',
        'kind': 'idempotent',
        'service': 'bookings',
        'timeout_ms': rng.choice([900, 2500, 6000]),
        'target_latency_ms': rng.randrange(100, 900),
        'max_attempts': 2,
        'priority': rng.randrange(4),
    }


def documents_of(routes: int) -> Callable[[int], bytes]:
    """Returns a function that makes the document of a version; each version changes one route."""
    rng = random.Random(routes)
    listed = [json.dumps(make_route(rng)) for _ in range(routes)]

    def make_document(version: int) -> bytes:
        listed[version % routes] = json.dumps(make_route(rng))
        return f'{{"version": {version}, "routes": [{", ".join(listed)}]}}'.encode()

    return make_document
