"""Stand-ins of clients: they ask the directory, keep channels and send requests."""

import asyncio
import json
import random
import secrets
import time

from standin.http import Broken, call, connect


class Caller:
    """One client with at most one kept channel."""

    def __init__(self, site, region='region-a', zone='zone-a'):
        self.site, self.region, self.zone = site, region, zone
        self.addresses = []
        self.valid_until = 0
        self.channel = None

    async def resolve(self):
        if time.monotonic() < self.valid_until and self.addresses:
            return self.addresses
        target = f'/api/resolve?name=hulo84.example&region={self.region}&zone={self.zone}'
        for machine in self.site.core:
            address = f'{machine.ip}:{self.site.ports["directory"]}'
            try:
                answer = await call(address, 'GET', target)
            except Broken:
                continue
            if answer.status == 200:
                found = json.loads(answer.body)
                self.addresses = found['addresses']
                self.valid_until = time.monotonic() + min(5, found['ttl_s'])
                break
        return self.addresses

    async def open_channel(self):
        addresses = await self.resolve()
        if not addresses:
            raise Broken('the directory names no address')
        self.channel = await connect(random.choice(addresses))

    async def send(self, method, path, deadline_ms, headers=(), body=b'', kept=True):
        """Sends one client attempt; returns its id, the answer (None without one), the time."""
        attempt = secrets.token_hex(8)
        started = time.monotonic()
        all_headers = [
            ('Host', 'hulo84.example'), ('Attempt-Id', attempt),
            ('Request-Deadline', deadline_ms), *headers,
        ]
        answer = None
        try:
            if self.channel is None or self.channel.closed or not kept:
                await self.open_channel()
            async with asyncio.timeout(deadline_ms / 1000):
                answer = await self.channel.request(method, path, all_headers, body)
        except (Broken, TimeoutError):
            if self.channel is not None:
                self.channel.close()
        return attempt, answer, time.monotonic() - started
