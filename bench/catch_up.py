"""Cost of bringing back a control host with an empty disk, by changes and size of the document.

Simulated control hosts on links of 10.5 Mbit/s. Each line: the size of the document and of the
state, bytes to a follower for one change, bytes and seconds until the host votes after its
start, bytes in the log and on the disk of a host. Each change alters one route.
"""

import json
import tempfile
from pathlib import Path
from typing import Any

from bench.emulator.control_hosts import NAMES, STEP_SECONDS, NarrowGroup, documents_of
from jackdawsail.consensus.files import FolderFiles
from jackdawsail.events import configure_logging

CHANGES = (10, 100, 1000)
ROUTES = (110, 1500, 10_000)
GIVE_UP_SECONDS = 120.0


def run(changes: str = '', routes: str = '') -> int:
    """Prints a line of JSON for each number of changes and of routes; both as ``10,100``."""
    configure_logging('bench', 'catch_up', 'error')
    for route_count in _numbers(routes) or ROUTES:
        for change_count in _numbers(changes) or CHANGES:
            print(json.dumps(_measure(change_count, route_count)), flush=True)  # noqa: T201
    return 0


def _numbers(listed: str) -> tuple[int, ...]:
    return tuple(int(each) for each in listed.split(',') if each)


def _measure(change_count: int, route_count: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        numbers = iter(range(1_000_000))
        group = NarrowGroup(lambda: FolderFiles(Path(folder) / str(next(numbers))))
        make_document = documents_of(route_count)
        name = next(each for each in NAMES if each != group.leader())
        sent_before = group.bytes_sent_to(name)
        for version in range(1, change_count + 1):
            body = make_document(version)
            group.put_document(version, body)
        change_bytes = (group.bytes_sent_to(name) - sent_before) // change_count
        core = group.core(group.leader())
        log_bytes = core.log.bytes_between(core.log.base_index, core.log.last_index)
        disk_bytes = group.disk_bytes(group.leader())
        group.lose_disk(name)
        started_seconds, sent_before = group.clock.seconds(), group.bytes_sent_to(name)
        while not group.has_one_vote_each():
            group.run(STEP_SECONDS)
            if group.clock.seconds() - started_seconds > GIVE_UP_SECONDS:
                break
        return {
            'routes': route_count,
            'changes': change_count,
            'document_bytes': len(body),
            'state_bytes': len(group.machines[group.leader()].snapshot()),
            'bytes_a_change': change_bytes,
            'catch_up_bytes': group.bytes_sent_to(name) - sent_before,
            'catch_up_seconds': round(group.clock.seconds() - started_seconds, 2),
            'log_bytes': log_bytes,
            'disk_bytes': disk_bytes,
        }
