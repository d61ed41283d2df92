"""When a new group may be founded: once, by one host, while every disk is new.

Only the voter with the lowest name founds, and only while it hears from every
other voter of the settings that its disk is new too. So a host whose disk was
replaced by an empty one never founds a second group beside the living one.
"""

from collections.abc import Mapping, Sequence

from jackdawsail.control.raft_messages import RaftHello


def founding_voters(
    own_name: str, own: RaftHello, names: Sequence[str], hellos: Mapping[str, RaftHello]
) -> tuple[str, ...]:
    """Returns the node ids of the first voters, or nothing while founding is not allowed."""
    if not names or own_name != min(names):
        return ()
    known = {**hellos, own_name: own}
    ready = [known[name].node for name in names if name in known and known[name].fresh]
    return tuple(ready) if len(ready) == len(names) else ()
