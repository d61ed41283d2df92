"""Messages between control hosts that are not part of the consensus protocol."""

from jackdawsail.wire.codec import message


@message('raft-hello')
class RaftHello:
    """First message on each link; repeated while no leader is known.

    ``fresh`` means that the host's disk is new and it has joined no group yet.
    ``voters`` are the names in its settings; they must agree for a bootstrap.
    """

    node: str
    fresh: bool
    voters: list[str]


@message('raft-forward')
class Forward:
    """A proposal that a follower forwards to the leader."""

    ticket: int
    command: bytes


@message('raft-forwarded')
class ForwardAccepted:
    """The proposal is in the leader's log; the follower waits until it has applied it."""

    ticket: int
    index: int
    term: int


@message('raft-unforwarded')
class ForwardRefused:
    """The proposal was not appended to the leader's log."""

    ticket: int
    reason: str
    leader: str
