"""Divides the changeover of a site's engines into two waves.

All engines have the new weights staged at about the same time, since their links
have the same bandwidth, and an engine that changes over accepts no new requests
until its running streams have ended. Therefore the first half changes over as soon
as it can, and the second half once entries send no more calls to old weights.
The first half should serve again by then; this is not checked.
"""

from collections.abc import Sequence

from jackdawsail.routing.weight_rules import LAST_SEND_MARGIN_SECONDS


def may_change_over(
    own_address: str,
    agents: Sequence[str],
    age_seconds: float,
    within_seconds: float,
) -> bool:
    """Returns whether an engine that serves old weights may be ordered to load new ones.

    ``age_seconds`` is the time since the version was announced, ``within_seconds``
    the time within which every engine must serve it.

    Example::

        may_change_over('10.0.0.1', ['10.0.0.1', '10.0.0.2'], 5.0, 8.0) is True
        may_change_over('10.0.0.2', ['10.0.0.1', '10.0.0.2'], 5.0, 8.0) is False
    """
    sorted_agents = sorted(agents)
    in_second_wave = own_address in sorted_agents and sorted_agents.index(own_address) % 2 == 1
    return not in_second_wave or age_seconds >= within_seconds - LAST_SEND_MARGIN_SECONDS
