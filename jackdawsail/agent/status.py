"""What the parts of an agent share about its upstream and its lease."""

from dataclasses import dataclass

from jackdawsail.wire.membership_messages import UpstreamState


@dataclass(slots=True)
class AgentStatus:
    """Written by the parts that own each fact, read by the others.

    ``fence_number`` is the number of the lease for orders to the engine;
    ``lease_until_seconds`` is by the reactor's clock.
    """

    state: UpstreamState = UpstreamState.cold
    release: str = ''
    fence_number: int = 0
    lease_until_seconds: float = 0
