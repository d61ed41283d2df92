"""Release commands and the transitions between the statuses of a release.

A back end has at most one active (running or paused) release at a time; releases
started meanwhile are queued in the order of their start commands.
"""

from functools import singledispatch
from typing import Any

from returns.result import Failure, Result, Success

from jackdawsail.state.commands import (
    ReleaseAbort,
    ReleaseCreate,
    ReleaseFinish,
    ReleaseManifest,
    ReleasePause,
    ReleaseResume,
    ReleaseStart,
)
from jackdawsail.state.draft import Draft
from jackdawsail.state.replica import Record
from jackdawsail.state.replies import Rejected

Outcome = Result[dict[str, Any], Rejected]

_ACTIVE_STATUSES = frozenset(('running', 'paused'))
_ENDED_STATUSES = frozenset(('done', 'aborted', 'failed'))
_STARTABLE_STATUSES = _ENDED_STATUSES | {'created'}
ENDED_KEPT_PER_BACKEND = 4


@singledispatch
def run_release(command: Any, draft: Draft) -> Outcome:
    """Runs one release command on a draft; the detail of the reply has the new status."""
    raise AssertionError(f'not a release command: {command!r}')


@run_release.register
def _create(command: ReleaseCreate, draft: Draft) -> Outcome:
    if draft.get(f'release/{command.name}') is not None:
        return reject('exists', f'release {command.name} exists already')
    if draft.get(f'backend/{command.backend}') is None:
        return reject('not-found', f'back end {command.backend} does not exist')
    error = _manifest_error(command.size_bytes, command.chunk_bytes, command.chunk_digests)
    if command.chunk_digests and error:
        return reject('invalid', error)
    record: Record = {
        'backend': command.backend,
        'ordinal': _next_ordinal(draft, command.backend),
        'origin_path': command.origin_path,
        'size_bytes': command.size_bytes,
        'chunk_bytes': command.chunk_bytes,
        'chunk_digests': list(command.chunk_digests),
        'digest': command.digest,
        'status': 'created',
        'reason': '',
        'queue_position': 0,
    }
    draft.put(f'release/{command.name}', record)
    _retire_old_releases(draft, command.backend)
    return Success({'status': 'created', 'ordinal': record['ordinal']})


@run_release.register
def _add_manifest(command: ReleaseManifest, draft: Draft) -> Outcome:
    release = draft.get(f'release/{command.name}')
    if release is None:
        return reject('not-found', f'release {command.name} does not exist')
    if release['chunk_digests']:
        return reject('exists', f'release {command.name} has its manifest')
    error = _manifest_error(release['size_bytes'], command.chunk_bytes, command.chunk_digests)
    if command.digest != release['digest']:
        error = 'the manifest was made from content with another digest'
    if error:
        return reject('invalid', error)
    digests = list(command.chunk_digests)
    draft.update(f'release/{command.name}', chunk_bytes=command.chunk_bytes, chunk_digests=digests)
    return Success({'status': release['status']})


@run_release.register
def _start(command: ReleaseStart, draft: Draft) -> Outcome:
    release = draft.get(f'release/{command.name}')
    if release is None or release['status'] not in _STARTABLE_STATUSES:
        return _reject_transition(command.name, release, 'started')
    backend = release['backend']
    active = [
        other
        for other in draft.of_kind('release').values()
        if other['backend'] == backend and other['status'] in _ACTIVE_STATUSES
    ]
    if not active:
        _make_target(draft, command.name)
        return Success({'status': 'running'})
    position = _next_ordinal(draft, f'queue/{backend}')
    draft.update(f'release/{command.name}', status='queued', reason='', queue_position=position)
    return Success({'status': 'queued'})


@run_release.register
def _pause(command: ReleasePause, draft: Draft) -> Outcome:
    return _change_status(draft, command.name, 'running', 'paused')


@run_release.register
def _resume(command: ReleaseResume, draft: Draft) -> Outcome:
    return _change_status(draft, command.name, 'paused', 'running')


