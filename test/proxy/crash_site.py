"""A whole site without a network: entries, control hosts, and engines that some calls crash."""

import random
from dataclasses import dataclass, replace
from types import SimpleNamespace

from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.python.failure import Failure

from jackdawsail.group.replicated_lists import make_replicated_lists
from jackdawsail.http1.channel_pool import CONNECT_SECONDS
from jackdawsail.http1.server import ServerFactory
from jackdawsail.http1.server_options import ServerOptions
from jackdawsail.proxy.admission import CallAdmission
from jackdawsail.proxy.program import make_entry_program
from jackdawsail.registry.registration import ModelVersion, Registration
from jackdawsail.site.document import CallKind, Service, Share
from jackdawsail.site.node import NodeBounds, NodeSettings
from jackdawsail.site.process import NodeProcess
from jackdawsail.wire.codec import decode, encode
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.site_messages import MemberHost, SiteSummary
from test.group.test_call_handler import Host
from test.http1.ends import Reactor, Transport, close
from test.proxy.world import CODEC, MODEL_SERVICE, STREAM, answer, begin_stream, event, status_of
from test.site.documents import make_customer, make_document, make_route

LINK_SECONDS = 0.002
STEP_SECONDS = 0.01
BEGIN_SECONDS = 0.15  # from the arrival of a call until its answer begins
CRASH_SECONDS = 0.07  # from the begin of an answer until a bad prompt ends the engine
EVENT_SECONDS = 0.05
EVENTS = 24
DOWN_SECONDS = 2.5
SUMMARY_SECONDS = 0.5
WORK_SECONDS = 0.1  # of a call of the plain service
PLAIN_SERVICE = Service('p')
LOOKUP = make_route('lookup', path_prefix='/lookup/', shares=(Share('p', 1),), is_public=True)
BOOKING = make_route(
    'booking',
    path_prefix='/booking/',
    kind=CallKind.non_idempotent,
    max_upstreams=1,
    shares=(Share('p', 1),),
    is_public=True,
)
ROUTES = (replace(STREAM, is_public=True), LOOKUP, BOOKING)
CUSTOMERS = (make_customer('first', 'key1', 'key2'), make_customer('second', 'key3'))


@dataclass(frozen=True)
class PlainRequest:
    """A request as a caller repeats it, without the headers that differ between repeats."""

    path: str
    key: str = 'key1'
    body: str = ''
    model: str = ''

    def encode(self, attempt, headers=''):
        headers += f'Model: {self.model}\r\n' if self.model else ''
        head = f'POST {self.path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\n'
        head += f'Authorization: Token {self.key}\r\nRequest-Deadline: 2500\r\n{headers}'
        return f'{head}Content-Length: {len(self.body)}\r\n\r\n{self.body}'.encode()


class LinkEnd:
    """One end of a link in memory; messages arrive encoded, in order, after LINK_SECONDS."""

    def __init__(self, clock, router, peer):
        self.clock, self.router, self.peer = clock, router, peer
        self.other = None
        self.is_open = True
        self.sent_bytes = 0

    def send(self, message):
        frame = encode(message)
        self.sent_bytes += len(frame)
        self.clock.callLater(LINK_SECONDS, self.other.receive, frame)
        return True

    def receive(self, frame):
        if self.is_open:
            self.router.link_received(self, decode(frame).unwrap())

    def close(self, reason):
        raise AssertionError(reason)


class Engine:
    """An engine with its calls; it ends shortly after it began a bad one."""

    def __init__(self, site, number, service='s'):
        self.site, self.number, self.service = site, number, service
        self.address = f'10.1.0.{number}:80'
        self.born = 0
        self.restart()

    @property
    def name(self):
        return f'i-{self.number}-{self.born}'

    def restart(self):
        self.born += 1
        self.alive, self.channels, self.beats = True, [], 0
        self.site.register(self)

    def crash(self):
        self.alive = False
        self.site.ended_seconds.append(self.site.clock.seconds())
        channels, self.channels = self.channels, []
        for channel in channels:
            close(channel)
        self.site.clock.callLater(DOWN_SECONDS, self.restart)

    def accept(self, factory):
        channel = factory.buildProtocol(None)
        self.channels.append(channel)
        channel.makeConnection(Transport())

    def read_requests(self):
        for channel in list(self.channels):
            written = channel.transport.take_written()
            if written:
                self.site.record_send(self, written)
                if self.service == 'p':
                    self.run_plain(channel, written)
                else:
                    self.site.clock.callLater(BEGIN_SECONDS, self.begin, channel, written)
            elif channel.transport.closed or channel.transport.aborted:
                self.channels.remove(channel)

    def begin(self, channel, written):
        if channel not in self.channels:
            return
        begin_stream(channel, header_of(written, 'Attempt-Id'))
        parts = set(parts_of(written)[:-1])
        if parts & self.site.bad_parts or path_and_body(written) in self.site.bad_requests:
            self.site.clock.callLater(CRASH_SECONDS, self.end_by, channel)
        else:
            self.site.clock.callLater(EVENT_SECONDS, self.send_event, channel, 1)

    def run_plain(self, channel, written):
        if path_and_body(written) in self.site.bad_requests:
            self.site.clock.callLater(CRASH_SECONDS, self.end_by, channel)
        else:
            attempt = header_of(written, 'Attempt-Id')
            self.site.clock.callLater(WORK_SECONDS, self.answer_plain, channel, attempt)

    def answer_plain(self, channel, attempt):
        if channel in self.channels:
            answer(channel, self.site.plain_status, attempt)

    def end_by(self, channel):
        if channel in self.channels:
            self.crash()

    def send_event(self, channel, number):
        if channel not in self.channels:
            return
        channel.dataReceived(event(number))
        if number < EVENTS:
            self.site.clock.callLater(EVENT_SECONDS, self.send_event, channel, number + 1)
        else:
            channel.dataReceived(b'0\r\n\r\n')


