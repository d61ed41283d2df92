"""Picks free TCP ports, and loopback addresses that no other run is likely to use.

Ports are chosen below the kernel's range for outgoing connections, so that no such
connection can take a chosen port before its owner binds it.
"""

import random
import socket
from contextlib import ExitStack
from dataclasses import dataclass

FIRST_PORT = 10_000
LAST_PORT = 32_000
FIRST_NETWORK = 2
LAST_NETWORK = 126
LOOPBACK = '127.0.0.1'


@dataclass(frozen=True)
class LoopbackNetworks:
    """The two loopback networks of one run: one for the hosts, one for the proxy."""

    number: int

    def host_address(self, zone: int, host: int) -> str:
        """Returns the address on which a host of a zone listens."""
        return f'127.{self.number * 2}.{zone}.{host}'

    def proxy_address(self, zone: int, host: int) -> str:
        """Returns the address on which the proxy listens for that host."""
        return f'127.{self.number * 2 + 1}.{zone}.{host}'


def random_networks() -> LoopbackNetworks:
    """Chooses the networks of a run at random."""
    return LoopbackNetworks(random.SystemRandom().randint(FIRST_NETWORK, LAST_NETWORK))


def free_ports(count: int, address: str = LOOPBACK) -> list[int]:
    """Returns distinct free ports; each stays bound until the last one is chosen."""
    candidates = random.SystemRandom().sample(range(FIRST_PORT, LAST_PORT), k=count * 4)
    found: list[int] = []
    with ExitStack() as stack:
        for port in candidates:
            candidate = stack.enter_context(socket.socket())
            if len(found) < count and _binds(candidate, address, port):
                found.append(port)
    return found


def _binds(candidate: socket.socket, address: str, port: int) -> bool:
    candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        candidate.bind((address, port))
    except OSError:
        return False
    return True