@run_release.register
def _abort(command: ReleaseAbort, draft: Draft) -> Outcome:
    release = draft.get(f'release/{command.name}')
    if release is None:
        return _reject_transition(command.name, release, 'aborted')
    backend = draft.get(f'backend/{release["backend"]}') or {}
    rolls_back = release['status'] == 'done' and backend.get('release') == command.name
    if release['status'] not in {'running', 'paused', 'queued'} and not rolls_back:
        return _reject_transition(command.name, release, 'aborted')
    if rolls_back and not backend.get('previous'):
        return reject('state', f'there is no release before {command.name}')
    _end_and_roll_back(draft, command.name, 'aborted', command.reason)
    return Success({'status': 'aborted'})


@run_release.register
def _finish(command: ReleaseFinish, draft: Draft) -> Outcome:
    release = draft.get(f'release/{command.name}')
    if release is None or release['status'] not in _ACTIVE_STATUSES:
        return _reject_transition(command.name, release, 'finished')
    if command.status == 'failed':
        _end_and_roll_back(draft, command.name, 'failed', command.reason)
        return Success({'status': 'failed'})
    if release['status'] != 'running':
        return _reject_transition(command.name, release, 'finished')
    draft.update(f'release/{command.name}', status='done', reason=command.reason)
    _start_next(draft, release['backend'])
    return Success({'status': 'done'})


def reject(code: str, reason: str) -> Outcome:
    """Returns the outcome of a command that breaks a rule."""
    return Failure(Rejected(code, reason))


def _reject_transition(name: str, release: Record | None, verb: str) -> Outcome:
    if release is None:
        return reject('not-found', f'release {name} does not exist')
    return reject('state', f'release {name} is {release["status"]} and cannot be {verb}')


def _change_status(draft: Draft, name: str, from_status: str, to_status: str) -> Outcome:
    release = draft.get(f'release/{name}')
    if release is None or release['status'] != from_status:
        return _reject_transition(name, release, to_status)
    draft.update(f'release/{name}', status=to_status)
    return Success({'status': to_status})


def _make_target(draft: Draft, name: str) -> None:
    draft.update(f'release/{name}', status='running', reason='', queue_position=0)
    release = draft.get(f'release/{name}') or {}
    key = f'backend/{release["backend"]}'
    current = (draft.get(key) or {}).get('release', '')
    previous = (draft.get(key) or {}).get('previous', '') if current == name else current
    draft.update(key, release=name, previous=previous)


def _end_and_roll_back(draft: Draft, name: str, status: str, reason: str) -> None:
    draft.update(f'release/{name}', status=status, reason=reason, queue_position=0)
    backend_name = (draft.get(f'release/{name}') or {})['backend']
    backend = draft.get(f'backend/{backend_name}') or {}
    if backend.get('release') == name:
        draft.update(f'backend/{backend_name}', release=backend.get('previous', ''), previous='')
        _start_next(draft, backend_name)


def _start_next(draft: Draft, backend: str) -> None:
    queued = [
        (release['queue_position'], name)
        for name, release in draft.of_kind('release').items()
        if release['backend'] == backend and release['status'] == 'queued'
    ]
    if queued:
        _make_target(draft, min(queued)[1])


def _retire_old_releases(draft: Draft, backend_name: str) -> None:
    # Drops the chunk digests, which are the bulk of the state. The release itself stays,
    # so that its name cannot be reused: hosts may still hold chunks under it.
    backend = draft.get(f'backend/{backend_name}') or {}
    current = {backend.get('release'), backend.get('previous')}
    ended = [
        (release['ordinal'], name)
        for name, release in draft.of_kind('release').items()
        if release['backend'] == backend_name and release['status'] in _ENDED_STATUSES
    ]
    for _, old_name in sorted(ended)[:-ENDED_KEPT_PER_BACKEND]:
        if old_name not in current:
            draft.update(f'release/{old_name}', status='retired', chunk_digests=[])


def _next_ordinal(draft: Draft, counter: str) -> int:
    number = draft.ordinals.get(counter, 0) + 1
    draft.ordinals[counter] = number
    return number


def _manifest_error(size_bytes: int, chunk_bytes: int, digests: list[str]) -> str:
    expected = -(-size_bytes // chunk_bytes)
    if expected == len(digests):
        return ''
    return f'{size_bytes} bytes make {expected} chunks of {chunk_bytes}, not {len(digests)}'
