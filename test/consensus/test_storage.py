"""Storage keeps all confirmed data across any crash and reports damage."""

import random
import shutil
from pathlib import Path

import pytest
from returns.result import Failure, Success

from jackdawsail.consensus.configuration import Configuration
from jackdawsail.consensus.effects import SaveEntries, SaveSnapshot, SaveVote
from jackdawsail.consensus.files import FolderFiles
from jackdawsail.consensus.log import Entry, EntryKind, Snapshot
from jackdawsail.consensus.recovery import open_storage
from jackdawsail.consensus.storage import SNAPSHOT_FILE, VOTE_FILE, segment_name
from test.consensus.disks import Crash, Disk

CONFIGURATION = Configuration(('a@1',), (), 1)


def entries(first, last, term):
    return tuple(
        Entry(index, term, EntryKind.command, b'body %d' % index)
        for index in range(first, last + 1)
    )


def snapshot(index, term):
    return Snapshot(index, term, CONFIGURATION, b'state %d' % index)


# Each step is one batch. STATES[n] is the expected state after n steps:
# (term, snapshot index, entry terms).
STEPS = (
    lambda storage: storage.save([SaveVote(1, 'a@1'), SaveEntries(entries(1, 4, 1))]),
    lambda storage: storage.save([SaveEntries(entries(5, 6, 1))]),
    lambda storage: storage.save([SaveVote(2, ''), SaveEntries(entries(4, 8, 2))]),
    lambda storage: storage.save_snapshot(snapshot(6, 2), 0),
    lambda storage: storage.save([SaveEntries(entries(9, 9, 2))]),
    lambda storage: storage.save([SaveSnapshot(snapshot(20, 3), restart_log=True)]),
    lambda storage: storage.save([SaveVote(3, 'b@1'), SaveEntries(entries(21, 23, 3))]),
)
STATES = (
    (0, 0, []),
    (1, 0, [1, 1, 1, 1]),
    (1, 0, [1, 1, 1, 1, 1, 1]),
    (2, 0, [1, 1, 1, 2, 2, 2, 2, 2]),
    (2, 6, [2, 2]),
    (2, 6, [2, 2, 2]),
    (2, 20, []),
    (3, 20, [3, 3, 3]),
)


def open_disk(disk):
    return open_storage(disk, 'disk-1').unwrap()


def state_of(opened):
    durable = opened.durable
    index = durable.snapshot.index if durable.snapshot else 0
    return durable.term, index, [entry.term for entry in durable.entries]


def run_until_crash(disk):
    """Runs the steps until a crash; returns how many were confirmed before it."""
    confirmed = 0
    try:
        storage = open_disk(disk).storage
        for step in STEPS:
            assert isinstance(step(storage), Success)
            confirmed += 1
    except Crash:
        return confirmed
    return confirmed


def count_operations():
    disk = Disk()
    assert run_until_crash(disk) == len(STEPS)
    return disk.operations


def is_between(recovered, before, after):
    """Returns whether a state lies between two others, as a batch may survive in part."""
    if recovered in (before, after):
        return True
    same_snapshot = recovered[1] in (before[1], after[1])
    return before[0] <= recovered[0] <= after[0] and same_snapshot


@pytest.mark.parametrize('power', [True, False])
def test_crash_at_every_operation(power):
    for operation in range(count_operations()):
        for seed in range(12):
            disk = Disk()
            disk.fail_at(operation, Crash())
            confirmed = run_until_crash(disk)
            if power:
                disk.lose_power(random.Random(seed))
            else:
                disk.kill_process()
            reopened = open_disk(disk)
            recovered = state_of(reopened)
            after = STATES[min(confirmed + 1, len(STEPS))]
            assert is_between(recovered, STATES[confirmed], after), (operation, seed)
            min_entries = min(len(STATES[confirmed][2]), len(after[2]))
            if recovered[1] == STATES[confirmed][1] == after[1]:
                assert len(recovered[2]) >= min_entries or after[0] > STATES[confirmed][0]
            disk.lose_power(random.Random(seed))
            assert state_of(open_disk(disk)) == recovered, 'the recovered state is not durable'


def write_folder(tmp_path):
    files = FolderFiles(tmp_path)
    storage = open_storage(files, 'disk-1').unwrap().storage
    for first in (1, 4, 7):
        storage.save([SaveVote(first, 'a@1'), SaveEntries(entries(first, first + 2, first))])
    storage.close()
    return files


def test_torn_tail_is_truncated(tmp_path):
    files = write_folder(tmp_path)
    path = tmp_path / segment_name(1)
    path.write_bytes(path.read_bytes()[:-5])
    opened = open_storage(files, 'disk-2').unwrap()
    assert [entry.index for entry in opened.durable.entries] == list(range(1, 9))
    assert opened.truncated_bytes > 0
    assert opened.disk_id == 'disk-1'
    outcome = opened.storage.save([SaveEntries(entries(9, 9, 9))])
    assert isinstance(outcome, Success)
    assert open_storage(files, 'x').unwrap().durable.entries[-1].term == 9


@pytest.mark.parametrize('offset', range(23, 280, 16))
def test_damage_before_the_last_batch_is_refused(tmp_path, offset):
    files = write_folder(tmp_path)
    path = tmp_path / segment_name(1)
    body = bytearray(path.read_bytes())
    body[offset] ^= 0x40
    path.write_bytes(body)
    outcome = open_storage(files, 'disk-2')
    assert isinstance(outcome, Failure)
    assert outcome.failure().startswith('log-000000000001 at offset ')
    assert path.read_bytes() == bytes(body)


@pytest.mark.parametrize('name', [VOTE_FILE, SNAPSHOT_FILE, 'disk-id'])
def test_damaged_small_file_is_refused(tmp_path, name):
    files = write_folder(tmp_path)
    open_storage(files, 'x').unwrap().storage.save_snapshot(snapshot(5, 4), 0)
    path = tmp_path / name
    path.write_bytes(path.read_bytes()[:-1] + b'?')
    outcome = open_storage(files, 'x')
    assert isinstance(outcome, Failure)
    assert name in outcome.failure()


@pytest.mark.parametrize('name', [VOTE_FILE, 'disk-id'])
def test_missing_small_file_is_refused(tmp_path, name):
    files = write_folder(tmp_path)
    (tmp_path / name).unlink()
    assert isinstance(open_storage(files, 'x'), Failure)


def test_folder_of_format_1_still_opens(tmp_path):
    shutil.copytree(Path(__file__).parent / 'golden', tmp_path, dirs_exist_ok=True)
    opened = open_storage(FolderFiles(tmp_path), 'x').unwrap()
    assert opened.disk_id == 'disk-1'
    assert state_of(opened) == (2, 4, [2, 2])
    assert opened.durable.snapshot == snapshot(4, 2)


def test_failed_write_is_never_followed_by_another(tmp_path):
    disk = Disk()
    storage = open_disk(disk).storage
    disk.fail_at(0, OSError(28, 'No space left on device'))
    assert isinstance(storage.save([SaveEntries(entries(1, 1, 1))]), Failure)
    disk.kill_process()
    assert isinstance(storage.save([SaveEntries(entries(1, 1, 1))]), Failure)
    assert state_of(open_disk(disk))[2] == []
