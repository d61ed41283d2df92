"""Creates the components of a control host that answer entries and relays."""

from typing import Any

from jackdawsail.control.fanout import make_fan_out
from jackdawsail.control.lease_handler import LeaseHandler, connect_lease_handler
from jackdawsail.control.relay_handler import make_relay_handler
from jackdawsail.control.zone_leases import ZoneLeases
from jackdawsail.message_router import MessageRouter
from jackdawsail.process import ProcessContext
from jackdawsail.settings.models import ControlSettings
from jackdawsail.state.machine import ControlState


def make_handlers(
    context: ProcessContext,
    settings: ControlSettings,
    router: MessageRouter,
    state: ControlState,
    replicator: Any,
) -> LeaseHandler:
    """Creates the fan-out, the leases and their handlers, and connects them to the links."""
    leases = ZoneLeases(settings.zone_lease_seconds)
    fan_out = make_fan_out(context.reactor, router, state)
    lease_handler = LeaseHandler(context.reactor, router, replicator, state, leases, fan_out)
    replicator.watch_leadership(lease_handler.leadership_changed)
    make_relay_handler(router, lease_handler)
    return connect_lease_handler(lease_handler)
