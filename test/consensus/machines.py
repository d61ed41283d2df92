"""The parts of a simulated machine: clock, disk and state machine."""

import hashlib
from dataclasses import dataclass, field
from typing import Any

from jackdawsail.control.consensus_host import ConsensusHost
from test.consensus.disks import Disk

SNAPSHOT_EVERY_ENTRIES = 12
KEEP_ENTRIES = 4


class EveryEntries:
    """Compacts the log at a fixed number of entries, and keeps a fixed number of them."""

    def is_due(self, log, snapshot, applied_index):
        covered_index = 0 if snapshot is None else snapshot.index
        return applied_index - covered_index >= SNAPSHOT_EVERY_ENTRIES

    def entries_to_keep(self, log, snapshot, applied_index):
        return KEEP_ENTRIES


class DigestMachine:
    """A state machine whose state is a digest of all applied commands."""

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
    """A host's monotonic clock with a rate error and an offset."""

    cluster: Any
    rate: float
    offset_seconds: float

    def seconds(self):
        return self.offset_seconds + self.cluster.now_seconds * self.rate

    def callLater(self, delay, callable, *args, **kw):
        return None


@dataclass
class Member:
    """One simulated machine; ``host`` is None while it is down.

    ``disk_number`` counts the replacements of its disk. While it is frozen, what it is sent
    waits in its ``backlog``.
    """

    name: str
    clock: LocalClock
    disk: Disk = field(default_factory=Disk)
    host: ConsensusHost | None = None
    machine: DigestMachine = field(default_factory=DigestMachine)
    disk_number: int = 0
    frozen: bool = False
    backlog: list[Any] = field(default_factory=list)


class CheckedMachine:
    """Forwards commands to a member's machine and has the cluster compare the states."""

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
