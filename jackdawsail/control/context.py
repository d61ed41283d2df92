"""Creates the components of a control host and connects them."""

import time
from dataclasses import dataclass
from typing import Any

from twisted.internet.task import LoopingCall

from jackdawsail.control.admin_queries import Queries
from jackdawsail.control.admin_resource import AdminResource
from jackdawsail.control.admin_watch import Watchers, make_watchers
from jackdawsail.control.claims import make_claim_handler
from jackdawsail.control.handlers import make_handlers
from jackdawsail.control.leader_tasks import LeaderTasks, start_leader_tasks
from jackdawsail.control.lease_handler import LeaseHandler
from jackdawsail.control.proposer import Proposer
from jackdawsail.control.replicator import make_replicator
from jackdawsail.message_router import MessageRouter
from jackdawsail.process import ProcessContext
from jackdawsail.program import require_section
from jackdawsail.settings.models import ControlSettings
from jackdawsail.state.documents import seed_records
from jackdawsail.state.machine import ControlState


@dataclass(frozen=True, slots=True)
class ControlContext:
    """The components of a control host that its program starts and stops."""

    router: MessageRouter
    replicator: Any
    lease_handler: LeaseHandler
    leader_tasks_loop: LoopingCall
    watchers: Watchers
    resource: AdminResource


def read_control_settings(context: ProcessContext) -> ControlSettings:
    """Returns the control section of the settings; raises if it is missing."""
    return require_section(context.settings.control, 'control')


def make_control_context(context: ProcessContext) -> ControlContext:
    """Creates every component; the replicator is not started yet."""
    settings = read_control_settings(context)
    router = MessageRouter()
    state = ControlState()
    replicator = make_replicator(context, router, state)
    proposer = Proposer(replicator, context.host.name, context.identity.incarnation, time.time)
    make_claim_handler(router, proposer)
    lease_handler = make_handlers(context, settings, router, state, replicator)
    leader_tasks = LeaderTasks(lease_handler, proposer, seed_records(context.settings))
    watchers = make_watchers(context.reactor, state)
    queries = Queries(leader_tasks, replicator.status)
    return ControlContext(
        router=router,
        replicator=replicator,
        lease_handler=lease_handler,
        leader_tasks_loop=start_leader_tasks(leader_tasks, router),
        watchers=watchers,
        resource=AdminResource(queries, proposer, watchers, settings.bootstrap_token),
    )
