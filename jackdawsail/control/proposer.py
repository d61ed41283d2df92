"""Wraps commands in their envelopes and proposes them to the consensus group."""

from collections.abc import Callable
from typing import Any

from returns.result import Result, Success
from twisted.internet.defer import Deferred

from jackdawsail.consensus.interfaces import ProposeError, Replicator
from jackdawsail.consensus.membership import NO_CHANGE_REASON
from jackdawsail.state.commands import CommandEnvelope
from jackdawsail.state.replies import Accepted, Reply
from jackdawsail.state.voter_command import VotersChange
from jackdawsail.wire.codec import encode

ProposeResult = Deferred[Result[Reply, ProposeError]]


class Proposer:
    """Wraps commands in envelopes and proposes them."""

    def __init__(
        self,
        replicator: Replicator,
        host_name: str,
        incarnation: int,
        wall_clock: Callable[[], float],
    ) -> None:
        self.replicator = replicator
        self._actor = f'control/{host_name}'
        self._incarnation = incarnation
        self._wall_clock = wall_clock
        self._internal_count = 0

    def submit(
        self, actor: str, request_id: str, expected_revision: int | None, body: object
    ) -> ProposeResult:
        """Proposes a command under an actor's request id.

        A change of voters is carried out once its command is committed.
        """
        envelope = CommandEnvelope(
            request_id, actor, self._wall_clock(), expected_revision, encode(body)
        )
        proposed = self.replicator.propose(encode(envelope))
        if isinstance(body, VotersChange):
            proposed.addCallback(self._change_voters, body)
        return proposed

    def submit_internal(self, body: object) -> ProposeResult:
        """Proposes a command that the leader issues by itself, under a new request id."""
        self._internal_count += 1
        return self.submit(self._actor, f'{self._incarnation}-{self._internal_count}', None, body)

    def _change_voters(self, outcome: Any, body: VotersChange) -> Any:
        """Changes the group once the command is in the audit; a resent command does it again."""
        if not isinstance(outcome, Success) or not isinstance(outcome.unwrap(), Accepted):
            return outcome
        changed = self.replicator.change_voters(body.retire, body.take_back, body.count)
        return changed.addCallback(_audited_unless_failed, outcome)


def _audited_unless_failed(changed: Any, audited: Any) -> Any:
    """Returns the reply to the audited command, or the reason why the group has not changed."""
    if isinstance(changed, Success) or changed.failure().reason == NO_CHANGE_REASON:
        return audited
    return changed
