"""What the emulator plays: a site, its traffic and what changes, read from a TOML file."""

import tomllib
from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

SITES = Path(__file__).parent / 'sites'


class _Part(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class Zone(_Part):
    """A data centre: its hosts, and its share of the callers."""

    name: str
    region: str
    entries: int = Field(ge=1)
    engines: int = Field(ge=0)
    services: int = Field(ge=0)
    callers_share: float = Field(gt=0)


class EngineModel(_Part):
    """An engine: a pass makes ``steps_per_pass`` tokens for each running stream.

    Prompts are read between the steps, at most ``chunk_tokens`` a step.
    """

    places: int
    queue: int
    step_ms: float
    step_per_stream_ms: float
    context_per_thousand_ms: float
    prompt_tokens_per_ms: float
    pairs_per_million_ms: float
    chunk_tokens: int
    steps_per_pass: int
    first_ms: float = 0
    cold_seconds: float = 0
    cold_per_second: float = 0
    load_seconds: float = 0.3
    stage_seconds: float = 5.4


class ServiceModel(_Part):
    """A plain service with few places and a short queue."""

    places: int
    queue: int
    mean_ms: float


class Kind(_Part):
    """A kind of call. Without ``prompt_tokens`` it goes to the plain service."""

    name: str
    per_second: float
    target_ms: float
    patience_ms: float
    worth: float
    late_worth: float
    prompt_tokens: float = 0
    prompt_spread: float = 1.0
    prompt_most: float = 0
    events: float = 0
    events_spread: float = 0.9
    events_most: float = 60
    longest_pause_ms: float = 300


class Change(_Part):
    """Something that happens at a time.

    ``engines`` adds engines without weights (or, below zero, takes some away),
    ``weights`` names a new version, ``empty`` and ``refill`` take a data centre out
    and back.
    """

    at_seconds: float
    kind: Literal['engines', 'weights', 'empty', 'refill']
    zone: str = ''
    count: int = 0


class Deployment(_Part):
    """A site and one day on it; ``steps`` are times and factors of the traffic.

    ``entry_ms`` is what an entry takes of its processor for a call on either way.
    """

    name: str
    length_seconds: float
    warm_up_seconds: float = 2.0
    caller_delay_ms: float
    entry_ms: float = 0
    region_delay_ms: float
    zone_delay_ms: float = 0.2
    weights_seconds: float = 8.0
    returns: int = 1
    zones: list[Zone]
    engine: EngineModel
    service: ServiceModel
    kinds: list[Kind]
    changes: list[Change] = []
    steps: list[tuple[float, float]] = [(0, 1)]

    def factor_at(self, seconds: float) -> float:
        """Returns the factor of the traffic at a time."""
        passed = [factor for start, factor in self.steps if start <= seconds]
        return passed[-1] if passed else 0

    @property
    def caller_way_seconds(self) -> float:
        """Returns the time between a caller and an entry's decision."""
        return (self.caller_delay_ms + self.entry_ms) / 1000

    def delay_seconds(self, from_region: str, to_region: str) -> float:
        """Returns the one-way delay between hosts."""
        delay_ms = self.zone_delay_ms if from_region == to_region else self.region_delay_ms
        return delay_ms / 1000


def read_deployment(path: Path) -> Deployment:
    """Reads a file, or one of the emulator's own by its name.

    Raises ``ValueError`` with every fault of the content.
    """
    found = path if path.suffix else SITES / f'{path}.toml'
    return Deployment.model_validate(tomllib.loads(found.read_text('utf8')))
