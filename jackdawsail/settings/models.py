"""Models that validate the settings of all programs.

Fields with a unit carry it as a suffix. Unknown keys are errors.
"""

from typing import Annotated, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')]
Address = Annotated[str, Field(pattern=r'^[0-9.]+:[0-9]{1,5}$')]
PositiveSeconds = Annotated[float, Field(gt=0, le=86400)]
Share = Annotated[float, Field(gt=0, le=1)]


class Section(BaseModel):
    """Base class of all sections: immutable, with unknown keys as errors."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class HostSettings(Section):
    """The host that this process runs on.

    The process listens on ``address`` and connects from it. Other processes connect
    to ``advertised_address`` if it is set, for example behind address translation.
    """

    name: Name
    zone: Name
    region: Name
    address: Annotated[str, Field(pattern=r'^[0-9.]+$')] = '127.0.0.1'
    advertised_address: Annotated[str, Field(pattern=r'^[0-9.]*$')] = ''

    def advertised_endpoint(self, port: int) -> str:
        """Returns the ``host:port`` at which other processes reach a port of this one."""
        return f'{self.advertised_address or self.address}:{port}'


class SecuritySettings(Section):
    """Authentication between processes; an empty secret is allowed on loopback only.

    With the three PEM files, links also use mutual TLS, and the common name of
    each certificate must be the name of its host.
    """

    site_secret: str = ''
    site_secret_file: str = ''
    certificate_file: str = ''
    key_file: str = ''
    authority_file: str = ''

    @model_validator(mode='after')
    def _require_all_certificate_files(self) -> Self:
        files = (self.certificate_file, self.key_file, self.authority_file)
        if any(files) and not all(files):
            raise ValueError('certificate_file, key_file and authority_file must be set together')
        return self


class VoterSettings(Section):
    """Name and link address of a control host, either a voter or a learner."""

    name: Name
    address: Address


class ControlSettings(Section):
    """Settings of the control program, with the initial voters and learners."""

    link_port: int = 0
    admin_port: int = 0
    data_folder: str
    voters: list[VoterSettings]
    learners: list[VoterSettings] = []
    election_timeout_seconds: PositiveSeconds = 1.0
    raft_heartbeat_seconds: PositiveSeconds = 0.2
    snapshot_every_entries: int = Field(default=20000, ge=10)
    replace_voter_after_seconds: PositiveSeconds = 30.0
    zone_lease_seconds: PositiveSeconds = 2.5
    bootstrap_token: str = ''


class EntrySettings(Section):
    """Settings of the entry program, which accepts the calls of customers."""

    caller_port: int = 0
    link_port: int = 0
    control: list[Address]
    address_valid_seconds: PositiveSeconds = 5.0
    max_body_bytes: int = Field(default=1_000_000, ge=1)
    max_connections: int = Field(default=2000, ge=1)
    drain_deadline_seconds: PositiveSeconds = 30.0


class RelaySettings(Section):
    """Settings of the relay program, which connects a region's entries to the control hosts."""

    link_port: int = 0
    control: list[Address]
    zone_lease_seconds: PositiveSeconds = 2.5


class AgentSettings(Section):
    """Settings of the agent program, which runs beside one upstream."""

    backend: Name
    upstream_kind: Literal['engine', 'service'] = 'engine'
    upstream_url: str
    chunk_port: int = 0
    chunk_folder: str
    chunk_space_bytes: int = Field(default=200_000_000_000, ge=1)
    entries: list[Address]
    checks_fence: bool = True
    capacity: int = Field(default=8, ge=1)
    cold_limit: int = Field(default=1, ge=1)
    drain_deadline_seconds: PositiveSeconds = 30.0


class BackendSettings(Section):
    """A back end, which customers call by name, and the kind of its upstreams."""

    kind: Literal['engine', 'service']
    max_switching_share: Share = 0.5
    idempotent_methods: list[str] = []


class CustomerSettings(Section):
    """Fair-share weight, limits and token digest of a customer."""

    weight: float = Field(default=1.0, gt=0, le=1000)
    requests_per_second: float = Field(default=100.0, gt=0)
    max_concurrent: int = Field(default=64, ge=1)
    token_digest: str = ''


class ZoneSettings(Section):
    """A data centre and its region."""

    region: Name


class SiteSettings(Section):
    """A site deployment: a data centre and the back ends that it runs."""

    zone: Name
    backends: list[Name]


class LimitSettings(Section):
    """What a process may use: memory in megabytes (of 1,000,000 bytes) and descriptors."""

    memory_mb: int = Field(default=512, ge=64)
    max_fds: int = Field(default=4096, ge=64)


class WeightSettings(Section):
    """Bandwidths and chunk size for the distribution of weights."""

    origin_url: str = ''
    origin_bits_per_second: float = Field(default=40_000_000, gt=0)
    inter_region_bits_per_second: float = Field(default=10_000_000, gt=0)
    machine_bits_per_second: float = Field(default=1_000_000_000, gt=0)
    chunk_bytes: int = Field(default=262_144, ge=1024)
    origin_copies: int = Field(default=3, ge=1, le=4)


class Settings(Section):
    """A whole merged settings document."""

    deployment: Name
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'
    host: HostSettings | None = None
    security: SecuritySettings = SecuritySettings()
    limits: LimitSettings = LimitSettings()
    control: ControlSettings | None = None
    entry: EntrySettings | None = None
    relay: RelaySettings | None = None
    agent: AgentSettings | None = None
    zones: dict[Name, ZoneSettings] = {}
    backends: dict[Name, BackendSettings] = {}
    customers: dict[Name, CustomerSettings] = {}
    sites: dict[Name, SiteSettings] = {}
    weights: WeightSettings = WeightSettings()
