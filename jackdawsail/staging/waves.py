"""When an engine may be ordered to change over, so that not all do it at once.

Load: every engine has the new weights staged at about the same moment, since
their links are equally wide, and each takes nothing new until its running
streams have ended. The first half changes over as soon as it can, the second
when the first is back, in time for the bound.
"""

from collections.abc import Sequence

SECOND_WAVE_RESERVE_SECONDS = 0.9  # before the bound, when entries stop using old weights


def may_change_over(
    own_address: str,
    agents: Sequence[str],
    age_seconds: float,
    within_seconds: float,
) -> bool:
    """Tells whether an engine that serves old weights may be ordered to load new ones.

    ``age_seconds`` is the time since the version was named, ``within_seconds``
    the time in which it must be everywhere.

    Example::

        may_change_over('10.0.0.1', ['10.0.0.1', '10.0.0.2'], 5.5, 8.0) is True
        may_change_over('10.0.0.2', ['10.0.0.1', '10.0.0.2'], 5.5, 8.0) is False
    """
    ranked = sorted(agents)
    second = own_address in ranked and ranked.index(own_address) % 2 == 1
    return not second or age_seconds >= within_seconds - SECOND_WAVE_RESERVE_SECONDS
