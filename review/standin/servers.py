"""Stand-ins of model engines, plain services and the origin of weights.

They run inside the script's own process and follow PROTOCOL.md. Each start of an engine is a new
incarnation with its own id.
"""

import asyncio
import hashlib
import json
import secrets
import time
from urllib.parse import parse_qs, urlsplit

from standin.config import CHUNK_BYTES, CHUNKS, MODEL
from standin.http import Broken, call, serve

EVENT_SECONDS = 0.04
LAYERS = 16


def piece_bytes(version, index):
    """The bytes of one piece of a version's weights."""
    seed = hashlib.sha256(f'{version}/{index}'.encode()).digest()
    return (seed * (CHUNK_BYTES // len(seed) + 1))[:CHUNK_BYTES]


class Server:
    """What engines and plain servers have in common: registration, health and refusals."""

    def __init__(self, site, service, address, zone, slots):
        self.site, self.service, self.address, self.zone = site, service, address, zone
        self.slots = slots
        self.id = f'i-{secrets.token_hex(4)}'
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.runs = []  # the Attempt-Id of each request that began to run
        self.listener = None
        self.tasks = []

    async def start(self):
        self.listener = await serve(self.address, self.handle)
        self.tasks.append(asyncio.create_task(self._beat()))

    async def _beat(self):
        turn = 0
        while True:
            self.beats += 1
            beat = {
                'service': self.service, 'address': self.address, 'zone': self.zone,
                'version': 'v1', 'slots': self.slots, 'state': 'ready', 'cold_remaining_ms': 0,
                'sequence': self.beats, 'born': self.born, **self.report_fields(),
            }
            for offset in range(len(self.site.seeds)):
                address = self.site.seeds[(turn + offset) % len(self.site.seeds)]
                try:
                    answer = await call(
                        address, 'PUT', f'/api/instances/{self.id}', (),
                        json.dumps(beat).encode(),
                    )
                except Broken:
                    continue
                if answer.status < 300:
                    turn += offset
                    break
            await asyncio.sleep(1.2)

    def report_fields(self):
        return {}

    def stamp(self, request):
        return [
            ('Attempt-Id', request.headers.get('attempt-id', '')),
            ('Server-Stamp', f'{self.id}.{secrets.token_hex(4)}'),
            ('Keep-Alive', 'timeout=5'),
        ]

    def refuse(self, answer, request, status):
        headers = [
            ('Attempt-Id', request.headers.get('attempt-id', '')), ('Not-Executed', '1'),
            ('At-Server', self.address),
        ]
        answer.send(status, headers)

    async def handle(self, request, answer):
        path = urlsplit(request.target).path
        expected = request.headers.get('expect-instance', self.id)
        if path == '/health':
            answer.send(200, [('Instance-Id', self.id)])
        elif expected != self.id:
            self.refuse(answer, request, 421)
        else:
            await self.run(request, answer, path)

    async def run(self, request, answer, path):
        raise NotImplementedError


class PlainServer(Server):
    """A plain service that answers after ``work_seconds``."""

    work_seconds = 0.03

    async def run(self, request, answer, path):
        attempt = request.headers.get('attempt-id', '')
        self.runs.append(attempt)
        await asyncio.sleep(self.work_seconds)
        await self.reply(request, answer)

    async def reply(self, request, answer):
        answer.send(200, self.stamp(request), b'{"done":true}')


class Engine(Server):
    """A model engine beside an agent; it holds the weights of one version.

    ``staged`` are the pieces at the engine, ``loaded`` what each layer was loaded from.
    """

    def __init__(self, site, service, address, zone):
        super().__init__(site, service, address, zone, slots=16)
        self.version = 1
        self.staged = {index: piece_bytes(1, index) for index in range(CHUNKS)}
        self.bad_since = {}  # staged piece -> when it turned bad
        self.faults = []  # of the loaded layers
        self.orders = 0
        self.busy = False
        self.running = 0
        self.on_stage_get = lambda index: None

    def report_fields(self):
        models = [{'name': MODEL, 'version': self.version, 'adapters': []}] if self.version else []
        return {
            'stage': 'both', 'models': models,
            'layers': {'from': 0, 'target': LAYERS, 'version': self.version},
        }

    async def run(self, request, answer, path):
        query = parse_qs(urlsplit(request.target).query)
        index = int(query.get('quantity', ['-1'])[0])
        if path == '/api/report':
            report = {
                **self.report_fields(), 'busy': self.busy, 'sequence': self.orders, 'waiting': 0,
                'running': self.running, 'kv_used': 0, 'kv_total': 90000, 'handles': 0,
                'pace': 1.0, 'born': self.born,
            }
            answer.send(200, (), json.dumps(report).encode())
        elif path.startswith('/api/stage-put/'):
            self.staged[index] = request.body
            self.bad_since.pop(index, None)
            answer.send(200)
        elif path.startswith('/api/stage-get/') and index >= 0:
            if index in self.staged:
                answer.send(200, (), self.staged[index])
            else:
                answer.send(404)
            self.on_stage_get(index)
        elif path.startswith('/api/stage-get/'):
            answer.send(200, (), json.dumps({'held': sorted(self.staged)}).encode())
        elif path == '/api/order':
            self._order(json.loads(request.body), answer)
        else:
            await self._generate(request, answer)

    def turn_bad(self, index):
        """One staged piece turns bad."""
        self.staged[index] = b'\xff' + self.staged[index][1:]
        self.bad_since[index] = time.monotonic()

    def _order(self, order, answer):
        if order.get('operation') != 'start':
            answer.send(400)
        elif self.busy or order.get('expect', self.orders) != self.orders:
            answer.send(409)
        else:
            self.orders += 1
            version = order['version']
            pieces = dict(self.staged)
            now = time.monotonic()
            faults = [
                (index, round(now - self.bad_since.get(index, now), 2))
                for index in range(CHUNKS)
                if pieces.get(index) != piece_bytes(version, index)
            ]
            self.site.record.write(
                'order', engine=self.id, version=version, spoilt=faults, accepted=True
            )
            self.busy = True
            self.tasks.append(asyncio.create_task(self._load(version, faults)))
            answer.send(202)

    async def _load(self, version, faults):
        while self.running:
            await asyncio.sleep(0.02)
        self.version = 0
        await asyncio.sleep(0.3)
        self.version, self.faults, self.busy = version, faults, False
        self.site.record.write('loaded', engine=self.id, version=version)

    async def _generate(self, request, answer):
        wanted = request.headers.get('expect-version')
        if wanted and int(wanted) != self.version:
            self.refuse(answer, request, 421)
            return
        if self.busy or not self.version or self.running >= self.slots + 8:
            self.refuse(answer, request, 503)
            return
        attempt = request.headers.get('attempt-id', '')
        first = int(request.headers.get('last-event-id') or 0) + 1
        self.running += 1
        self.runs.append(attempt)
        try:
            headers = [
                *self.stamp(request), ('Weight-Versions', self.version),
                ('Content-Type', 'text/event-stream'),
            ]
            await asyncio.sleep(0.1)
            answer.start_chunks(200, headers)
            for number in range(first, 13):
                if answer.is_gone:
                    return
                answer.chunk(f'id: {number}\ndata: {"w" * 60}\n\n'.encode())
                await asyncio.sleep(EVENT_SECONDS)
            answer.end_chunks()
        finally:
            self.running -= 1


class Origin:
    """The origin of weights; ``spoil(kind, count, body)`` may change what it sends."""

    def __init__(self, site, address, zone):
        self.site, self.address, self.zone = site, address, zone
        self.newest = 1
        self.lists = 0
        self.pieces = 0
        self.spoil = lambda kind, count, body: body
        self._link = asyncio.Lock()

    async def start(self):
        self.listener = await serve(self.address, self.handle)

    async def handle(self, request, answer):
        split = urlsplit(request.target)
        query = parse_qs(split.query)
        version = int(query.get('version', [self.newest])[0])
        if version > self.newest or version < self.newest - 1:
            answer.send(410 if version < self.newest else 404)
        elif split.path.startswith('/api/manifest/'):
            self.lists += 1
            body = self.spoil('manifest', self.lists, self._manifest(version))
            self.site.record.write('origin sends list', version=version, bytes=len(body))
            answer.send(200, [('Content-Type', 'application/json')], body)
        elif split.path.startswith('/api/piece/'):
            self.pieces += 1
            index = int(query['quantity'][0])
            async with self._link:
                await asyncio.sleep(CHUNK_BYTES * 8 / 7.3e6)
            answer.send(200, (), self.spoil('piece', self.pieces, piece_bytes(version, index)))
        else:
            answer.send(404)

    def _manifest(self, version):
        digests = [
            hashlib.sha256(piece_bytes(version, index)).hexdigest() for index in range(CHUNKS)
        ]
        return json.dumps({
            'model': MODEL, 'version': version, 'chunk_bytes': CHUNK_BYTES, 'layers': LAYERS,
            'digests': digests,
        }).encode()
