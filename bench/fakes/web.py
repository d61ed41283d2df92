"""What the fakes share: JSON over twisted.web, a record file, and the program frame."""

import json
import time
from pathlib import Path
from typing import Any

import yaml
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from jackdawsail import events

JSON_TYPE = 'application/json'
BAD_REQUEST = 400


class Record:
    """Appends one JSON line for each thing that happened; outlives a killed process."""

    def __init__(self, path: str) -> None:
        self._file = Path(path).open('a', buffering=1, encoding='utf8') if path else None

    def add(self, kind: str, **fields: Any) -> None:
        if self._file is not None:
            line = json.dumps({'kind': kind, 'time_seconds': time.time(), **fields})
            self._file.write(f'{line}\n')


class JsonResource(Resource):
    """A resource whose methods return a plain value that is sent as JSON."""

    isLeaf = True

    def render(self, request: Request) -> Any:
        handler = getattr(self, f'on_{request.method.decode().lower()}', None)
        if handler is None:
            return answer_json(request, {'problem': 'method'}, status=405)
        return answer_json(request, handler(request))


def answer_json(request: Request, content: Any, status: int = 0) -> bytes:
    """Returns the body and sets the headers."""
    if status:
        request.setResponseCode(status)
    request.setHeader('Content-Type', JSON_TYPE)
    return json.dumps(content).encode()


def finish_json(request: Request, content: Any, status: int = 200) -> None:
    """Answers a request that was held open."""
    request.write(answer_json(request, content, status))
    request.finish()


def read_json(request: Request) -> dict[str, Any]:
    """Reads the body; an empty one is an empty mapping."""
    body = request.content.read()
    return json.loads(body) if body else {}


def read_options(kind: Any, options: Any, settings: Path | None) -> Any:
    """Returns the options of a settings file, or else those of the flags."""
    if settings is None:
        return options
    return kind(**yaml.safe_load(settings.read_text('utf8')))


def serve(program: str, options: Any, root: Resource) -> None:
    """Serves until the process is told to end."""
    from twisted.internet import reactor as installed_reactor

    events.configure_logging(program, options.name)
    reactor: Any = installed_reactor
    site = Site(root)
    site.noisy = False
    port = reactor.listenTCP(options.port, site, interface=options.address, backlog=512)
    events.log(events.PROCESS_READY, port=port.getHost().port)
    reactor.run()
