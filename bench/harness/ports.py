"""Picks free TCP ports on loopback."""

import socket
from contextlib import ExitStack


def free_ports(count: int, address: str = '127.0.0.1') -> list[int]:
    """Returns distinct free ports; all are held open until the last is chosen."""
    with ExitStack() as stack:
        held = [stack.enter_context(_bound(address)) for _ in range(count)]
        return [opened.getsockname()[1] for opened in held]


def _bound(address: str) -> socket.socket:
    opened = socket.socket()
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    opened.bind((address, 0))
    return opened
