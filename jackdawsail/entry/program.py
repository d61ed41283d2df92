"""The entry program: builds the components, listens on the ports and stops gracefully."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from jackdawsail import events
from jackdawsail.bounded_http import BoundedSite
from jackdawsail.entry.link_components import make_link_components
from jackdawsail.entry.request_components import make_request_components
from jackdawsail.entry.tracker_runner import make_tracker_runner
from jackdawsail.entry.web import CallersResource, RouteHandlers
from jackdawsail.loops import make_loop
from jackdawsail.process import ProcessContext
from jackdawsail.settings.models import EntrySettings
from jackdawsail.wire.link import LinkServerFactory
from jackdawsail.wire.tls import listen

CONTROL_SYNC_SECONDS = 0.25
IDLE_POLL_SECONDS = 0.05
DIRECTORY_PROPAGATION_SECONDS = 1.5


class EntryProgram:
    """Builds the components of an entry and connects them."""

    def __init__(self, context: ProcessContext, settings: EntrySettings) -> None:
        self._context = context
        self._settings = settings
        self._reactor = context.reactor
        self.links = make_link_components(context)
        self.requests = make_request_components(context, self.links)
        self.tracker = make_tracker_runner(
            context,
            self.links.router,
            self.links.state.replica,
            self.links.table,
            self.links.peers,
        )
        self._ports: list[Any] = []
        self._sync_loop = make_loop(context.reactor, self._sync_with_control)

    def start(self) -> None:
        """Listens for links and callers, dials the control hosts and logs the ready event."""
        host = self._context.host
        link_port = self._listen_links(host.address)
        caller_port = self._listen_callers(host.address)
        self.requests.start()
        self.links.control.start(
            host.advertised_endpoint(caller_port), host.advertised_endpoint(link_port)
        )
        self._sync_loop.start(CONTROL_SYNC_SECONDS)
        events.log(
            events.PROCESS_READY, role='entry', caller_port=caller_port, link_port=link_port
        )

    def stop(self) -> 'Deferred[None]':
        """Stops gracefully; fires when the entry is idle or the drain deadline has passed.

        The entry first leaves the directory. It accepts callers until every answer of
        ``/v1/entries`` that lists its address has expired.
        """
        control = self.links.control
        control.leaving = True
        control.renew()
        stopped: Deferred[None] = Deferred()
        grace_seconds = self._settings.address_valid_seconds + DIRECTORY_PROPAGATION_SECONDS
        self._reactor.callLater(grace_seconds, self._stop_listening, stopped)
        return stopped

    def _stop_listening(self, stopped: 'Deferred[None]') -> None:
        # The last port is the caller port; the link port stays open while requests run.
        self._ports[-1].stopListening()
        deadline_seconds = self._reactor.seconds() + self._settings.drain_deadline_seconds
        idle: Any = self._wait_until(self._is_idle, deadline_seconds)
        idle.addBoth(self._close)
        idle.chainDeferred(stopped)

    def _is_idle(self) -> bool:
        requests = self.requests
        return not (requests.dispatcher.running or requests.relay.running or requests.ledger.busy)

    def _close(self, _outcome: Any) -> None:
        if self._sync_loop.running:
            self._sync_loop.stop()
        self.requests.stop()
        self.tracker.stop()
        self.links.peers.stop()
        self.links.control.stop()

    def _wait_until(
        self, condition: Callable[[], bool], deadline_seconds: float
    ) -> 'Deferred[None]':
        reached: Deferred[None] = Deferred()

        def check() -> None:
            if condition() or self._reactor.seconds() >= deadline_seconds:
                reached.callback(None)
            else:
                self._reactor.callLater(IDLE_POLL_SECONDS, check)

        check()
        return reached

    def _sync_with_control(self) -> None:
        self.tracker.set_tracker(self.links.control.is_tracker)
        self.links.peers.update_directory(self.links.control.directory)

    def _listen_links(self, address: str) -> int:
        context = self._context
        factory = LinkServerFactory(context.link_settings, self.links.router, context.reactor)
        port = listen(self._reactor, self._settings.link_port, address, factory, context.tls)
        self._ports.append(port)
        return int(port.getHost().port)

    def _listen_callers(self, address: str) -> int:
        requests = self.requests
        handlers = RouteHandlers(
            run=requests.pipeline.run,
            caller_left=requests.pipeline.caller_left,
            entries=requests.handlers.entries,
            health=requests.handlers.health,
            show_call=requests.handlers.show_call,
            cancel_call=requests.handlers.cancel_call,
        )
        site = BoundedSite(
            CallersResource(handlers),
            self._reactor,
            self._settings.max_connections,
            self._settings.max_body_bytes,
            self._context.budget,
        )
        port = self._reactor.listenTCP(self._settings.caller_port, site, interface=address)
        self._ports.append(port)
        return int(port.getHost().port)
