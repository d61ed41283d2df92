"""Shared parts of the fakes: JSON over twisted.web, the record file and program start."""

import json
import time
from pathlib import Path
from typing import Any

import yaml
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from jackdawsail import events

JSON_CONTENT_TYPE = 'application/json'
HTTP_BAD_REQUEST = 400


class RecordFile:
    """Appends one JSON line per event; line buffering lets records survive a kill."""

    def __init__(self, path: str) -> None:
        self._file = Path(path).open('a', buffering=1, encoding='utf8') if path else None

    def add(self, kind: str, **fields: Any) -> None:
        if self._file is not None:
            line = json.dumps({'kind': kind, 'time_seconds': time.time(), **fields})
            self._file.write(f'{line}\n')


class JsonResource(Resource):
    """A resource whose ``on_<method>`` methods return a value that is sent as JSON."""

    isLeaf = True

    def render(self, request: Request) -> Any:
        handler = getattr(self, f'on_{request.method.decode().lower()}', None)
        if handler is None:
            return answer_json(request, {'problem': 'method'}, status=405)
        return answer_json(request, handler(request))


def answer_json(request: Request, content: Any, status: int = 0) -> bytes:
    """Returns the encoded body, and sets the headers and any status."""
    if status:
        request.setResponseCode(status)
    request.setHeader('Content-Type', JSON_CONTENT_TYPE)
    return json.dumps(content).encode()


def finish_json(request: Request, content: Any, status: int = 200) -> None:
    """Answers a request for which ``NOT_DONE_YET`` was returned."""
    request.write(answer_json(request, content, status))
    request.finish()


def read_json(request: Request) -> dict[str, Any]:
    """Returns the decoded body, or an empty mapping if there is none."""
    body = request.content.read()
    return json.loads(body) if body else {}


def read_options(kind: Any, options: Any, settings: Path | None) -> Any:
    """Returns options from the settings file if there is one, else those from the flags."""
    if settings is None:
        return options
    return kind(**yaml.safe_load(settings.read_text('utf8')))


def serve(program: str, options: Any, root: Resource) -> None:
    """Listens, logs the ready event and runs the reactor until it is stopped."""
    from twisted.internet import reactor as installed_reactor

    events.configure_logging(program, options.name)
    reactor: Any = installed_reactor
    site = Site(root)
    site.noisy = False
    port = reactor.listenTCP(options.port, site, interface=options.address, backlog=512)
    events.log(events.PROCESS_READY, port=port.getHost().port)
    reactor.run()
