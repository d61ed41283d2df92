"""The control program: replicated state, leases, fan-out and the administration API."""

from dataclasses import dataclass
from typing import Any

import cyclopts
from twisted.internet.defer import Deferred
from twisted.web.resource import Resource

from jackdawsail import __version__, events
from jackdawsail.control.admin_http import make_site
from jackdawsail.control.parts import ControlParts, make_parts, read_control_settings
from jackdawsail.metrics import MetricsResource
from jackdawsail.process import ProcessContext, SettingsPaths, run_process
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import LinkServerFactory
from jackdawsail.wire.tls import listen

app = cyclopts.App(name='jackdawsail-control', version=__version__)


@dataclass(frozen=True, slots=True)
class ControlProgram:
    """The running parts and the ports that they listen on."""

    parts: ControlParts
    ports: list[Any]

    def stop(self) -> 'Deferred[None]':
        """Answers who waits, stops the rounds, then leaves the voters."""
        self.parts.duties_loop.stop()
        self.parts.watchers.answer_all()
        for port in self.ports:
            port.stopListening()
        return self.parts.replicator.stop()


def build(context: ProcessContext) -> Any:
    """Builds the control program and returns its stop function."""
    settings = read_control_settings(context)
    parts = make_parts(context)
    links: Any = LinkServerFactory(context.link_settings, parts.switchboard, context.reactor)
    root: Any = Resource()
    root.putChild(b'v1', parts.resource)
    root.putChild(b'metrics', MetricsResource())
    address = context.host.address
    link_port = listen(context.reactor, settings.link_port, address, links, context.tls)
    admin_port = context.reactor.listenTCP(settings.admin_port, make_site(root), interface=address)
    parts.replicator.start()
    events.log(
        events.PROCESS_READY,
        link_port=link_port.getHost().port,
        admin_port=admin_port.getHost().port,
    )
    return ControlProgram(parts, [link_port, admin_port]).stop


@app.default
def run(settings: SettingsPaths) -> int:
    """Runs a control host from a base settings file and its overlays."""
    return run_process(Role.control, settings, build)


def main() -> None:
    """Starts the program."""
    app()


if __name__ == '__main__':
    main()
