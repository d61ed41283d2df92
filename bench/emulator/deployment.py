"""The input of the emulator: a site, its traffic and its changes, read from a TOML file."""

import tomllib
from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

SITES_FOLDER = Path(__file__).parent / 'sites'


class _Section(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class Zone(_Section):
    """A data centre: its hosts, and its share of the callers."""

    name: str
    region: str
    entries: int = Field(ge=1)
    engines: int = Field(ge=0)
    services: int = Field(ge=0)
    callers_share: float = Field(gt=0)


class EngineModel(_Section):
    """An engine: a pass generates ``steps_per_pass`` tokens for each running stream.

    Prompts are prefilled between the steps, at most ``chunk_tokens`` per step. Each thousand
    tokens of context lengthen a step by ``context_per_thousand_ms``, and each million token
    pairs a prefill by ``pairs_per_million_ms``. ``first_ms`` delays every event of a stream.
    A changeover starts ``stage_seconds`` after its version is announced, or later, and
    takes ``load_seconds``. For ``slow_share`` of its time, ``slow_seconds`` at a time, an engine
    is ``slow_factor`` times as slow.
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
    slow_share: float = Field(0, ge=0, lt=1)
    slow_factor: float = 1.0
    slow_seconds: float = 0.6


class ServiceModel(_Section):
    """A plain service with few slots and a short queue."""

    places: int
    queue: int
    mean_ms: float


class RequestKind(_Section):
    """A kind of request; without ``prompt_tokens`` it goes to the plain service.

    ``rank`` is that of its route, 0 the most urgent.
    A ``_spread`` is a standard deviation relative to the mean, a ``_most`` an upper limit.
    """

    name: str
    per_second: float
    target_ms: float
    patience_ms: float
    worth: float
    late_worth: float
    rank: int = 1
    prompt_tokens: float = 0
    prompt_spread: float = 1.0
    prompt_most: float = 0
    events: float = 0
    events_spread: float = 0.9
    events_most: float = 60
    longest_pause_ms: float = 300


class ScheduledChange(_Section):
    """A change of the site at a given time.

    ``engines`` adds ``count`` engines without weights, or stops some if it is negative;
    ``weights`` announces ``count`` as a new version; ``empty`` and ``refill`` take a
    data centre out of service and back. With ``limit`` the first ``count`` engines of a data
    centre name ``calls_per_second`` in their answers, with ``no-limit`` they no longer do.
    With ``rest`` they turn calls away and ask for ``rest_seconds`` of rest, with -1 no longer; with
    ``leave`` they say in their answers that they are leaving.
    With ``silence`` its first ``count`` live engines stand still ``for_seconds`` and then go on,
    with ``reads_first`` after they have read what has arrived.
    ``restart`` starts the first ``count`` entries of a data centre anew, ``cut`` separates
    them from all other entries.
    """

    at_seconds: float
    kind: Literal[
        'engines',
        'weights',
        'empty',
        'refill',
        'limit',
        'no-limit',
        'rest',
        'leave',
        'restart',
        'cut',
        'silence',
    ]
    zone: str = ''
    count: int = 0
    calls_per_second: float = 0
    rest_seconds: float = 0
    for_seconds: float = 0
    reads_first: bool = False


class Deployment(_Section):
    """A site and one day of traffic; ``steps`` are pairs of time and load factor.

    ``entry_ms`` is the processor time that an entry uses for a call in either direction.
    ``returns`` is how often a caller retries.
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
    kinds: list[RequestKind]
    changes: list[ScheduledChange] = []
    steps: list[tuple[float, float]] = [(0, 1)]

    def load_factor_at(self, seconds: float) -> float:
        """Returns the load factor at a given time; 0 before the first step."""
        started = [factor for start, factor in self.steps if start <= seconds]
        return started[-1] if started else 0

    @property
    def caller_one_way_seconds(self) -> float:
        """Returns the time from a caller to an entry's decision, or back."""
        return (self.caller_delay_ms + self.entry_ms) / 1000

    def delay_seconds(self, from_region: str, to_region: str) -> float:
        """Returns the one-way delay between hosts of two regions."""
        delay_ms = self.zone_delay_ms if from_region == to_region else self.region_delay_ms
        return delay_ms / 1000


def read_deployment(path: Path) -> Deployment:
    """Reads a TOML file, or one of the built-in sites if ``path`` has no suffix.

    Raises ``ValueError`` that lists every error of the content.
    """
    file = path if path.suffix else SITES_FOLDER / f'{path}.toml'
    return Deployment.model_validate(tomllib.loads(file.read_text('utf8')))
