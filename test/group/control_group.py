"""Control hosts of a site on one clock, with disks and links in memory.

A host may be killed and started again from its disk, also together with all others. Its entries
are linked to all running hosts, as in production.
"""

from contextlib import contextmanager

from jackdawsail.control.raft_replicator import RaftReplicator
from jackdawsail.control.replicator import make_host, open_folder
from jackdawsail.group.fanout import SiteFanout
from jackdawsail.group.program import SUMMARY_INTERVAL_SECONDS
from jackdawsail.group.replicated_lists import make_replicated_lists
from jackdawsail.loops import start_loop
from jackdawsail.message_router import MessageRouter
from jackdawsail.process import ProcessContext, make_identity
from jackdawsail.routing.weight_rules import weight_rule
from jackdawsail.settings.models import ControlSettings, HostSettings, Settings, VoterSettings
from jackdawsail.site.machine import SiteMachine
from jackdawsail.site.view import SiteView
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.site_messages import SiteSummary
from test.control.test_raft_replicator import NAMES, Group, MemoryLinks

STEP_SECONDS = 0.01


class ProcessClock:
    """The clock of one process, which calls nothing any more once the process is killed."""

    def __init__(self, clock):
        self._clock = clock
        self.alive = True

    def seconds(self):
        return self._clock.seconds()

    def callLater(self, delay_seconds, function, *arguments):
        return self._clock.callLater(delay_seconds, self._call, function, arguments)

    def _call(self, function, arguments):
        if self.alive:
            function(*arguments)


class SiteHost:
    """A control host as ``ControlProgram`` builds it, without listening ports."""

    def __init__(self, group, name, number):
        self.clock = ProcessClock(group.clock)
        self.links = MemoryLinks(name, group)
        self.machine = SiteMachine()
        self.router = MessageRouter()
        self.fanout = SiteFanout(self.clock, self.router, self.machine)
        voters = [VoterSettings(name=voter, address='127.0.0.1:1') for voter in NAMES]
        control = ControlSettings(
            data_folder='/nowhere', snapshot_every_entries=group.snapshot_every, voters=voters
        )
        location = HostSettings(name=name, zone='z', region='r')
        settings = Settings(deployment='test', host=location, control=control)
        context = ProcessContext(
            self.clock, settings, make_identity(Role.control, location, number), b''
        )
        opened = open_folder(group.disks[name], 'memory')
        consensus_host = make_host(context, opened, self.machine, self.links.send)
        self.replicator = RaftReplicator(name, control, consensus_host, self.links)
        self.lists = make_replicated_lists(self.clock, self.replicator, self.fanout)
        self._within_seconds = group.within_seconds

    def start(self):
        self.replicator.start()
        self.fanout.start()
        start_loop(self.clock, self._run_periodic_tasks, SUMMARY_INTERVAL_SECONDS)

    def kill(self):
        self.clock.alive = False
        self.links.stop()

    def _run_periodic_tasks(self):
        self.fanout.send_summary()
        self.lists.update([], self._within_seconds)


class EntryLink:
    """The link of a control host to an entry, which applies the summaries that it gets."""

    def __init__(self, entry):
        self.peer = Identity(Role.entry, '10.0.0.5', 'z', 'r', 1)
        self._entry = entry

    def send(self, message):
        if isinstance(message, SiteSummary):
            self._entry.view.apply_summary(message, self._entry.clock.seconds())


class Entry:
    """What an entry knows of announced weights."""

    def __init__(self, clock):
        self.clock = clock
        self.view = SiteView()

    def link_to(self, host):
        host.router.link_opened(EntryLink(self))

    def least_version(self, within_seconds):
        """Returns the oldest version of ``m`` that may run a call which is sent now."""
        targets = self.view.weights.get('m', ())
        return weight_rule('m', targets, within_seconds, self.clock.seconds()).least_version


class ControlGroup(Group):
    """Three control hosts; the fan-outs are not linked and tell each other nothing.

    Engines must serve new weights ``within_seconds`` after their announcement.
    """

    def __init__(self, within_seconds=8.0, snapshot_every=1000):
        self.hosts = {}
        self.within_seconds = within_seconds
        super().__init__(snapshot_every)
        self.run(4)

    def start(self, name, number):
        host = SiteHost(self, name, number)
        self.hosts[name] = host
        self.links[name], self.machines[name] = host.links, host.machine
        self.replicators[name] = host.replicator
        host.start()

    def start_entry(self):
        """Starts an entry that is linked to all control hosts."""
        entry = Entry(self.clock)
        for host in self.hosts.values():
            entry.link_to(host)
        return entry

    def commit(self, command):
        """Commits a command through the leader."""
        outcomes = []
        self.replicators[self.leader()].propose(command).addCallback(outcomes.append)
        self.run(0.3)
        assert outcomes[0].unwrap()

    def restart_all(self, down_seconds=0.2):
        """Kills all control hosts at the same moment and starts them from their disks."""
        for host in self.hosts.values():
            host.kill()
        self.run(down_seconds)
        for number, name in enumerate(NAMES):
            self.start(name, number)

    @contextmanager
    def lagging(self, name):
        """Cuts one host off from the others, so that its log falls behind."""
        self.isolated = {name}
        try:
            yield
        finally:
            self.isolated = set()
