"""Clients with large bodies of legal size, which stop just short of their end and stay open.

It runs as a process of its own, so that it does not slow down the clients that are measured:

    python3 review/standin2/bodies.py ADDRESS PORT CLIENTS BODY_BYTES PIECE_BYTES MBIT_PER_S

All clients connect at once and send one request each, in chunks of PIECE_BYTES, all together at
MBIT_PER_S at most, so that no packets wait at the link of the machine. A client whose channel is closed does not come back. It ends when its standard input closes.
"""

import random
import socket
import sys
import threading

from flood import Pace

BLOCK_BYTES = 16_384


def send(place, number, body_bytes, chunk, piece_bytes, pace):
    """Sends all but the last pieces of a body, and keeps the channel open."""
    try:
        channel = socket.create_connection(place, timeout=30)
        channel.settimeout(None)
        channel.sendall(
            f'POST /book/large HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: {random.getrandbits(64):016x}\r\n'
            'Request-Deadline: 2500\r\nTransfer-Encoding: chunked\r\n\r\n'.encode()
        )
        pieces = body_bytes // piece_bytes - 1
        per_block = max(1, BLOCK_BYTES // len(chunk))
        while pieces > 0:
            count = min(pieces, per_block)
            pace.wait(len(chunk) * count)
            channel.sendall(chunk * count)
            pieces -= count
        print(f'client {number} has sent all but the end', flush=True)
        while channel.recv(65_536):
            pass
        print(f'client {number} was closed', flush=True)
    except OSError as error:
        print(f'client {number}: {type(error).__name__}', flush=True)


def main():
    address, port, clients, body_bytes, piece_bytes, mbit_per_s = sys.argv[1:]
    pace = Pace(float(mbit_per_s) * 1e6 / 8)
    size = int(piece_bytes)
    chunk = b'%x\r\n' % size + b'x' * size + b'\r\n'
    place = (address, int(port))
    for number in range(int(clients)):
        arguments = (place, number, int(body_bytes), chunk, size, pace)
        threading.Thread(target=send, args=arguments, daemon=True).start()
    sys.stdin.read()


if __name__ == '__main__':
    main()
