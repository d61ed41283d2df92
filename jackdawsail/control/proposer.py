"""Wraps commands in their envelopes and proposes them to the other voters."""

from collections.abc import Callable

from returns.result import Result
from twisted.internet.defer import Deferred

from jackdawsail.consensus.interfaces import ProposeError, Replicator
from jackdawsail.state.commands import CommandEnvelope
from jackdawsail.state.replies import Reply
from jackdawsail.wire.codec import encode

ProposeResult = Deferred[Result[Reply, ProposeError]]


class Proposer:
    """Stamps and proposes; ``own`` is for what the leader decides itself."""

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
        self._own_count = 0

    def submit(
        self, actor: str, request_id: str, expected_revision: int | None, body: object
    ) -> ProposeResult:
        """Proposes an operator's command."""
        envelope = CommandEnvelope(
            request_id, actor, self._wall_clock(), expected_revision, encode(body)
        )
        return self.replicator.propose(encode(envelope))

    def own(self, body: object) -> ProposeResult:
        """Proposes a command of the leader itself under a fresh request id."""
        self._own_count += 1
        return self.submit(self._actor, f'{self._incarnation}-{self._own_count}', None, body)
