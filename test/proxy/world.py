"""An entry without a network; the test drives callers, upstreams and the clock."""

import math
import random

from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.http1.server import ServerFactory
from jackdawsail.http1.server_options import ServerOptions
from jackdawsail.platform import traffic
from jackdawsail.proxy.admission import CallAdmission
from jackdawsail.proxy.codecs import TrafficCodec
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.registry.registration import ModelVersion, Registration
from jackdawsail.routing.upstreams import UpstreamTable
from jackdawsail.site.document import CallKind, Service
from jackdawsail.site.node import NodeBounds, NodeSettings
from jackdawsail.site.view import SiteView
from jackdawsail.wire.site_messages import (
    AnnouncedWeights,
    EngineLoad,
    MemberHost,
    SiteSummary,
)
from test.http1.ends import Reactor, Transport
from test.site.documents import ENGINE, make_document, make_route

CODEC = TrafficCodec(
    decode_call=traffic.decode_caller_call,
    upstream_headers=traffic.upstream_headers,
    decode_head=traffic.decode_upstream_head,
    retry_after=traffic.retry_after,
)
PLAIN = make_route('plain')
ONCE = make_route('once', path_prefix='/once/', kind=CallKind.non_idempotent, max_upstreams=1)
STREAM = make_route(
    'stream',
    path_prefix='/stream/',
    kind=CallKind.stream,
    resumable=True,
    target_seconds=0.4,
    time_limit_seconds=6.0,
    shares=make_route().shares,
)
STREAM_HEADERS = 'Model: m\r\nRequest-Deadline: 6000\r\n'
MODEL_SERVICE = Service('s', engine=ENGINE, cold_requests_per_second=26)


class World:
    """One entry with its upstreams i-1, i-2, ... at 10.0.0.1:80, 10.0.0.2:80, ..."""

    def __init__(
        self,
        upstreams=2,
        service=None,
        bounds=None,
        routes=None,
        address='10.9.9.9',
        clock=None,
        entries=None,
        started_seconds=-math.inf,
    ):
        self.reactor = clock or Reactor()
        self.reactor.advance(0 if clock else 100)
        view = SiteView()
        settings = NodeSettings(
            'e', address, 'z', 'r', bounds=bounds or NodeBounds(retry_slack=50)
        )
        table = UpstreamTable(1.2, {'z': 'r'})
        pool = ChannelPool(self.reactor, self.reactor)
        rng = random.Random(1)
        self.context = ProxyContext(
            self.reactor, settings, CODEC, view, table, pool, rng, started_seconds
        )
        document = make_document(
            routes=routes or [PLAIN, ONCE, STREAM], services=[service or Service('s')]
        )
        view.apply_document(document)
        self.summarize()
        self.entries_revision = 0
        self.know_entries([address] if entries is None else entries)
        for number in range(1, upstreams + 1):
            self.register(number)
        self.channels = []
        self.reports = 0
        options = ServerOptions(CallAdmission(self.context).handle, self.reactor, document.limits)
        self.factory = ServerFactory(options)

    def summarize(self, revision=1, zones=(), weights=()):
        announced = [AnnouncedWeights(*fields) for fields in weights]
        summary = SiteSummary(revision, 1, list(zones), announced)
        self.context.view.apply_summary(summary, self.reactor.seconds())

    def know_entries(self, addresses):
        """Delivers the addresses of the entries that share the limits with this one."""
        hosts = [MemberHost(address, 'z', 'r') for address in addresses]
        self.entries_revision += 1
        summary = SiteSummary(self.entries_revision, 0, [], [], hosts)
        self.context.view.apply_sharing_entries(summary)

    def register(self, number, version=1, **changes):
        fields = {
            'upstream': f'i-{number}',
            'service': 's',
            'address': f'10.0.0.{number}:80',
            'zone': 'z',
            'places': 16,
            'leaving': False,
            'cold_seconds': 0,
            'born_milliseconds': number,
            'sequence': 1,
            'models': (ModelVersion('m', version),) if version else (),
        }
        registration = Registration(**{**fields, **changes})
        self.context.view.registrations.update(registration, self.reactor.seconds())
        self.context.upstreams.refresh(self.context.view.registrations)

    def report(self, number, running, waiting=0, version=1, switching=False):
        """Delivers a load report of an engine's agent."""
        self.reports += 1
        load = EngineLoad(
            engine_address=f'10.0.0.{number}:80',
            incarnation=1,
            sequence=self.reports,
            weight_version=version,
            switching=switching,
            waiting=waiting,
            running=running,
            memory_share=0,
            pace=1.0,
        )
        self.context.upstreams.apply_load(load, self.reactor.seconds())

    def call(self, path='/p/x', attempt='a1', headers='', method='GET', body='', version='1.1'):
        """Sends a caller's request on a new connection; returns the caller's transport."""
        connection = self.factory.buildProtocol(None)
        transport = Transport()
        connection.makeConnection(transport)
        transport.connection = connection
        head = f'{method} {path} HTTP/{version}\r\nHost: a.example\r\n'
        head += f'Attempt-Id: {attempt}\r\n{headers}'
        if body:
            head += f'Content-Length: {len(body)}\r\n'
        connection.dataReceived(f'{head}\r\n{body}'.encode())
        return transport

    def accept(self):
        """Opens the oldest requested connection and returns its channel."""
        channel = self.reactor.accept()
        self.channels.append(channel)
        return channel

    def refuse(self):
        _address, factory = self.reactor.pending_connects.pop(0)
        factory.clientConnectionFailed(None, None)


def answer(channel, status=200, attempt='a1', body=b'ok', headers=''):
    head = f'HTTP/1.1 {status} X\r\nAttempt-Id: {attempt}\r\nServer-Stamp: s\r\n{headers}'
    channel.dataReceived(f'{head}Content-Length: {len(body)}\r\n\r\n'.encode() + body)


def begin_stream(channel, attempt='a1', version=1):
    head = f'HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nWeight-Versions: {version}\r\n'
    channel.dataReceived(f'{head}Transfer-Encoding: chunked\r\n\r\n'.encode())


def begin_unframed_stream(channel, attempt='a1', version=1):
    """Begins an answer with neither a length nor chunks, which ends with its connection."""
    head = f'HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nWeight-Versions: {version}\r\n\r\n'
    channel.dataReceived(head.encode())


def plain_event(number):
    """Returns an event as it is in a body without chunks."""
    return f'id: {number}\ndata: x{number}\n\n'.encode()


def event(number):
    body = plain_event(number)
    return f'{len(body):x}\r\n'.encode() + body + b'\r\n'


def status_of(transport):
    written = transport.value()
    return int(written.split(b' ')[1]) if written else None


def sent_on(channel):
    return channel.transport.value()


def begin_at_changing_engine(world):
    """Begins a stream at one of two engines, which then reports that it will load new weights."""
    world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
    first = world.accept()
    begin_stream(first)
    first.dataReceived(event(1))
    for number in (1, 2):
        world.report(number, running=3, switching=b'i-%d' % number in sent_on(first))
    return first
