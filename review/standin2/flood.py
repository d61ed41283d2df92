"""A server in trouble: its answers have a body that does not end until the caller closes.

It runs as a process of its own, so that it does not slow down the clients that are measured:

    python3 review/standin2/flood.py ADDRESS PORT MBIT_PER_S CONTENT

CONTENT is a number, for a body in chunks of so many bytes, or "blank-lines", for a body of line ends
with neither a length nor chunks. All answers together are sent at MBIT_PER_S at most.
Health checks are answered well. It ends when its standard input closes.
"""

import socket
import sys
import threading
import time

BLOCK_BYTES = 16_384


class Pace:
    """Lets through a number of bytes a second, over all channels together."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.next_s = time.monotonic()
        self.lock = threading.Lock()

    def wait(self, size_bytes):
        with self.lock:
            self.next_s = max(self.next_s, time.monotonic()) + size_bytes / self.bytes_per_s
            due_s = self.next_s
        time.sleep(max(0, due_s - time.monotonic()))


def make_body(content):
    """Returns the header for the framing of a body, and a block that is sent again and again."""
    if content == 'blank-lines':
        return '', b'\n' * BLOCK_BYTES
    size = int(content)
    chunk = b'%x\r\n' % size + b'x' * size + b'\r\n'
    return 'Transfer-Encoding: chunked\r\n', chunk * max(1, BLOCK_BYTES // len(chunk))


def serve(channel, pace, framing, block):
    """Reads one request on a channel, and answers it without an end."""
    try:
        received = b''
        while b'\r\n\r\n' not in received:
            piece = channel.recv(65_536)
            if not piece:
                return
            received += piece
        lines = received.decode('latin-1').split('\r\n')
        headers = {key.lower(): value for key, _, value in (line.partition(': ') for line in lines)}
        if lines[0].startswith('GET /health'):
            channel.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n')
            return
        attempt = headers.get('attempt-id', '')
        print(f'run {attempt}', flush=True)
        channel.sendall(
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: trouble\r\n'
            f'{framing}\r\n'.encode()
        )
        while True:
            pace.wait(len(block))
            channel.sendall(block)
    except OSError:
        pass
    finally:
        channel.close()


def main():
    address, port, mbit_per_s, content = sys.argv[1:]
    framing, block = make_body(content)
    pace = Pace(float(mbit_per_s) * 1e6 / 8)
    listener = socket.create_server((address, int(port)), backlog=512)

    def accept():
        while True:
            channel, _ = listener.accept()
            threading.Thread(target=serve, args=(channel, pace, framing, block), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    sys.stdin.read()


if __name__ == '__main__':
    main()
