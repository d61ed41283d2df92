"""Figures of the blocking of parts and requests that crash engines, and of parts by sketches.

The figures of each scenario are over all seeds: ends before the block (mean and most), sends
after it, sound calls refused or not repeated, and sound parts blocked.
"""

import random
import statistics
import time
from collections.abc import Callable
from functools import partial
from multiprocessing import Pool
from typing import Any

from bench.blame_sketch import SketchBlame
from bench.emulator.blame_play import SCENARIOS, Scenario, play
from bench.emulator.request_play import REQUEST_SCENARIOS, RequestScenario, play_requests
from jackdawsail.routing.trait_blame import TraitBlame
from jackdawsail.wire.codec import encode
from jackdawsail.wire.trait_messages import SuspectCall

PROCESSES = 4
WAYS: dict[str, Callable[[], Any]] = {'table': TraitBlame, 'sketch': SketchBlame}
SIZE_ENTRIES = 9
SIZE_ENDS = 100
SIZE_CALLS = 16


def run(seeds: int = 20, way: str = 'table') -> int:
    """Prints the figures of every scenario for one way, and the cost of both ways."""
    with Pool(PROCESSES) as pool:
        for line in pool.imap(partial(_figures, seeds=seeds, way=way), SCENARIOS):
            print(line)  # noqa: T201
        for line in pool.imap(partial(_request_figures, seeds=seeds), REQUEST_SCENARIOS):
            print(line)  # noqa: T201
    for name in WAYS:
        for parts in (100, 10_000, 1_000_000):
            print(_cost(name, parts))  # noqa: T201
    return 0


def _figures(scenario: Scenario, *, seeds: int, way: str) -> str:
    plays = [play(scenario, seed, WAYS[way]) for seed in range(seeds)]
    before = [each.ends_before for each in plays]
    unblocked = sum(each.blocked_seconds is None for each in plays)
    return (
        f'{scenario.name:32} ends before {statistics.mean(before):.2f}, most {max(before)}; '
        f'after {max(each.ends_after for each in plays)}; '
        f'sends after {max(each.sends_after for each in plays)}; '
        f'not blocked {unblocked if scenario.bad_per_second else 0}; '
        f'sound {sum(each.sound_calls for each in plays)}, '
        f'refused {sum(each.sound_refused for each in plays)}, '
        f'not repeated {sum(each.withheld for each in plays)}; '
        f'sound parts blocked {sum(len(each.sound_blocked) for each in plays)}'
    )


def _request_figures(scenario: RequestScenario, *, seeds: int) -> str:
    plays = [play_requests(scenario, seed) for seed in range(seeds)]
    ends = [count for each in plays for count in each.ends.values()] or [0]
    sends_after = [count for each in plays for count in each.sends_after.values()]
    return (
        f'{scenario.name:32} ends under each {statistics.mean(ends):.2f}, most {max(ends)}; '
        f'of all at most {max(sum(each.ends.values()) for each in plays)}; '
        f'sends 3 s after the third {max(sends_after, default=0)}; '
        f'sound {sum(each.sound_calls for each in plays)}, '
        f'refused {sum(each.sound_refused for each in plays)}, '
        f'not repeated {sum(each.withheld for each in plays)}; '
        f'sound requests blocked {sum(len(each.blocked) for each in plays)}'
    )


def _cost(way: str, parts: int) -> str:
    """Measures the reports of SIZE_ENDS ends by all entries, with one of ``parts`` parts each."""
    rng = random.Random(1)
    blame = WAYS[way]()
    ends = [
        [
            SuspectCall(f'o{end}/{call}', [f'{rng.randrange(parts):08x}' for _ in range(3)], True)
            for call in range(SIZE_CALLS)
        ]
        for end in range(SIZE_ENDS)
    ]
    started = time.process_time()
    for number, calls in enumerate(ends):
        for entry in range(SIZE_ENTRIES):
            blame.record_end(f'i-{number}', number, calls[entry::SIZE_ENTRIES], number)
    report_microseconds = (time.process_time() - started) * 1e6 / SIZE_ENDS / SIZE_ENTRIES
    started = time.process_time()
    blame.find_bad(SIZE_ENDS)
    check_milliseconds = (time.process_time() - started) * 1000
    is_table = isinstance(blame, TraitBlame)
    size = len(encode(blame.snapshot(SIZE_ENDS))) if is_table else blame.snapshot_bytes()
    return (
        f'{way:7} {parts:8} parts: {report_microseconds:.0f} µs a report, '
        f'{check_milliseconds:.1f} ms a check, {size} bytes for an entry that starts'
    )
