"""Picks free TCP ports, and loopback addresses that no other run is likely to use.

Ports are taken from below the range out of which the kernel serves outgoing
connections, so that none of these can take a chosen port before its owner binds.
"""

import random
import socket
from contextlib import ExitStack
from dataclasses import dataclass

FIRST_PORT = 10_000
LAST_PORT = 32_000
FIRST_NET = 2
LAST_NET = 126
LOOPBACK = '127.0.0.1'


@dataclass(frozen=True)
class Nets:
    """The two loopback networks of one run: where hosts listen, and where the proxy does."""

    number: int

    def listening(self, zone: int, host: int) -> str:
        """Returns the address of a host of a zone."""
        return f'127.{self.number * 2}.{zone}.{host}'

    def advertised(self, zone: int, host: int) -> str:
        """Returns the address at which the proxy listens for it."""
        return f'127.{self.number * 2 + 1}.{zone}.{host}'


def random_nets() -> Nets:
    """Chooses the networks of a run."""
    return Nets(random.SystemRandom().randint(FIRST_NET, LAST_NET))


def free_ports(count: int, address: str = LOOPBACK) -> list[int]:
    """Returns distinct free ports; all are held open until the last is chosen."""
    candidates = random.SystemRandom().sample(range(FIRST_PORT, LAST_PORT), k=count * 4)
    found: list[int] = []
    with ExitStack() as stack:
        for port in candidates:
            held = stack.enter_context(socket.socket())
            if len(found) < count and _binds(held, address, port):
                found.append(port)
    return found


def _binds(held: socket.socket, address: str, port: int) -> bool:
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        held.bind((address, port))
    except OSError:
        return False
    return True
