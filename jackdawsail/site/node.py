"""The settings of one process: its location, addresses, seeds and limits."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ListenAddresses:
    """The addresses on which a process listens, as ``host:port``; empty if it does not."""

    callers: str = ''
    readiness: str = ''
    control: str = ''
    directory: str = ''


@dataclass(frozen=True, slots=True)
class NodeBounds:
    """Limits that the operators of the site set for every process.

    ``tolerated_host_losses`` is how many voters may be lost at once. ``weights_seconds``
    is the time within which every engine must serve newly announced weights. Zero megabytes of
    memory or descriptors leave it to the defaults of the process's budget.
    """

    tolerated_host_losses: int = 0
    stop_seconds: float = 8.0
    retry_ratio: float = 0.2
    retry_window_seconds: float = 10.0
    retry_slack: float = 0
    cold_ratio: float = 1.0
    cold_slack: float = 0
    weights_seconds: float = 8.0
    addresses_max_seconds: float = 5.0
    memory_megabytes: float = 0
    max_descriptors: int = 0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of one process.

    ``seeds`` are the control addresses of some control hosts. ``link_port`` is the
    port for links between processes, the same on all hosts. ``may_bootstrap`` is true
    only when the whole site starts for the first time.
    """

    name: str
    address: str
    zone: str
    region: str
    region_by_zone: dict[str, str] = field(default_factory=dict)
    link_port: int = 0
    seeds: tuple[str, ...] = ()
    may_bootstrap: bool = False
    data_folder: str = ''
    heartbeat_seconds: float = 1.2
    engine_address: str = ''
    engine_service: str = ''
    listening: ListenAddresses = field(default_factory=ListenAddresses)
    bounds: NodeBounds = field(default_factory=NodeBounds)

    @property
    def seed_hosts(self) -> tuple[str, ...]:
        """Returns the hosts of the seeds, without ports."""
        return tuple(seed.rpartition(':')[0] for seed in self.seeds)
