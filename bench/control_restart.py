"""Measures how long a control host takes to serve again after many logged changes."""

import time
from typing import Any

from bench.harness.fleet import Fleet, running_fleet
from bench.harness.plan import Deployment
from bench.harness.waiting import wait_until
from jackdawsail.consensus.configuration import Configuration, node_id
from jackdawsail.consensus.effects import SaveEntries, SaveVote
from jackdawsail.consensus.files import FolderFiles
from jackdawsail.consensus.log import Entry, EntryKind, Snapshot
from jackdawsail.consensus.node import bootstrap_state
from jackdawsail.consensus.recovery import open_storage
from jackdawsail.control.replicator import RAFT_FOLDER
from jackdawsail.state.commands import CommandEnvelope, CustomerPut
from jackdawsail.state.machine import ControlState
from jackdawsail.wire.codec import encode

HOST = 'control-1'
DISK_ID = 'bench'
BATCH_ENTRIES = 500
CUSTOMERS = 200
SERVE_TIMEOUT_SECONDS = 60.0


def measure_restart(changes: int, snapshot_every: int) -> dict[str, Any]:
    """Writes a log of ``changes`` to the data folder of one host and times its start.

    ``snapshot_every`` is the number of changes between snapshots, 0 for a log without
    any. The time ends when the administration API answers.
    """
    deployment = Deployment(
        voters=1,
        entries_per_zone=0,
        engines_per_zone=0,
        services=0,
        overrides={'control': {'snapshot_every_entries': max(snapshot_every, 10)}},
    )
    with running_fleet(deployment, start=False) as fleet:
        process = fleet.layout.processes[HOST]
        folder = fleet.files.data_folder(process) / RAFT_FOLDER
        written_bytes = _write_log(FolderFiles(folder), changes, snapshot_every)
        child = fleet.make_child(process)
        started = time.monotonic()
        child.start()
        child.wait_ready()
        status = wait_until(
            lambda: _read_status(fleet), SERVE_TIMEOUT_SECONDS, 'status of the leader', 0.02
        )
        return {
            'seconds': round(time.monotonic() - started, 3),
            'ready_seconds': round(child.ready_seconds, 3),
            'revision': status['revision'],
            'log_bytes': written_bytes,
            'resident_mb': round(child.usage().resident_bytes / 1e6, 1),
        }


def _read_status(fleet: Fleet) -> Any:
    reply = fleet.admin('GET', '/v1/status')
    return reply.content if reply.status == 200 else None


def _write_log(files: FolderFiles, changes: int, snapshot_every: int) -> int:
    storage = open_storage(files, DISK_ID).unwrap().storage
    own_id = node_id(HOST, DISK_ID)
    bootstrap = bootstrap_state((own_id,))
    storage.save([SaveVote(1, ''), SaveEntries(tuple(bootstrap.entries))]).unwrap()
    state = ControlState()
    for first in range(0, changes, BATCH_ENTRIES):
        entries = tuple(
            Entry(number + 2, 1, EntryKind.command, _encode_command(number))
            for number in range(first, min(first + BATCH_ENTRIES, changes))
        )
        storage.save([SaveEntries(entries)]).unwrap()
        for entry in entries:
            state.apply(entry.index, entry.body)
        if snapshot_every and (first + BATCH_ENTRIES) % snapshot_every == 0:
            configuration = Configuration((own_id,), (), 1)
            snapshot = Snapshot(entries[-1].index, 1, configuration, state.snapshot())
            storage.save_snapshot(snapshot, snapshot_every // 10).unwrap()
    storage.close()
    return sum(len(files.read(name)) for name in files.names())


def _encode_command(number: int) -> bytes:
    body = CustomerPut(f'customer-{number % CUSTOMERS}', 1 + number / 1000)
    return encode(CommandEnvelope(f'request-{number}', 'operator', 0, None, encode(body)))
