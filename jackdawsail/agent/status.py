"""State of an agent's upstream and lease, shared by its components."""

from dataclasses import dataclass

from jackdawsail.wire.membership_messages import UpstreamState


@dataclass(slots=True)
class AgentStatus:
    """Each field is written by the component that owns it and read by the others.

    ``fence_number`` is the lease number that is sent with load orders to the engine;
    ``lease_until_seconds`` is a time on the reactor's clock.
    """

    state: UpstreamState = UpstreamState.cold
    release: str = ''
    fence_number: int = 0
    lease_until_seconds: float = 0
