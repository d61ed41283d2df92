"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio


class Broken(Exception):
    """The connection ended before the message was complete."""


class Message:
    """A request or an answer; header names are in lower case."""

    def __init__(self, start, headers, body, complete=True):
        self.start = start
        self.headers = headers
        self.body = body
        self.complete = complete

    @property
    def method(self):
        return self.start[0]

    @property
    def target(self):
        return self.start[1]

    @property
    def status(self):
        return int(self.start[1])


async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first.split(' ', 2), headers


async def read_chunks(reader, on_data):
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        if size:
            on_data(await reader.readexactly(size))
        await reader.readuntil(b'\r\n')
        if not size:
            return


async def read_body(reader, headers, on_data, until_close=False):
    if 'chunked' in headers.get('transfer-encoding', ''):
        await read_chunks(reader, on_data)
    elif 'content-length' in headers:
        left = int(headers['content-length'])
        while left:
            piece = await reader.read(min(left, 65536))
            if not piece:
                raise asyncio.IncompleteReadError(b'', left)
            left -= len(piece)
            on_data(piece)
    elif until_close:
        while piece := await reader.read(65536):
            on_data(piece)


def encode(first, headers, body=b''):
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class Answer:
    """The server's end of one answer."""

    def __init__(self, writer):
        self.writer = writer

    def send(self, status, headers=(), body=b''):
        """Sends a complete answer with a length."""
        all_headers = [*headers, ('Content-Length', len(body))]
        self.writer.write(encode(f'HTTP/1.1 {status} OK', all_headers, body))

    def start_chunks(self, status, headers=()):
        all_headers = [*headers, ('Transfer-Encoding', 'chunked')]
        self.writer.write(encode(f'HTTP/1.1 {status} OK', all_headers))

    def chunk(self, piece):
        self.writer.write(b'%x\r\n%s\r\n' % (len(piece), piece))

    def end_chunks(self):
        self.writer.write(b'0\r\n\r\n')

    @property
    def is_gone(self):
        """Whether the peer has closed the connection."""
        return self.writer.is_closing() or self.writer.transport.is_closing()


async def serve(address, handle):
    """Serves ``await handle(request, answer)`` at ``ip:port``."""
    ip, _, port = address.rpartition(':')

    async def on_connection(reader, writer):
        try:
            while True:
                start, headers = await read_head(reader)
                body = bytearray()
                await read_body(reader, headers, body.extend)
                await handle(Message(start, headers, bytes(body)), Answer(writer))
                await writer.drain()
                if headers.get('connection', '').lower() == 'close':
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, ip, int(port), limit=1 << 20)


class Channel:
    """A client's connection, which may carry several requests one after the other."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.requests = 0
        self.closed = False

    async def request(self, method, target, headers=(), body=b'', on_data=None):
        """Sends a request; returns the answer, or raises Broken if no head arrives.

        An answer whose body breaks off has ``complete`` False.
        """
        self.requests += 1
        all_headers = list(headers)
        if body or method not in {'GET', 'DELETE'}:
            all_headers.append(('Content-Length', len(body)))
        received = bytearray()
        start, answer_headers = None, {}
        try:
            self.writer.write(encode(f'{method} {target} HTTP/1.1', all_headers, body))
            await self.writer.drain()
            start, answer_headers = await read_head(self.reader)

            def take(piece):
                received.extend(piece)
                if on_data is not None:
                    on_data(piece)

            if start[1] not in {'204', '304'}:
                await read_body(self.reader, answer_headers, take, until_close=True)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            self.close()
            if start is None:
                raise Broken(str(error)) from None
            return Message(start, answer_headers, bytes(received), complete=False)
        if answer_headers.get('connection', '').lower() == 'close':
            self.close()
        return Message(start, answer_headers, bytes(received))

    def close(self):
        self.closed = True
        self.writer.close()


async def connect(address, seconds=1.0):
    ip, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 20)
    except (OSError, TimeoutError) as error:
        raise Broken(str(error)) from None
    return Channel(reader, writer)


async def call(address, method, target, headers=(), body=b'', seconds=1.0):
    """Makes one call on a channel of its own; raises Broken without a whole answer in time."""
    channel = await connect(address, seconds)
    try:
        async with asyncio.timeout(seconds):
            answer = await channel.request(
                method, target, [('Host', address), *headers], body
            )
    except TimeoutError:
        raise Broken('no answer in time') from None
    finally:
        channel.close()
    if not answer.complete:
        raise Broken('answer broke off')
    return answer
