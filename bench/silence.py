"""Calls that begin on old weights because an engine fell silent and went on, in the emulator.

In the four seconds before the time limit for new weights, some engines of each data centre stand
still for 0.5 to 2 s. Then they start what they held before they read what has arrived (``queue``),
or read it first, each call before the cancellation behind it (``inbox``).

Example::

    python -m bench silence rising-load --seeds 40 --json
"""

import json as json_format
import math
import random
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import fmean

from bench.emulator.callers import CallerRequest
from bench.emulator.day_simulation import DaySimulation
from bench.emulator.deployment import Deployment, ScheduledChange, Zone, read_deployment
from bench.emulator.engine import EngineStream
from bench.emulator.entry import MODEL
from bench.emulator.policies import POLICIES
from jackdawsail.events import configure_logging

WAKING_ORDERS = ('queue', 'inbox')
SILENCE_BEFORE_LIMIT_SECONDS = 4.0
SHORTEST_SILENCE_SECONDS = 0.5
LONGEST_SILENCE_SECONDS = 2.0
MAX_SILENT_ENGINES = 4  # of a data centre
JUDGED_AFTER_LIMIT_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class LateCall:
    """A call that an engine began on a version later than the limit of a newer one.

    ``work_late_seconds`` is when it got its slot, ``token_late_seconds`` when it got its first
    token, each after the limit; None if that was in time, or never. ``continues`` is true for the
    rest of a stream that began elsewhere.
    """

    engine: str
    version: int
    work_late_seconds: float | None
    token_late_seconds: float | None
    continues: bool


@dataclass(frozen=True, slots=True)
class SilenceFigures:
    """Sums over the plays with one order on waking.

    ``worked_late`` counts the calls that got a slot after the limit, ``begun_late`` those that got
    their first token after it, ``continued_late`` the rests of streams among both.
    """

    site: str
    waking_order: str
    plays: int
    plays_with_late_calls: int
    begun_late: int
    worked_late: int
    continued_late: int
    worst_token_late_seconds: float
    worst_work_late_seconds: float
    refused: int
    answered_share: float


def run(site: Path, *, seeds: int = 8, json: bool = False) -> int:
    """Prints how many calls began late in plays of ``site`` with seeds from 1 on.

    ``site`` is a TOML file with an announcement of weights, or the name of one of the emulator's
    own. The exit status is 1 if a call began late.
    """
    configure_logging('bench', 'silence', 'error')
    figures = [silence_figures(site, order, range(1, seeds + 1)) for order in WAKING_ORDERS]
    if json:
        print(json_format.dumps([asdict(each) for each in figures], indent=2))  # noqa: T201
    else:
        print('\n'.join(_format(each) for each in figures))  # noqa: T201
    return int(any(order.plays_with_late_calls for order in figures))


def silence_figures(site: Path, waking_order: str, seeds: Sequence[int]) -> SilenceFigures:
    """Plays a site with each seed; returns the sums."""
    late_calls: list[LateCall] = []
    requests: list[CallerRequest] = []
    plays_with_late_calls = 0
    refused = 0
    for seed in seeds:
        day = play(site, waking_order, seed)
        late_in_play = list(find_late_calls(day))
        late_calls += late_in_play
        plays_with_late_calls += bool(late_in_play)
        refused += sum(entry.refused for entry in day.entries)
        requests += day.requests
    token_late = [call.token_late_seconds for call in late_calls if call.token_late_seconds]
    work_late = [call.work_late_seconds for call in late_calls if call.work_late_seconds]
    return SilenceFigures(
        site=str(site),
        waking_order=waking_order,
        plays=len(seeds),
        plays_with_late_calls=plays_with_late_calls,
        begun_late=len(token_late),
        worked_late=len(work_late),
        continued_late=sum(call.continues for call in late_calls),
        worst_token_late_seconds=round(max(token_late, default=0), 3),
        worst_work_late_seconds=round(max(work_late, default=0), 3),
        refused=refused,
        answered_share=round(fmean(request.answered for request in requests), 4),
    )


def play(site: Path, waking_order: str, seed: int) -> DaySimulation:
    """Simulates a day of a site on which engines fall silent."""
    deployment = read_deployment(site)
    day = DaySimulation(silent_day(deployment, waking_order, seed), POLICIES['product'], seed)
    day.run()
    return day


def silent_day(deployment: Deployment, waking_order: str, seed: int) -> Deployment:
    """Returns a day on which engines of every data centre fall silent before the first limit.

    It ends some seconds after that limit.
    """
    announced_seconds = next(
        change.at_seconds for change in deployment.changes if change.kind == 'weights'
    )
    limit_seconds = announced_seconds + deployment.weights_seconds
    rng = random.Random(f'silence/{seed}')
    silences = [_make_silence(zone, limit_seconds, waking_order, rng) for zone in deployment.zones]
    return deployment.model_copy(
        update={
            'changes': [*deployment.changes, *silences],
            'length_seconds': limit_seconds + JUDGED_AFTER_LIMIT_SECONDS,
        }
    )


def find_late_calls(day: DaySimulation) -> Iterator[LateCall]:
    """Yields the calls that began on weights later than the limit of newer ones."""
    targets = day.views[0].weights.get(MODEL, ())
    for engine in day.engines:
        for stream in engine.started:
            newer = [each.announced_seconds for each in targets if each.version > stream.version]
            limit_seconds = min(newer, default=math.inf) + day.deployment.weights_seconds
            late_call = _judge(engine.name, stream, limit_seconds)
            if late_call is not None:
                yield late_call


def _judge(engine: str, stream: EngineStream, limit_seconds: float) -> LateCall | None:
    work_late_seconds = _lateness(stream.started_seconds, limit_seconds)
    token_late_seconds = _lateness(stream.first_token_seconds, limit_seconds)
    if work_late_seconds is None and token_late_seconds is None:
        return None
    return LateCall(
        engine, stream.version, work_late_seconds, token_late_seconds, stream.continues
    )


def _lateness(began_seconds: float, limit_seconds: float) -> float | None:
    is_late = limit_seconds < began_seconds < math.inf
    return began_seconds - limit_seconds if is_late else None


def _make_silence(
    zone: Zone, limit_seconds: float, waking_order: str, rng: random.Random
) -> ScheduledChange:
    return ScheduledChange(
        at_seconds=limit_seconds - rng.uniform(0, SILENCE_BEFORE_LIMIT_SECONDS),
        kind='silence',
        zone=zone.name,
        count=rng.randint(1, MAX_SILENT_ENGINES),
        for_seconds=rng.uniform(SHORTEST_SILENCE_SECONDS, LONGEST_SILENCE_SECONDS),
        reads_first=waking_order == 'inbox',
    )


def _format(figures: SilenceFigures) -> str:
    return (
        f'{figures.site}, {figures.waking_order} first: '
        f'{figures.plays_with_late_calls} of {figures.plays} plays with late calls, '
        f'first token late {figures.begun_late} (worst {figures.worst_token_late_seconds:.3f} s), '
        f'slot late {figures.worked_late} (worst {figures.worst_work_late_seconds:.3f} s), '
        f'rests of streams among them {figures.continued_late}; '
        f'refused {figures.refused}, answered {figures.answered_share:.4f}'
    )
