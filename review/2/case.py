"""One digest in one answer of the origin is wrong: no engine ever gets the named weights."""

import asyncio
import secrets
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin.callers import Caller
from standin.config import MODEL, config, model_service, origin_service, plain_service, route
from standin.servers import Engine, Origin, PlainServer
from standin.site import Site, run

DAY_SECONDS = 75
NAMED_AT_SECONDS = 4
STREAMS_PER_S = 6
LOOKUPS_PER_S = 1
MAX_UNSERVED_SHARE = 0.6  # RULES.md, the gate
ZONES = ('zone-a', 'zone-b')


def spoil_first_list(record):
    """Changes one hexadecimal digit of one digest, in the first list of version 2 that is sent."""
    sent = []

    def spoil(kind, _count, body):
        if kind != 'manifest' or sent or b'"version": 2' not in body:
            return body
        sent.append(1)
        at = body.index(b'"digests": [') + len(b'"digests": ["') + 40 * 68 + 10
        digit = b'0' if body[at : at + 1] != b'0' else b'1'
        record.write('origin spoils one digit of the list', offset=at)
        return body[:at] + digit + body[at + 1 :]

    return spoil


async def send_request(site, record, path, results, started):
    """One client: at most one retry, after the time that the refusal names."""
    sent_at = record.now - started
    kind = 'lookup' if path.startswith('/look/') else 'stream'
    headers = [
        ('Model', MODEL), ('Token-Usage', '964,72'),
        ('Prompt-Prefix', f'aa:40,{secrets.token_hex(4)}:924'),
    ]
    for _try in range(2):
        caller = Caller(site)
        if kind == 'stream':
            sent = await caller.send('POST', path, 6000, headers, b'{"prompt":1}')
        else:
            sent = await caller.send('GET', path, 2500)
        attempt, answer, took = sent
        if caller.channel is not None:
            caller.channel.close()
        status = answer.status if answer is not None else None
        served = answer is not None and status == 200 and answer.complete
        version = answer.headers.get('weight-versions') if answer is not None else None
        record.write(
            'request', kind=kind, id=attempt, status=status, weights=version, s=round(took, 3)
        )
        if served or status not in {429, 503}:
            break
        await asyncio.sleep(min(2, float(answer.headers.get('retry-after', 0))))
    results.append((sent_at, kind, served))


async def main(record, trouble):
    site = Site(record, sides=[('critique-models', ZONES[n % 2]) for n in range(4)])
    app = site.ports['app']
    engines = [
        Engine(site, 'critique-models', f'{side.ip}:{app}', side.zone) for side in site.sides
    ]
    plain = [
        PlainServer(site, 'bookings-app', f'{site.ip(4, n)}:{app}', ZONES[n], 6) for n in range(2)
    ]
    origin = Origin(site, f'{site.ip(5, 0)}:{site.ports["origin"]}', 'zone-a')
    if trouble:
        origin.spoil = spoil_first_list(record)
    for server in (*engines, *plain, origin):
        await server.start()
    site.start()
    routes = [
        route('album', '/album/', 'streaming', 'critique-models'),
        route('look', '/look/', 'idempotent', 'bookings-app'),
    ]
    services = [
        model_service('critique-models'), plain_service('bookings-app'),
        origin_service('label-portal', origin.address, 'zone-a'),
    ]
    await site.order('PUT', '/api/config', config(1, routes, services))
    await site.ready(2)

    async def name_weights():
        await asyncio.sleep(NAMED_AT_SECONDS)
        origin.newest = 2
        body = f'{{"model":"{MODEL}","version":2}}'.encode()
        await site.order('POST', '/api/version-put', body)

    started, results = record.now, []
    tasks = [asyncio.create_task(name_weights())]
    turn = 0
    while record.now - started < DAY_SECONDS:
        turn += 1
        is_lookup = turn % (STREAMS_PER_S + LOOKUPS_PER_S) == 0
        path = '/look/1' if is_lookup else '/album/x'
        tasks.append(asyncio.create_task(send_request(site, record, path, results, started)))
        await asyncio.sleep(1 / (STREAMS_PER_S + LOOKUPS_PER_S))
    await asyncio.gather(*tasks)
    for first in range(0, DAY_SECONDS, 5):
        window = [r for r in results if first <= r[0] < first + 5 and r[1] == 'stream']
        served = sum(r[2] for r in window)
        record.write('streams', from_s=first, asked=len(window), served=served)
    unserved_share = sum(not served for _at, _kind, served in results) / len(results)
    record.write('origin', lists=origin.lists, pieces=origin.pieces)
    record.write('engines', versions=[engine.version for engine in engines])
    record.write('refused or failed', share=round(unserved_share, 3), of=len(results))
    return unserved_share <= MAX_UNSERVED_SHARE


run(main)
