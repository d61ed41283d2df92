"""One HTTP exchange of a caller, with the time of the first byte of the response."""

import json
from dataclasses import dataclass, field
from io import BytesIO
from typing import Any

from twisted.internet import protocol
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.error import ConnectError
from twisted.internet.error import TimeoutError as ConnectTimeoutError
from twisted.web.client import Agent, FileBodyProducer, ResponseDone
from twisted.web.http_headers import Headers

EVENT_PREFIX = 'data: '


@dataclass(frozen=True)
class Answer:
    """The response; status 0 means none or an incomplete one, for the given ``reason``.

    ``never_sent`` is set when the connection could not be opened.
    """

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)
    reason: str = ''
    first_seconds: float = 0
    never_sent: bool = False

    @property
    def outcome(self) -> str:
        """The outcome header, or an empty string."""
        return self.headers.get('jackdawsail-outcome', '')

    @property
    def code(self) -> str:
        """The code of a problem document, or an empty string."""
        if self.headers.get('content-type', '').startswith('application/problem+json'):
            return str(json.loads(self.body).get('code', ''))
        return ''

    @property
    def release(self) -> str:
        """The release that served the request, from the header or else from the body."""
        release = self.headers.get('jackdawsail-release', '')
        return release or str(self._last_content().get('release', ''))

    @property
    def text(self) -> str:
        """The generated text; empty if an event stream lacks its final event."""
        if not self._is_stream():
            return str(self._last_content().get('text', ''))
        events = _read_events(self.body)
        if not events or not events[-1].get('done'):
            return ''
        return ''.join(event.get('text', '') for event in events)

    def _is_stream(self) -> bool:
        return self.headers.get('content-type', '').startswith('text/event-stream')

    def _last_content(self) -> dict[str, Any]:
        if self._is_stream():
            return next(reversed(_read_events(self.body)), {})
        content = json.loads(self.body) if self.body.startswith(b'{') else {}
        return content if isinstance(content, dict) else {}


def _read_events(body: bytes) -> list[dict[str, Any]]:
    lines = [line for line in body.decode().splitlines() if line.startswith(EVENT_PREFIX)]
    return [json.loads(line.removeprefix(EVENT_PREFIX)) for line in lines]


class _Reader(protocol.Protocol):
    """Collects a body; ``finished`` fires with an empty reason if it is complete."""

    def __init__(self, clock: Any) -> None:
        self.parts: list[bytes] = []
        self.first_seconds: float = 0
        self.finished: Deferred[str] = Deferred()
        self._clock = clock

    def dataReceived(self, received: bytes) -> None:
        if not self.parts:
            self.first_seconds = self._clock.seconds()
        self.parts.append(received)

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:
        is_complete = reason.check(ResponseDone) is not None
        self.finished.callback('' if is_complete else f'cut: {reason.type.__name__}')


@inlineCallbacks
def exchange(
    agent: Agent,
    reactor: Any,
    method: str,
    url: str,
    body: bytes | None,
    headers: dict[str, str],
    limit_seconds: float,
) -> Any:
    """Makes one exchange; a failure is returned as an answer with status 0.

    ``limit_seconds`` bounds the wait for the headers; 0 means no limit.
    """
    producer = None if body is None else FileBodyProducer(BytesIO(body))
    raw = Headers({name: [text] for name, text in headers.items()})
    pending: Any = agent.request(method.encode(), url.encode(), raw, producer)
    if limit_seconds:
        pending.addTimeout(limit_seconds, reactor)
    try:
        response = yield pending
    except (ConnectError, ConnectTimeoutError) as error:
        return Answer(0, b'', reason=f'not connected: {error}', never_sent=True)
    except Exception as error:
        return Answer(0, b'', reason=f'no answer: {error!r}')
    reader = _Reader(reactor)
    response.deliverBody(reader)
    reason = yield reader.finished
    return _make_answer(response, reader, reason)


def _make_answer(response: Any, reader: _Reader, reason: str) -> Answer:
    headers = {
        name.decode().lower(): texts[0].decode()
        for name, texts in response.headers.getAllRawHeaders()
    }
    status = 0 if reason else response.code
    return Answer(status, b''.join(reader.parts), headers, reason, reader.first_seconds)
