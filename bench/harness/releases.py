"""Creates releases on a fleet and counts the engines that serve them."""

import hashlib
from dataclasses import dataclass
from typing import Any

from bench.harness.fleet import Fleet, PublishedModel
from bench.harness.layout import ProcessKind
from bench.harness.plan import MEBIBYTE
from bench.harness.waiting import wait_until


class CommandRefusedError(Exception):
    """An administration command was not accepted; the message holds the response."""


@dataclass(frozen=True)
class ReleaseFiles:
    """A release and its model file at the origin."""

    name: str
    published: PublishedModel


def require_accepted(reply: Any) -> Any:
    """Returns the content of the reply to an accepted command.

    Raises ``CommandRefusedError`` for any other status than 200, 201 and 202.
    """
    if reply.status not in {200, 201, 202}:
        raise CommandRefusedError(f'{reply.status}: {reply.body.decode(errors="replace")}')
    return reply.content


def apply_base_settings(fleet: Fleet) -> None:
    """Applies the fleet's base settings by the command line tool; waits until they are in force."""
    applied = fleet.run_cli('apply', str(fleet.files.base_path), '--yes', '--wait')
    if applied.returncode:
        raise CommandRefusedError(applied.stderr)


def create_release(
    fleet: Fleet, name: str, size_bytes: int = MEBIBYTE, seed: int = 0
) -> ReleaseFiles:
    """Publishes a model file at the origin and creates a release of it."""
    published = fleet.publish(name, size_bytes, seed)
    chunk_bytes = fleet.deployment.chunk_bytes
    content = published.file.read_bytes()
    offsets = range(0, size_bytes, chunk_bytes)
    chunks = [content[offset : offset + chunk_bytes] for offset in offsets]
    digests = [hashlib.sha256(chunk).hexdigest() for chunk in chunks]
    created = fleet.command(
        'release-create',
        name=name,
        backend=fleet.deployment.engine_backend,
        origin_path=published.path,
        size_bytes=size_bytes,
        chunk_bytes=chunk_bytes,
        digest=published.digest,
        chunk_digests=digests,
    )
    require_accepted(created)
    return ReleaseFiles(name, published)


def start_release(fleet: Fleet, name: str) -> None:
    """Starts the rollout of a release."""
    require_accepted(fleet.command('release-start', name=name))


def engines_serving(fleet: Fleet, release: str) -> list[str]:
    """Returns the engines that have the release loaded."""
    return [name for name in fleet.names(ProcessKind.engine) if _serves(fleet, name, release)]


def wait_engines_serving(
    fleet: Fleet, release: str, count: int = 0, timeout_seconds: float = 30
) -> None:
    """Waits until ``count`` engines have the release loaded; 0 means all engines."""
    wanted = count or len(fleet.names(ProcessKind.engine))
    wait_until(
        lambda: len(engines_serving(fleet, release)) >= wanted,
        timeout_seconds,
        f'{wanted} engines with release {release}',
    )


def roll_out(fleet: Fleet, name: str, size_bytes: int = MEBIBYTE, seed: int = 0) -> ReleaseFiles:
    """Creates a release, starts it and waits until every engine has it loaded."""
    files = create_release(fleet, name, size_bytes, seed)
    start_release(fleet, name)
    wait_engines_serving(fleet, name)
    return files


def _serves(fleet: Fleet, engine: str, release: str) -> bool:
    if not fleet.children[engine].is_running():
        return False
    state = fleet.get_from_fake(engine, '/admin/state')
    return bool(state.get('loaded')) and state.get('release') == release