class Entry:
    """An entry program whose links and callers are in memory."""

    def __init__(self, site, address):
        self.site, self.address = site, address
        settings = NodeSettings(
            'e',
            address,
            'z',
            'r',
            {'z': 'r'},
            bounds=NodeBounds(retry_slack=200, cold_ratio=1.5, cold_slack=5),
        )
        clock = site.clock
        incarnation = random.Random(f'{site.seed}/{address}').getrandbits(40)
        process = NodeProcess(
            clock, settings, Role.entry, incarnation, started_seconds=clock.seconds() - 60
        )
        codecs = SimpleNamespace(traffic=CODEC, calls=None, decode_document=None, origin=None)
        self.program = make_entry_program(process, codecs)
        self.context = self.program.context
        self.client = self.program.client
        self.client.on_connected = self.program._link_opened
        self.view = self.context.view
        self.view.on_registrations.append(self.program._registrations_changed)
        self.program.traits.start(clock)
        self.client.start()
        services = [MODEL_SERVICE, PLAIN_SERVICE]
        document = make_document(routes=ROUTES, services=services, customers=CUSTOMERS)
        self.view.apply_document(document)
        options = ServerOptions(CallAdmission(self.context).handle, clock, document.limits)
        self.factory = ServerFactory(options)
        self.identity = Identity(Role.entry, address, 'z', 'r', site.rng.getrandbits(40))

    def send(self, request):
        connection = self.factory.buildProtocol(None)
        transport = Transport()
        connection.makeConnection(transport)
        connection.dataReceived(request)
        return transport

    def call(self, attempt, prompt):
        head = f'POST /stream/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\n'
        head += f'Model: m\r\nRequest-Deadline: 6000\r\nPrompt-Prefix: {prompt}\r\n'
        return self.send(f'{head}Content-Length: {len(attempt)}\r\n\r\n{attempt}'.encode())


