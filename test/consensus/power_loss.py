"""A simulated group that loses power at all hosts in one moment, and some disks with it.

Commands are of different sizes and the log is compacted by its size, with limits that a few
commands reach. A host may freeze: it answers nothing for a while and then goes on.
"""

from jackdawsail.consensus.compaction import Compaction
from jackdawsail.consensus.configuration import host_of
from jackdawsail.consensus.core import Timing
from test.consensus.cluster import Cluster
from test.consensus.disks import Disk

# As in production, but pieces and batches as small as the commands.
TIMING = Timing(
    election_timeout_seconds=0.7,
    heartbeat_seconds=0.12,
    replace_voter_after_seconds=2.5,
    batch_bytes=300,
    piece_bytes=48,
    window_bytes=600,
    piece_window_bytes=144,
)
MIN_LOG_BYTES = 700
SEGMENT_BYTES = 300
MAX_PADDING_BYTES = 150
TOLERATED_DISKS = 2
HOSTS = 5


class PowerLossCluster(Cluster):
    """A group whose hosts are all voters, as in production."""

    def __init__(self, seed):
        super().__init__(seed, HOSTS, HOSTS, TIMING, Compaction(every_entries=40))

    def make_command(self, number):
        return b'command %d ' % number + b'x' * self.rng.randint(0, MAX_PADDING_BYTES)

    def freeze(self, name):
        self.members[name].frozen = self.members[name].host is not None

    def thaw(self, name):
        member = self.members[name]
        if not member.frozen:
            return
        member.frozen = False
        for message in member.backlog:
            member.host.submit(message)
        member.backlog.clear()
        self._run(member)

    def settle(self, seconds=40.0):
        for name in self.members:
            self.thaw(name)
        return super().settle(seconds)

    def lose_power(self, lost_names, keep_messages):
        """Ends all hosts at once; those named return with empty disks, if a quorum bears it.

        Returns whether the disks were lost.
        """
        for name in self.members:
            self.boot(name)
        bears = self.lose_disks(lost_names)
        for name in self.members:
            self.crash(name)
        if not keep_messages:
            self._queue.clear()
        return bears

    def lose_disks(self, names):
        """Ends hosts, which return with empty disks, if a quorum bears it; all hosts must run."""
        if not self.bears_loss_of(names):
            return False
        for name in names:
            self.replace_disk(name)
        return True

    def replace_disk(self, name):
        """Ends a host, which returns with an empty disk."""
        self.crash(name)
        self.members[name].disk = Disk()
        self.members[name].disk_number += 1

    def boot_all(self):
        for name in self.members:
            self.boot(name)

    def bears_loss_of(self, lost_names):
        """Returns whether each configuration that may be in force keeps a quorum."""
        cores = [self.core(name) for name in self.members]
        kept = {core.node for core in cores if host_of(core.node) not in lost_names}
        # The log of a host that is behind may end before a configuration that is committed.
        indexes = [(core.log.configuration_index, core.commit_index) for core in cores]
        committed_index = max((index for index, commit in indexes if index <= commit), default=0)
        return all(
            core.configuration.has_quorum(kept)
            for core in cores
            if core.log.configuration_index >= committed_index
        )
