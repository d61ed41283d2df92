"""When a new group may be founded: once, by one host, while every disk is new.

Only the voter with the lowest name founds, and only while it hears from every
other voter of the settings that its disk is new too. So a host whose disk was
replaced by an empty one never founds a second group beside the living one. Hosts
whose settings name other voters found nothing together.
"""

from collections.abc import Mapping

from jackdawsail.control.raft_messages import RaftHello


def founding_voters(
    own_name: str, own: RaftHello, hellos: Mapping[str, RaftHello]
) -> tuple[str, ...]:
    """Returns the node ids of the first voters, or nothing while founding is not allowed."""
    if not own.voters or own_name != min(own.voters):
        return ()
    known = {**hellos, own_name: own}
    found = [known[name] for name in own.voters if name in known]
    ready = [hello.node for hello in found if hello.fresh and hello.voters == own.voters]
    return tuple(ready) if len(ready) == len(own.voters) else ()
