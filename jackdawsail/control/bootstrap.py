"""Decides when a new group may be bootstrapped: once, by one host, while every disk is new.

Only the voter with the lowest name bootstraps the group, and only while every other
voter of the settings reports that its disk is new too. Therefore a host whose disk was
replaced by an empty one never bootstraps a second group beside the running one. Hosts
whose settings name different voters bootstrap no group together.
"""

from collections.abc import Mapping

from jackdawsail.control.raft_messages import RaftHello


def bootstrap_voters(
    own_name: str, own: RaftHello, hellos: Mapping[str, RaftHello]
) -> tuple[str, ...]:
    """Returns the node ids of the initial voters; empty while the bootstrap is not allowed."""
    if not own.voters or own_name != min(own.voters):
        return ()
    known = {**hellos, own_name: own}
    linked = [known[name] for name in own.voters if name in known]
    ready = [hello.node for hello in linked if hello.fresh and hello.voters == own.voters]
    return tuple(ready) if len(ready) == len(own.voters) else ()
