"""A machine freezes while its agent verifies staged weights; what turned bad meanwhile is loaded."""

import asyncio
import secrets
import signal
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin.callers import Caller
from standin.config import CHUNKS, MODEL, config, model_service, origin_service, route
from standin.servers import Engine, Origin, piece_bytes
from standin.site import CannotRun, Site, run

FREEZE_SECONDS = 4.0
BAD_PIECES = (0, 1)
FREEZE_AT_PIECE = 48  # of the 96, in the order in which the agent reads them back
EXCUSED_SECONDS = 3.0  # RULES.md, WHOLE


async def main(record, trouble):
    zones = ('zone-a', 'zone-b')
    site = Site(record, sides=[('critique-models', zone) for zone in zones])
    app = site.ports['app']
    engines = [
        Engine(site, 'critique-models', f'{side.ip}:{app}', side.zone) for side in site.sides
    ]
    origin = Origin(site, f'{site.ip(5, 0)}:{site.ports["origin"]}', 'zone-a')
    for server in (*engines, origin):
        await server.start()
    site.start()
    services = [
        model_service('critique-models'),
        origin_service('label-portal', origin.address, 'zone-a'),
    ]
    routes = [route('album', '/album/', 'streaming', 'critique-models')]
    await site.order('PUT', '/api/config', config(1, routes, services))
    await site.ready(2)

    # The first engine of the two waves; its agent reads all pieces back right before the order.
    engine, agent = engines[0], site.sides[0]
    rotted = asyncio.Event()

    def on_stage_get(index):
        is_verified = engine.staged.get(CHUNKS - 1) == piece_bytes(2, CHUNKS - 1)
        all_staged = all(engine.staged.get(n) == piece_bytes(2, n) for n in range(CHUNKS))
        if index != FREEZE_AT_PIECE or rotted.is_set() or not is_verified or not all_staged:
            return
        rotted.set()
        for bad in BAD_PIECES:
            engine.turn_bad(bad)
        record.write('staged pieces turn bad', engine=engine.id, pieces=BAD_PIECES)
        if trouble:
            # From another process, as the engine goes on to answer meanwhile.
            freezer.stdin.write(b'x')
            freezer.stdin.flush()
            record.write('freezes', machine=agent.name)
            asyncio.get_running_loop().call_later(FREEZE_SECONDS, thaw)

    def thaw():
        agent.signal(signal.SIGCONT)
        record.write('wakes', machine=agent.name)

    freezer = subprocess.Popen(
        [sys.executable, str(Path(__file__).resolve().parents[1] / 'standin/freezer.py'),
         str(agent.process.pid)],
        stdin=subprocess.PIPE,
    )
    engine.on_stage_get = on_stage_get
    origin.newest = 2
    await site.order(
        'POST', '/api/version-put', f'{{"model":"{MODEL}","version":2}}'.encode()
    )
    try:
        return await load_and_ask(site, record, engine, rotted)
    finally:
        freezer.stdin.close()
        freezer.wait()


async def load_and_ask(site, record, engine, rotted):
    """Waits until the engine has loaded, and sends requests until one ran there."""
    limit = time.monotonic() + 40
    while engine.version != 2 and time.monotonic() < limit:
        await asyncio.sleep(0.1)
    if engine.version != 2 or not rotted.is_set():
        raise CannotRun('the engine did not load the named weights')
    await asyncio.sleep(1)
    for _ in range(12):
        headers = [
            ('Model', MODEL), ('Token-Usage', '964,72'),
            ('Prompt-Prefix', f'aa:40,{secrets.token_hex(4)}:924'),
        ]
        attempt, answer, _took = await Caller(site).send(
            'POST', '/album/x', 6000, headers, b'{"prompt":1}'
        )
        record.write(
            'request', id=attempt, status=answer.status if answer else None,
            weights=answer.headers.get('weight-versions') if answer else None,
            at_engine=engine.id if attempt in engine.runs else 'another',
        )
        if attempt in engine.runs and answer is not None and answer.status == 200:
            break
        await asyncio.sleep(0.3)
    else:
        raise CannotRun('no request ran at the engine')
    old = [(index, age) for index, age in engine.faults if age > EXCUSED_SECONDS]
    record.write('loaded although bad for longer than excused', pieces_and_seconds=old)
    return not old


run(main)
