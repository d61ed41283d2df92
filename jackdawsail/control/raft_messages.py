"""Messages between control hosts beside those of the consensus protocol itself."""

from jackdawsail.wire.codec import message


@message('raft-hello')
class RaftHello:
    """First on each link, and again while no leader is heard.

    ``fresh`` tells that the host's disk is new and it has joined no group yet;
    ``voters`` are the names in its settings, which must agree to found a group.
    """

    node: str
    fresh: bool
    voters: list[str]


@message('raft-forward')
class Forward:
    """A follower passes a proposal on to the leader."""

    ticket: int
    command: bytes


@message('raft-forwarded')
class ForwardAccepted:
    """The proposal stands in the leader's log; the follower waits until it applies it."""

    ticket: int
    index: int
    term: int


@message('raft-unforwarded')
class ForwardRefused:
    """The proposal was not taken into the log."""

    ticket: int
    reason: str
    leader: str
