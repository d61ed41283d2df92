"""One HTTP exchange of a caller: sends, reads the whole answer, notes the first byte."""

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
    """What came back; status 0 means that no whole answer came, with the reason."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)
    reason: str = ''
    first_seconds: float = 0
    never_sent: bool = False

    @property
    def outcome(self) -> str:
        """The outcome word, or empty."""
        return self.headers.get('jackdawsail-outcome', '')

    @property
    def code(self) -> str:
        """The code of a problem answer, or empty."""
        if self.headers.get('content-type', '').startswith('application/problem+json'):
            return str(json.loads(self.body).get('code', ''))
        return ''

    @property
    def release(self) -> str:
        """The release that served the request, from the header or the answer itself."""
        named = self.headers.get('jackdawsail-release', '')
        return named or str(self._last().get('release', ''))

    @property
    def text(self) -> str:
        """The generated text, empty when an event stream has no proper end."""
        if not self._is_stream():
            return str(self._last().get('text', ''))
        found = _read_events(self.body)
        if not found or not found[-1].get('done'):
            return ''
        return ''.join(event.get('text', '') for event in found)

    def _is_stream(self) -> bool:
        return self.headers.get('content-type', '').startswith('text/event-stream')

    def _last(self) -> dict[str, Any]:
        if self._is_stream():
            return next(reversed(_read_events(self.body)), {})
        found = json.loads(self.body) if self.body.startswith(b'{') else {}
        return found if isinstance(found, dict) else {}


def _read_events(body: bytes) -> list[dict[str, Any]]:
    lines = [line for line in body.decode().splitlines() if line.startswith(EVENT_PREFIX)]
    return [json.loads(line.removeprefix(EVENT_PREFIX)) for line in lines]


class _Reader(protocol.Protocol):
    """Collects a body; fires with an empty reason when it is whole."""

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
        whole = reason.check(ResponseDone) is not None
        self.finished.callback('' if whole else f'cut: {reason.type.__name__}')


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
    """Makes one exchange; a limit of 0 waits without end. Never fails."""
    producer = None if body is None else FileBodyProducer(BytesIO(body))
    raw = Headers({name: [text] for name, text in headers.items()})
    asked: Any = agent.request(method.encode(), url.encode(), raw, producer)
    if limit_seconds:
        asked.addTimeout(limit_seconds, reactor)
    try:
        response = yield asked
    except (ConnectError, ConnectTimeoutError) as error:
        return Answer(0, b'', reason=f'not connected: {error}', never_sent=True)
    except Exception as error:
        return Answer(0, b'', reason=f'no answer: {error!r}')
    reader = _Reader(reactor)
    response.deliverBody(reader)
    reason = yield reader.finished
    return _make_answer(response, reader, reason)


def _make_answer(response: Any, reader: _Reader, reason: str) -> Answer:
    found = {
        name.decode().lower(): texts[0].decode()
        for name, texts in response.headers.getAllRawHeaders()
    }
    status = 0 if reason else response.code
    return Answer(status, b''.join(reader.parts), found, reason, reader.first_seconds)
