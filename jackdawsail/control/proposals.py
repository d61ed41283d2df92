"""Proposals that wait for their commands to be applied on this host.

A proposal fails as not applied only if its command is known to be in no log, or if
another entry was committed at its index; otherwise it fails as possibly applied.
"""

from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

from jackdawsail.consensus.interfaces import ProposeError
from jackdawsail.consensus.log import Entry

PROPOSE_TIMEOUT_SECONDS = 5.0
Answer = Deferred[Result[Any, ProposeError]]


@dataclass(slots=True)
class _PendingProposal:
    answer: Answer
    deadline_seconds: float
    index: int = 0
    term: int = 0
    peer: str = ''


class Proposals:
    """Holds the deferred answer of each proposal, by ticket and by log index."""

    def __init__(self) -> None:
        self._next_ticket = 1
        self._pending: dict[int, _PendingProposal] = {}
        self._tickets_by_index: dict[int, list[int]] = {}

    def open(self, now_seconds: float, peer: str = '') -> tuple[int, Answer]:
        """Creates a ticket and its answer; ``peer`` names the leader it is forwarded to."""
        ticket = self._next_ticket
        self._next_ticket += 1
        answer: Answer = Deferred()
        deadline_seconds = now_seconds + PROPOSE_TIMEOUT_SECONDS
        self._pending[ticket] = _PendingProposal(answer, deadline_seconds, peer=peer)
        return ticket, answer

    def set_log_position(self, ticket: int, index: int, term: int) -> None:
        """Records the index and term of the command's log entry."""
        proposal = self._pending.get(ticket)
        if proposal is not None:
            proposal.index = index
            proposal.term = term
            self._tickets_by_index.setdefault(index, []).append(ticket)

    def refuse(self, ticket: int, reason: str, leader: str) -> None:
        """Fails a proposal as not applied."""
        self._finish(ticket, Failure(ProposeError(reason, leader, maybe_applied=False)))

    def applied(self, entry: Entry, reply: Any) -> None:
        """Answers the proposals that wait for an applied entry with its reply."""
        for ticket in self._tickets_at(entry.index):
            if self._pending[ticket].term == entry.term:
                self._finish(ticket, Success(reply))
            else:
                self.refuse(ticket, 'another leader replaced the entry', '')

    def fail_covered(self, until_index: int) -> None:
        """Fails the proposals that a snapshot from the leader covers; their replies are lost."""
        covered_indexes = [index for index in self._tickets_by_index if index <= until_index]
        for index in covered_indexes:
            for ticket in self._tickets_at(index):
                self._fail_uncertain(ticket, 'applied as part of a snapshot')

    def fail_forwarded_to(self, peer: str) -> None:
        """Fails the proposals that were forwarded to a peer and not yet answered by it."""
        for ticket, proposal in list(self._pending.items()):
            if proposal.peer == peer and not proposal.index:
                self._fail_uncertain(ticket, f'lost the link to {peer}')

    def expire(self, now_seconds: float) -> None:
        """Fails the proposals that have waited longer than ``PROPOSE_TIMEOUT_SECONDS``."""
        for ticket, proposal in list(self._pending.items()):
            if proposal.deadline_seconds > now_seconds:
                break
            self._fail_uncertain(ticket, 'not confirmed in time')

    def fail_all(self, reason: str) -> None:
        """Fails every proposal as possibly applied."""
        for ticket in list(self._pending):
            self._fail_uncertain(ticket, reason)

    def _tickets_at(self, index: int) -> tuple[int, ...]:
        return tuple(self._tickets_by_index.get(index, ()))

    def _fail_uncertain(self, ticket: int, reason: str) -> None:
        self._finish(ticket, Failure(ProposeError(reason, '', maybe_applied=True)))

    def _finish(self, ticket: int, outcome: Result[Any, ProposeError]) -> None:
        proposal = self._pending.pop(ticket, None)
        if proposal is None:
            return
        if proposal.index:
            tickets = self._tickets_by_index[proposal.index]
            tickets.remove(ticket)
            if not tickets:
                self._tickets_by_index.pop(proposal.index)
        proposal.answer.callback(outcome)
