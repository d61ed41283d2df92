"""Keeps a link to one address open: connects, and reconnects with jittered backoff."""

import random
from typing import Any

from twisted.internet.abstract import isIPAddress
from twisted.internet.endpoints import HostnameEndpoint, TCP4ClientEndpoint
from twisted.internet.error import ConnectError

from jackdawsail.wire.link import Link, LinkClientFactory, LinkOwner, LinkSettings

BACKOFF_FIRST_SECONDS = 0.1


class Dialer:
    """Connects to one ``host:port`` address and reconnects until ``stop`` is called.

    The owner is called through the ``LinkOwner`` methods when a link opens,
    receives a message or closes.
    """

    def __init__(
        self,
        reactor: Any,
        address: str,
        settings: LinkSettings,
        owner: LinkOwner,
        rng: random.Random,
    ) -> None:
        self.address = address
        self.link: Link | None = None
        self._reactor = reactor
        self._settings = settings
        self._owner = owner
        self._rng = rng
        self._bind = (settings.bind_address, 0) if settings.bind_address else None
        self._factory: Any = LinkClientFactory(settings, self, reactor)
        self._backoff_seconds = BACKOFF_FIRST_SECONDS
        self._retry_timer: Any = None
        self._stopped = False

    def start(self) -> None:
        """Starts one attempt to connect."""
        attempt: Any = self._endpoint().connect(self._factory)
        attempt.addCallbacks(self._connection_made, self._connection_failed)

    def stop(self) -> None:
        """Closes the link and cancels further attempts."""
        self._stopped = True
        if self._retry_timer is not None and self._retry_timer.active():
            self._retry_timer.cancel()
        if self.link is not None:
            self.link.close('stopping')

    def link_opened(self, link: Link) -> None:
        """Resets the backoff and passes the opened link to the owner."""
        self.link = link
        self._backoff_seconds = BACKOFF_FIRST_SECONDS
        self._owner.link_opened(link)

    def link_received(self, link: Link, received: Any) -> None:
        """Passes a message to the owner."""
        self._owner.link_received(link, received)

    def link_closed(self, link: Link, reason: str) -> None:
        """Passes the end of the link to the owner."""
        self.link = None
        self._owner.link_closed(link, reason)

    def _endpoint(self) -> Any:
        host, port = split_address(self.address)
        timeout_seconds = self._settings.connect_seconds
        if self._settings.tls is not None:
            # Imported only with certificates: the TLS libraries are a large part of a small process.
            from jackdawsail.wire.tls import make_client_endpoint

            options = (timeout_seconds, self._bind, self._settings.tls)
            return make_client_endpoint(self._reactor, (host, port), *options)
        if isIPAddress(host):
            return TCP4ClientEndpoint(self._reactor, host, port, timeout_seconds, self._bind)
        return HostnameEndpoint(
            self._reactor, host, port, timeout=timeout_seconds, bindAddress=self._bind
        )

    def _connection_made(self, link: Link) -> None:
        connection_lost = link.connectionLost

        def report_loss_and_retry(reason: Any = None) -> None:
            connection_lost(reason)
            self._schedule_retry()

        link.connectionLost = report_loss_and_retry  # type: ignore[method-assign]
        if self._stopped:
            link.abort('stopping')

    def _connection_failed(self, failure: Any) -> None:
        failure.trap(ConnectError, Exception)
        self._schedule_retry()

    def _schedule_retry(self) -> None:
        if self._stopped:
            return
        delay_seconds = self._rng.uniform(0.5, 1) * self._backoff_seconds
        max_backoff_seconds = self._settings.redial_max_seconds
        self._backoff_seconds = min(max_backoff_seconds, self._backoff_seconds * 2)
        self._retry_timer = self._reactor.callLater(delay_seconds, self.start)


def split_address(address: str) -> tuple[str, int]:
    """Splits ``host:port``, a form that the settings have validated."""
    host, _, port = address.rpartition(':')
    return host, int(port)
