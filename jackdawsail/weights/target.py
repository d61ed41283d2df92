"""Determines from the replicated state which release a host holds and serves (pure)."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from returns.result import Success

from jackdawsail.weights.manifest import FETCHED_STATUSES, Manifest, manifest_from_record

WITHDRAWN_STATUSES = ('aborted', 'failed')


class Records(Protocol):
    """The part of the state replica that this module reads."""

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Returns one record, or None."""

    def of_kind(self, kind: str) -> dict[str, dict[str, Any]]:
        """Returns all records of a kind by name."""


@dataclass(frozen=True, slots=True)
class Target:
    """The release to hold and serve; fetches and switches start only if ``is_active``."""

    manifest: Manifest
    is_active: bool
    previous: Manifest | None


def choose_target(records: Records, backend: str) -> Target | None:
    """Returns the wanted release of a back end.

    Returns the previous one if the wanted one is withdrawn or has no valid manifest yet.
    """
    backend_record = records.get('backend', backend) or {}
    release = str(backend_record.get('release') or '')
    previous = _manifest(records, str(backend_record.get('previous') or ''))
    manifest = _manifest(records, release)
    status = _status(records, release)
    if manifest is None or status in WITHDRAWN_STATUSES:
        return None if previous is None else Target(previous, is_active=True, previous=None)
    return Target(manifest, status in FETCHED_STATUSES, previous)


def adoptable_releases(records: Records, backend: str) -> frozenset[str]:
    """Returns the releases that an engine may keep serving until it switches."""
    releases = records.of_kind('release')
    return frozenset(name for name, record in releases.items() if record['backend'] == backend)


def running_manifests(records: Records) -> Mapping[str, Manifest]:
    """Returns the releases whose chunks may be transferred now: each back end's target."""
    targets = (choose_target(records, backend) for backend in records.of_kind('backend'))
    active = (target for target in targets if target is not None and target.is_active)
    return {target.manifest.release: target.manifest for target in active}


def manifests_without_digests(records: Records) -> list[Manifest]:
    """Returns the running releases without chunk digests, with empty digests filled in."""
    manifests: list[Manifest] = []
    for backend in records.of_kind('backend').values():
        release = str(backend.get('release') or '')
        record = records.get('release', release)
        if record is None or record['chunk_digests'] or record['status'] != 'running':
            continue
        chunk_count = -(-record['size_bytes'] // record['chunk_bytes'])
        undigested = {**record, 'chunk_digests': ['' for _ in range(chunk_count)]}
        outcome = manifest_from_record(release, undigested)
        if isinstance(outcome, Success):
            manifests.append(outcome.unwrap())
    return manifests


def _manifest(records: Records, release: str) -> Manifest | None:
    record = records.get('release', release) if release else None
    if record is None:
        return None
    outcome = manifest_from_record(release, record)
    return outcome.unwrap() if isinstance(outcome, Success) else None


def _status(records: Records, release: str) -> str:
    record = records.get('release', release) or {}
    return str(record.get('status') or '')
