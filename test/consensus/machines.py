"""The parts of a simulated machine: its clock, its disk, its state machine."""

import hashlib
from dataclasses import dataclass, field
from typing import Any

from jackdawsail.control.consensus_host import ConsensusHost
from test.consensus.disks import Disk


class Digest:
    """A state machine whose state is a digest of everything applied."""

    def __init__(self):
        self.state = b''

    def apply(self, index, command):
        self.state = hashlib.sha256(self.state + command).digest() * 4
        return command

    def snapshot(self):
        return self.state

    def restore(self, snapshot):
        self.state = snapshot


@dataclass
class LocalClock:
    """A host's monotonic clock, which runs a little fast or slow."""

    cluster: Any
    rate: float
    offset_seconds: float

    def seconds(self):
        return self.offset_seconds + self.cluster.now_seconds * self.rate

    def callLater(self, delay, callable, *args, **kw):
        return None


@dataclass
class Member:
    """One simulated machine; ``host`` is None while it is down."""

    name: str
    clock: LocalClock
    disk: Disk = field(default_factory=Disk)
    host: ConsensusHost | None = None
    machine: Digest = field(default_factory=Digest)
    disks: int = 0


class Watched:
    """Passes commands to a member's machine and compares the state after each."""

    def __init__(self, member, cluster):
        self._member = member
        self._cluster = cluster

    def apply(self, index, command):
        reply = self._member.machine.apply(index, command)
        self._cluster.on_applied(index, command, self._member.machine.state)
        return reply

    def snapshot(self):
        return self._member.machine.snapshot()

    def restore(self, snapshot):
        self._member.machine.restore(snapshot)
