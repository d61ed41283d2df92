"""Builds the parts that take callers' requests, and connects them to the links."""

import random
from dataclasses import dataclass
from typing import Any

from jackdawsail.entry.handlers import CallerHandlers, HandlerTools
from jackdawsail.entry.ledger_client import LedgerClient
from jackdawsail.entry.link_components import LinkComponents
from jackdawsail.entry.peers import PEER_PREFIX, PeerRelay
from jackdawsail.entry.pipeline import Pipeline, Stages
from jackdawsail.entry.stages.admit import Admission
from jackdawsail.entry.stages.authenticate import Authenticator
from jackdawsail.entry.stages.choose import Chooser
from jackdawsail.entry.stages.claim import Claimer
from jackdawsail.entry.stages.dispatch import FROM_CANDIDATES, Dispatcher
from jackdawsail.entry.stages.settle import Settler
from jackdawsail.entry.stages.validate import Validator
from jackdawsail.process import ProcessContext
from jackdawsail.routing.retries import RetryBudget
from jackdawsail.wire.link import Link
from jackdawsail.wire.work_messages import AnswerParts


@dataclass(frozen=True, slots=True)
class RequestComponents:
    """The parts that take requests."""

    ledger: LedgerClient
    dispatcher: Dispatcher
    relay: PeerRelay
    pipeline: Pipeline
    handlers: CallerHandlers

    def start(self) -> None:
        """Starts the timers."""
        self.ledger.start()
        self.dispatcher.start()

    def stop(self) -> None:
        """Ends the timers."""
        self.dispatcher.stop()
        self.ledger.stop()


def make_request_components(context: ProcessContext, links: LinkComponents) -> RequestComponents:
    """Makes the stages and what they share."""
    rng = random.Random(context.identity.incarnation)
    chooser = Chooser(context.identity, links.known.replica, links.table, links.control.lease, rng)
    chooser.peers = links.peers.candidates
    ledger = LedgerClient(context.reactor, links.switchboard, links.control.leader)
    dispatcher = Dispatcher(context.reactor, chooser, links.link_of, RetryBudget(rng))
    relay = PeerRelay(context.reactor, links.switchboard, links.agents, chooser)
    _connect(links, dispatcher, relay)
    stages = _make_stages(context, links, ledger, dispatcher)
    handlers = _make_handlers(context, links, stages, ledger)
    return RequestComponents(ledger, dispatcher, relay, Pipeline(stages), handlers)


def _make_stages(
    context: ProcessContext, links: LinkComponents, ledger: LedgerClient, dispatcher: Dispatcher
) -> Stages:
    replica = links.known.replica
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
    tools = HandlerTools(
        context.reactor,
        context.identity,
        links.known.replica,
        links.control,
        stages.authenticate,
        ledger,
        stages.dispatcher,
        settings.address_valid_seconds if settings else 0,
        random.Random(context.identity.incarnation),
    )
    return CallerHandlers(tools, stages.dispatcher.owner_of)


def _connect(links: LinkComponents, dispatcher: Dispatcher, relay: PeerRelay) -> None:
    def received(link: Link, message: Any) -> None:
        if not relay.from_agent(message):
            dispatcher.received(link, message)

    def closed(link: Link) -> None:
        if link.peer:
            dispatcher.candidate_lost(PEER_PREFIX + link.peer.name)

    def received_parts(link: Link, message: AnswerParts) -> None:
        for part in message.parts:
            received(link, part)

    links.switchboard.on(AnswerParts, received_parts)
    for message_type in FROM_CANDIDATES:
        links.switchboard.on(message_type, received)
    links.agents.watch_lost(dispatcher.candidate_lost)
    links.switchboard.watch(_ignore, closed)


def _ignore(_link: Link) -> None:
    """Candidates are found by name when they are needed."""
