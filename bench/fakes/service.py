"""A fake plain service: books slots and records every run.

``POST /book`` takes JSON ``{slot, customer}``; a call to any other path is recorded as
a run too. ``GET /runs`` lists the runs; ``POST /admin/fault`` takes
``{kind: none|slow|error|drop-answer, seconds}``.
"""

import json
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

from cyclopts import App, Parameter
from twisted.internet import reactor as installed_reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from bench.fakes.web import JsonResource, RecordFile, finish_json, read_json, read_options, serve

HTTP_SERVER_ERROR = 500


@dataclass(frozen=True)
class ServiceOptions:
    """Settings of a fake plain service."""

    name: str = 'service'
    address: str = '127.0.0.1'
    port: int = 0
    work_seconds: float = 0.01
    record_path: str = ''


@dataclass
class Service:
    """The runs of the fake service, and its current fault."""

    options: ServiceOptions
    record: RecordFile
    runs: list[dict[str, Any]] = field(default_factory=list)
    fault: dict[str, Any] = field(default_factory=dict)


class Call(Resource):
    """Runs a call to any path that is not part of the fake's own API."""

    isLeaf = True

    def __init__(self, service: Service) -> None:
        super().__init__()
        self._service = service

    def render(self, request: Request) -> Any:
        service = self._service
        run = make_run(request)
        service.runs.append(run)
        service.record.add('run', **run)
        reactor: Any = installed_reactor
        work_seconds = service.options.work_seconds
        if service.fault.get('kind') == 'slow':
            work_seconds += float(service.fault.get('seconds', 1))
        finished = request.notifyFinish()
        pending = reactor.callLater(work_seconds, self._answer, request, run, len(service.runs))
        finished.addErrback(lambda _reason: pending.cancel() if pending.active() else None)
        return NOT_DONE_YET

    def _answer(self, request: Request, run: dict[str, Any], number: int) -> None:
        kind = self._service.fault.get('kind')
        if kind == 'drop-answer':
            request.transport.abortConnection()
            return
        status = HTTP_SERVER_ERROR if kind == 'error' else 200
        finish_json(request, {'booking': number, 'slot': run['slot'], 'key': run['key']}, status)


def make_run(request: Request) -> dict[str, Any]:
    """Returns the record of a call."""
    body = request.content.read()
    booking: Any = {}
    if body.startswith(b'{'):
        booking = json.loads(body)
    return {
        'key': request.getHeader('Idempotency-Key') or '',
        'method': request.method.decode(),
        'path': request.path.decode(),
        'slot': booking.get('slot', ''),
        'customer': booking.get('customer', ''),
        'started_seconds': time.time(),
    }


class Runs(JsonResource):
    """``GET /runs``."""

    def __init__(self, service: Service) -> None:
        super().__init__()
        self._service = service

    def on_get(self, _request: Request) -> Any:
        return {'runs': self._service.runs}


class Fault(JsonResource):
    """``POST /admin/fault``."""

    def __init__(self, service: Service) -> None:
        super().__init__()
        self._service = service

    def on_post(self, request: Request) -> Any:
        self._service.fault = read_json(request)
        return self._service.fault


class Root(Resource):
    """Routes every path that is not part of the fake's own API to ``Call``."""

    def __init__(self, service: Service) -> None:
        super().__init__()
        admin = Resource()
        admin.putChild(b'fault', Fault(service))
        self.putChild(b'admin', admin)
        self.putChild(b'runs', Runs(service))
        self._call = Call(service)

    def getChild(self, path: bytes, request: Request) -> Resource:
        return self._call


DEFAULTS = ServiceOptions()
app = App(help='A fake plain service.')


@app.default
def main(
    *,
    settings: Path | None = None,
    options: Annotated[ServiceOptions, Parameter(name='*')] = DEFAULTS,
) -> None:
    """Runs the fake service."""
    chosen = read_options(ServiceOptions, options, settings)
    serve('fake-service', chosen, Root(Service(chosen, RecordFile(chosen.record_path))))


if __name__ == '__main__':
    app()
