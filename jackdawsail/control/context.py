"""Makes the parts of a control host and connects them to one another."""

import time
from dataclasses import dataclass
from typing import Any

from twisted.internet.task import LoopingCall

from jackdawsail.control.admin_queries import Queries
from jackdawsail.control.admin_resource import AdminResource
from jackdawsail.control.admin_watch import Watchers, make_watchers
from jackdawsail.control.claims import make_claim_desk
from jackdawsail.control.desks import make_desks
from jackdawsail.control.duties import LeaderDuties, start_duties
from jackdawsail.control.lease_handler import LeaseHandler
from jackdawsail.control.proposer import Proposer
from jackdawsail.control.replicator import make_replicator
from jackdawsail.process import ProcessContext
from jackdawsail.program import require_section
from jackdawsail.settings.models import ControlSettings
from jackdawsail.state.documents import seed_records
from jackdawsail.state.machine import ControlState
from jackdawsail.switchboard import Switchboard


@dataclass(frozen=True, slots=True)
class ControlContext:
    """The parts of a running control host that its program starts and stops."""

    switchboard: Switchboard
    replicator: Any
    desk: LeaseHandler
    duties_loop: LoopingCall
    watchers: Watchers
    resource: AdminResource


def read_control_settings(context: ProcessContext) -> ControlSettings:
    """Returns the control section, which this program needs."""
    return require_section(context.settings.control, 'control')


def make_control_context(context: ProcessContext) -> ControlContext:
    """Makes every part; the replicator is not started yet."""
    settings = read_control_settings(context)
    switchboard = Switchboard()
    state = ControlState()
    replicator = make_replicator(context, switchboard, state)
    proposer = Proposer(replicator, context.host.name, context.identity.incarnation, time.time)
    make_claim_desk(switchboard, proposer)
    desk = make_desks(context, settings, switchboard, state, replicator)
    duties = LeaderDuties(desk, proposer, seed_records(context.settings))
    watchers = make_watchers(context.reactor, state)
    queries = Queries(duties, replicator.status)
    return ControlContext(
        switchboard=switchboard,
        replicator=replicator,
        desk=desk,
        duties_loop=start_duties(duties, switchboard),
        watchers=watchers,
        resource=AdminResource(queries, proposer, watchers, settings.bootstrap_token),
    )
