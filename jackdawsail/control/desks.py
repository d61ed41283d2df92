"""Makes the parts of a control host that answer entries and relays."""

from typing import Any

from jackdawsail.control.fanout import make_fan_out
from jackdawsail.control.lease_handler import LeaseHandler, make_lease_desk
from jackdawsail.control.relay_desk import make_relay_desk
from jackdawsail.control.zone_leases import ZoneLeases
from jackdawsail.process import ProcessContext
from jackdawsail.settings.models import ControlSettings
from jackdawsail.state.machine import ControlState
from jackdawsail.switchboard import Switchboard


def make_desks(
    context: ProcessContext,
    settings: ControlSettings,
    switchboard: Switchboard,
    state: ControlState,
    replicator: Any,
) -> LeaseHandler:
    """Makes the fan-out, the leases and the desks, and connects them to the links."""
    leases = ZoneLeases(settings.zone_lease_seconds)
    fan_out = make_fan_out(context.reactor, switchboard, state)
    desk = LeaseHandler(context.reactor, switchboard, replicator, state, leases, fan_out)
    replicator.watch_leadership(desk.leadership_changed)
    make_relay_desk(switchboard, desk)
    return make_lease_desk(desk)
