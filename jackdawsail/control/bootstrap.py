"""Decides when a new group may be bootstrapped: once, by one host, while every disk is new.

Only the voter with the lowest name bootstraps the group, and only while every other
voter of the settings reports that its disk is new too. Therefore a host whose disk was
replaced by an empty one never bootstraps a second group beside the running one. Hosts
whose settings name different voters bootstrap no group together.
"""

from collections.abc import Mapping

from jackdawsail.control.raft_messages import RaftHello


def bootstrap_voters(
    own_name: str, own_hello: RaftHello, hellos: Mapping[str, RaftHello]
) -> tuple[str, ...]:
    """Returns the node ids of the initial voters; empty while the bootstrap is not allowed."""
    if not own_hello.voters or own_name != min(own_hello.voters):
        return ()
    all_hellos = {**hellos, own_name: own_hello}
    voter_hellos = [all_hellos[name] for name in own_hello.voters if name in all_hellos]
    ready_nodes = [
        hello.node for hello in voter_hellos if hello.fresh and hello.voters == own_hello.voters
    ]
    return tuple(ready_nodes) if len(ready_nodes) == len(own_hello.voters) else ()
