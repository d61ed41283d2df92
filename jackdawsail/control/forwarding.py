"""Forwards proposals of a follower to the leader and waits until they are applied locally.

The leader answers only with the log index of the command. The reply comes from the
follower's own state machine, so it needs no encoding and the follower reads its own
writes.
"""

from returns.result import Failure
from twisted.internet.defer import succeed

from jackdawsail.consensus.effects import Accepted, Refused
from jackdawsail.consensus.interfaces import ProposeError
from jackdawsail.control.consensus_host import ConsensusHost
from jackdawsail.control.proposals import Answer
from jackdawsail.control.raft_links import HostHandler, RaftLinks
from jackdawsail.control.raft_messages import Forward, ForwardAccepted, ForwardRefused


class Forwarding:
    """The follower's and the leader's end of forwarded proposals on one control host."""

    def __init__(self, host: ConsensusHost, links: RaftLinks) -> None:
        self._host = host
        self._links = links
        # Own ticket of a proposal that a follower has forwarded -> (follower, its ticket).
        self._origins: dict[int, tuple[str, int]] = {}

    def handlers(self) -> dict[type, HostHandler]:
        """Returns the handler of each message type."""
        return {
            Forward: self._on_forward,
            ForwardAccepted: self._on_accepted,
            ForwardRefused: self._on_refused,
        }

    def forward(self, command: bytes, leader: str, now_seconds: float) -> Answer:
        """Sends a command to the leader; the answer fires once it is applied on this host."""
        ticket, answer = self._host.proposals.open(now_seconds, peer=leader)
        if self._links.send_to(leader, Forward(ticket, command)):
            return answer
        self._host.proposals.refuse(ticket, f'no link to the leader {leader}', leader)
        return answer

    def answer_follower(self, effect: Accepted | Refused) -> None:
        """Reports to a follower whether its forwarded proposal was appended to the log."""
        origin = self._origins.pop(effect.ticket, None)
        if origin is None:
            return
        follower, ticket = origin
        if isinstance(effect, Accepted):
            self._links.send_to(follower, ForwardAccepted(ticket, effect.index, effect.term))
        else:
            refused = ForwardRefused(ticket, effect.reason, effect.leader)
            self._links.send_to(follower, refused)

    def _on_forward(self, follower: str, message: Forward) -> None:
        if self._host.halt_reason:
            self._links.send_to(
                follower, ForwardRefused(message.ticket, self._host.halt_reason, '')
            )
            return
        ticket, _answer = self._host.proposals.open(self._host.clock.seconds())
        self._origins[ticket] = (follower, message.ticket)
        self._host.submit_command(ticket, message.command)

    def _on_accepted(self, _leader: str, message: ForwardAccepted) -> None:
        self._host.proposals.set_log_position(message.ticket, message.index, message.term)
        if message.index <= self._host.applied_index:
            self._host.proposals.fail_covered(message.index)

    def _on_refused(self, _leader: str, message: ForwardRefused) -> None:
        self._host.proposals.refuse(message.ticket, message.reason, message.leader)


def refused_answer(reason: str, leader: str) -> Answer:
    """Returns the answer to a proposal that is in no log."""
    return succeed(Failure(ProposeError(reason, leader, maybe_applied=False)))