class CrashSite:
    """Entries and engines on one clock; ``sent`` lists each call that reached an engine."""

    def __init__(self, seed=1, entries=5, engines=6, controls=3, plain_engines=0):
        self.clock = Reactor()
        self.clock.advance(100)
        self.seed = seed
        self.rng = random.Random(seed)
        self.bad_parts = set()
        self.bad_requests = set()
        self.plain_status = 200
        self.dark_addresses = set()
        self.ended_seconds = []
        self.sent = []
        self.callers = []
        self.links = []
        self.controls = [self.make_control(number) for number in range(controls)]
        self.engines = []
        self.entries = []
        addresses = [f'10.9.0.{number}' for number in range(1, entries + 1)]
        self.members = [MemberHost(address, 'z', 'r') for address in addresses]
        for address in addresses:
            self.entries.append(self.make_entry(address))
        for number in range(1, engines + 1):
            self.engines.append(Engine(self, number))
        for number in range(engines + 1, engines + plain_engines + 1):
            self.engines.append(Engine(self, number, 'p'))
        self.send_summaries()
        self.run(0.1)

    def make_control(self, number):
        host = Host(self.clock)
        host.identity = Identity(Role.control, f'10.8.0.{number}', 'z', 'r', number)
        make_replicated_lists(host.clock, host.replicator, host.fanout)
        return host

    def make_entry(self, address):
        entry = Entry(self, address)
        entry.view.apply_sharing_entries(SiteSummary(1, 0, [], [], self.members))
        for control in self.controls:
            self.link(entry.client.router, entry.identity, control.router, control.identity)
        return entry

    def link(self, router, identity, other_router, other_identity):
        near = LinkEnd(self.clock, router, other_identity)
        far = LinkEnd(self.clock, other_router, identity)
        near.other, far.other = far, near
        self.links.append((near, far))
        other_router.link_opened(far)
        router.link_opened(near)

    def close_links(self, router):
        for near, far in list(self.links):
            if router in (near.router, far.router):
                self.links.remove((near, far))
                for end in (near, far):
                    end.is_open = False
                    end.router.link_closed(end, 'closed')

    def restart_all(self):
        """Restarts all entries and control hosts; only what control hosts have stored remains."""
        stored = [control.machine.snapshot() for control in self.controls]
        for process in (*self.controls, *(entry.client for entry in self.entries)):
            self.close_links(process.router)
        self.controls = [self.make_control(number) for number in range(len(stored))]
        for control, snapshot in zip(self.controls, stored, strict=True):
            control.machine.restore(snapshot)
        self.entries = [self.make_entry(entry.address) for entry in self.entries]
        self.send_summaries()

    def restart_control(self, number):
        self.controls[number] = self.make_control(number)
        for entry in self.entries:
            control = self.controls[number]
            self.link(entry.client.router, entry.identity, control.router, control.identity)
        return self.controls[number]

    def register(self, engine, leaving=False):
        engine.beats += 1
        registration = Registration(
            upstream=engine.name,
            service=engine.service,
            address=engine.address,
            zone='z',
            places=16,
            leaving=leaving,
            cold_seconds=0,
            born_milliseconds=engine.born,
            sequence=engine.beats,
            models=(ModelVersion('m', 1),),
        )
        for control in self.controls:
            control.fanout.register(registration, 'test')

    def send_summaries(self):
        for control in self.controls:
            control.fanout.send_summary()
        for engine in self.engines:
            if engine.alive:
                self.register(engine)
        self.clock.callLater(SUMMARY_SECONDS, self.send_summaries)

    def record_send(self, engine, written):
        marks = {*parts_of(written), path_and_body(written)}
        self.sent.append((self.clock.seconds(), engine.name, marks))

    def sends_of(self, mark):
        """Returns when calls with a part, or with a path and body, reached engines."""
        return [seconds for seconds, _engine, marks in self.sent if mark in marks]

    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            self.pump()

    def pump(self):
        """Opens or refuses the requested connections and reads what was written on them."""
        by_address = {engine.address: engine for engine in self.engines}
        while self.clock.pending_connects or self.clock.pending_checks:
            pending = self.clock.pending_checks or self.clock.pending_connects
            address, factory = pending.pop(0)
            engine = by_address[address]
            if engine.alive:
                engine.accept(factory)
            elif address in self.dark_addresses:
                self.clock.callLater(
                    CONNECT_SECONDS, factory.clientConnectionFailed, None, Failure(TimeoutError())
                )
            else:
                factory.clientConnectionFailed(None, Failure(Refused()))
        for engine in self.engines:
            engine.read_requests()

    def call(self, entry, *shared_parts):
        """Sends a call whose prompt has these parts and one of its own."""
        number = len(self.callers)
        parts = [*shared_parts, f'{number:08x}']
        prompt = ','.join(f'{part}:100' for part in parts)
        caller = entry.call(f'{number:016x}', prompt)
        self.callers.append((shared_parts, caller))
        return caller

    def request(self, entry, plain, headers=''):
        """Sends a request of the plain service with an attempt id of its own."""
        number = len(self.callers)
        caller = entry.send(plain.encode(f'{number:016x}', headers))
        self.callers.append(((plain,), caller))
        return caller

    def offer_requests(self, seconds, bad=(), bad_per_second=2, sound_per_second=10):
        """Offers sound lookups and bookings, and requests that are bad from now on."""
        self.bad_requests.update((each.path, each.body) for each in bad)
        for _ in range(round(seconds / STEP_SECONDS)):
            if self.rng.random() < sound_per_second * STEP_SECONDS:
                self.request(self.rng.choice(self.entries), self.sound_request())
            for each in bad:
                if self.rng.random() < bad_per_second * STEP_SECONDS:
                    self.request(self.rng.choice(self.entries), each)
            self.run(STEP_SECONDS)

    def sound_request(self):
        kind = self.rng.choice(('lookup', 'booking'))
        return PlainRequest(f'/{kind}/{self.rng.randrange(400)}', body='sound')

    def offer(self, seconds, bad_part='', sound_per_second=20, bad_per_second=1):
        """Offers sound calls, and calls with a part that is bad from now on."""
        if bad_part:
            self.bad_parts.add(bad_part)
        for _ in range(round(seconds / STEP_SECONDS)):
            if self.rng.random() < sound_per_second * STEP_SECONDS:
                self.call(self.rng.choice(self.entries), *self.sound_parts())
            if bad_part and self.rng.random() < bad_per_second * STEP_SECONDS:
                first, second = self.sound_parts()
                self.call(self.rng.choice(self.entries), first, bad_part, second)
            self.run(STEP_SECONDS)

    def sound_parts(self):
        return 'c0', f'd{self.rng.randrange(12)}'

    def all_statuses(self, start=0):
        """Returns the statuses of all callers from the call ``start`` on."""
        return [status_of(caller) for _parts, caller in self.callers[start:]]

    def statuses(self, part, start=0):
        """Returns the statuses that callers with a part got, from the call ``start`` on."""
        return [status_of(caller) for parts, caller in self.callers[start:] if part in parts]


def header_of(written, name):
    lines = written.decode('latin-1').split('\r\n')
    return next((line.split(': ', 1)[1] for line in lines if line.startswith(f'{name}: ')), '')


def path_and_body(written):
    head, _, body = written.decode('latin-1').partition('\r\n\r\n')
    return head.split(' ')[1], body


def parts_of(written):
    prompt = header_of(written, 'Prompt-Prefix')
    return [part.partition(':')[0] for part in prompt.split(',') if part]
