"""The control program: replicated state, leases, fan-out and the administration API."""

from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.resource import Resource

from jackdawsail import events
from jackdawsail.control.admin_http import make_site
from jackdawsail.control.context import ControlContext, make_control_context, read_control_settings
from jackdawsail.metrics import MetricsResource
from jackdawsail.process import ProcessContext
from jackdawsail.program import run_program
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import LinkServerFactory
from jackdawsail.wire.tls import listen


@dataclass(frozen=True, slots=True)
class ControlProgram:
    """The running parts and the ports that they listen on."""

    parts: ControlContext
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
    parts = make_control_context(context)
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


def main() -> None:
    """Runs the command line."""
    run_program(Role.control, build, __doc__)


if __name__ == '__main__':
    main()
