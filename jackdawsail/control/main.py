"""The control program: replicated state, leases, fan-out and the administration API."""

from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.resource import Resource

from jackdawsail import events
from jackdawsail.control.admin_http import make_site
from jackdawsail.control.context import ControlContext, make_control_context, read_control_settings
from jackdawsail.metrics_resource import MetricsResource
from jackdawsail.process import ProcessContext
from jackdawsail.program import run_program
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import LinkServerFactory
from jackdawsail.wire.tls import listen


@dataclass(frozen=True, slots=True)
class ControlProgram:
    """The components of a running control host and the ports that they listen on."""

    control_context: ControlContext
    ports: list[Any]

    def stop(self) -> 'Deferred[None]':
        """Stops the leader tasks, answers waiting watches, then stops the replicator."""
        self.control_context.leader_tasks_loop.stop()
        self.control_context.watchers.answer_all()
        for port in self.ports:
            port.stopListening()
        return self.control_context.replicator.stop()


def build(context: ProcessContext) -> Any:
    """Builds the control program and returns its stop function."""
    settings = read_control_settings(context)
    control_context = make_control_context(context)
    links: Any = LinkServerFactory(context.link_settings, control_context.router, context.reactor)
    root: Any = Resource()
    root.putChild(b'v1', control_context.resource)
    root.putChild(b'metrics', MetricsResource())
    address = context.host.address
    link_port = listen(context.reactor, settings.link_port, address, links, context.tls)
    site = make_site(root, context.reactor, context.budget)
    admin_port = context.reactor.listenTCP(settings.admin_port, site, interface=address)
    control_context.replicator.start()
    events.log(
        events.PROCESS_READY,
        link_port=link_port.getHost().port,
        admin_port=admin_port.getHost().port,
    )
    return ControlProgram(control_context, [link_port, admin_port]).stop


def main() -> None:
    """Runs the command line."""
    run_program(Role.control, build, __doc__)


if __name__ == '__main__':
    main()
