"""Builds the components that process callers' requests and connects them to the links."""

import random
from dataclasses import dataclass
from typing import Any

from jackdawsail.entry.handlers import CallerHandlers, HandlerDependencies
from jackdawsail.entry.ledger_client import LedgerClient
from jackdawsail.entry.link_components import LinkComponents
from jackdawsail.entry.peers import PEER_PREFIX, PeerRelay
from jackdawsail.entry.pipeline import Pipeline, Stages
from jackdawsail.entry.stages.admit import Admission
from jackdawsail.entry.stages.authenticate import Authenticator
from jackdawsail.entry.stages.choose import Chooser
from jackdawsail.entry.stages.claim import Claimer
from jackdawsail.entry.stages.dispatch import CANDIDATE_MESSAGES, Dispatcher
from jackdawsail.entry.stages.settle import Settler
from jackdawsail.entry.stages.validate import Validator
from jackdawsail.process import ProcessContext
from jackdawsail.routing.retries import RetryBudget
from jackdawsail.wire.link import Link
from jackdawsail.wire.work_messages import AnswerParts


@dataclass(frozen=True, slots=True)
class RequestComponents:
    """The components that process requests."""

    ledger: LedgerClient
    dispatcher: Dispatcher
    relay: PeerRelay
    pipeline: Pipeline
    handlers: CallerHandlers

    def start(self) -> None:
        """Starts the timers of the ledger client and the dispatcher."""
        self.ledger.start()
        self.dispatcher.start()

    def stop(self) -> None:
        """Stops the timers."""
        self.dispatcher.stop()
        self.ledger.stop()


def make_request_components(context: ProcessContext, links: LinkComponents) -> RequestComponents:
    """Builds the stages and the components that they share."""
    rng = random.Random(context.identity.incarnation)
    chooser = Chooser(context.identity, links.state.replica, links.table, links.control.lease, rng)
    chooser.peer_candidates = links.peers.candidates
    ledger = LedgerClient(context.reactor, links.router, links.control.leader)
    dispatcher = Dispatcher(context.reactor, chooser, links.link_of, RetryBudget(rng))
    relay = PeerRelay(context.reactor, links.router, links.agents, chooser)
    _connect(links, dispatcher, relay)
    stages = _make_stages(context, links, ledger, dispatcher)
    handlers = _make_handlers(context, links, stages, ledger)
    return RequestComponents(ledger, dispatcher, relay, Pipeline(stages), handlers)


def _make_stages(
    context: ProcessContext, links: LinkComponents, ledger: LedgerClient, dispatcher: Dispatcher
) -> Stages:
    replica = links.state.replica
    admission = Admission(replica)
    return Stages(
        context.reactor,
        Authenticator(replica),
        Validator(replica),
        admission,
        Claimer(context.identity, ledger),
        dispatcher,
        Settler(context.identity, admission, ledger),
    )


def _make_handlers(
    context: ProcessContext, links: LinkComponents, stages: Stages, ledger: LedgerClient
) -> CallerHandlers:
    settings = context.settings.entry
    deps = HandlerDependencies(
        context.reactor,
        context.identity,
        links.state.replica,
        links.control,
        stages.authenticate,
        ledger,
        stages.dispatcher,
        settings.address_valid_seconds if settings else 0,
        random.Random(context.identity.incarnation),
    )
    return CallerHandlers(deps, stages.dispatcher.customer_of_request)


def _connect(links: LinkComponents, dispatcher: Dispatcher, relay: PeerRelay) -> None:
    def handle_message(link: Link, message: Any) -> None:
        if not relay.relay_from_agent(message):
            dispatcher.handle_message(link, message)

    def handle_closed(link: Link) -> None:
        if link.peer:
            dispatcher.candidate_lost(PEER_PREFIX + link.peer.name)

    def handle_parts(link: Link, message: AnswerParts) -> None:
        for part in message.parts:
            handle_message(link, part)

    links.router.register_handler(AnswerParts, handle_parts)
    for message_type in CANDIDATE_MESSAGES:
        links.router.register_handler(message_type, handle_message)
    links.agents.watch_lost(dispatcher.candidate_lost)
    links.router.watch_links(_ignore_opened, handle_closed)


def _ignore_opened(_link: Link) -> None:
    """Does nothing: candidates are looked up by name when they are needed."""
