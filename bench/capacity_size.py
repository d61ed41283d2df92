"""The deployment size to design for, as the users require it, and figures derived from it."""

from dataclasses import dataclass

SECONDS_PER_DAY = 86400
KIBIBYTE = 1024
MEBIBYTE = 1024 * 1024


@dataclass(frozen=True, slots=True)
class DesignSize:
    """Required counts and rates, and assumptions where the requirements leave them open."""

    nodes: int = 760
    engines: int = 12_000
    upstream_hosts: int = 1_500
    requests_per_second: float = 8_300
    tokens_per_second: float = 3_900_000
    regions: int = 12
    zones: int = 39
    changes_per_day: int = 22_000
    set_aside_hosts: int = 19
    voters: int = 7
    host_failures_per_day: int = 150
    restarts_per_day: int = 930
    # Assumptions; docs/CAPACITY.md names each of them.
    busiest_minute_factor: float = 10
    customers: int = 2_000
    claimed_share: float = 0.02
    links_per_agent: int = 3
    model_bytes: int = 140 * 10**9
    chunk_bytes: int = 64 * MEBIBYTE

    @property
    def relays(self) -> int:
        """Stateless relays: the hosts set aside for control that do not vote."""
        return self.set_aside_hosts - self.voters

    @property
    def entries(self) -> int:
        """Entries: the nodes that are not set aside for control."""
        return self.nodes - self.set_aside_hosts

    @property
    def agents_per_entry(self) -> float:
        """Mean number of agent links at one entry."""
        return self.upstream_hosts * self.links_per_agent / self.entries

    @property
    def entries_per_relay(self) -> float:
        """Mean number of entry links at one relay."""
        return self.entries / self.relays

    @property
    def changes_per_second(self) -> float:
        """Configuration changes per second in the busiest minute of a day."""
        return self.changes_per_day / SECONDS_PER_DAY * self.busiest_minute_factor

    @property
    def claims_per_second(self) -> float:
        """Claims per second for calls that must not be repeated, over all regions."""
        return self.requests_per_second * self.claimed_share

    @property
    def chunks(self) -> int:
        """Chunks of one model, the last possibly shorter."""
        return -(-self.model_bytes // self.chunk_bytes)


@dataclass(frozen=True, slots=True)
class NodeBudget:
    """Limits of what one node may spend on control: share of a core, memory, traffic."""

    processor_share: float = 0.044
    memory_bytes: int = 128 * MEBIBYTE
    bytes_per_second: int = 20 * KIBIBYTE
