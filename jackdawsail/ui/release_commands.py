"""``jackdawsail release``: create, list, show, start, pause, resume and abort."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cyclopts
from cyclopts import Parameter

from jackdawsail.errors import UserError
from jackdawsail.ui.exit_codes import ExitCode
from jackdawsail.ui.options import Options, make_table
from jackdawsail.ui.waiting import WaitProgress, parse_seconds, wait_for
from jackdawsail.weights.manifest import digest_file

DEFAULT_CHUNK_BYTES = 262_144
COLUMNS = ['name', 'backend', 'ordinal', 'status', 'on_release', 'upstreams', 'reason']
FINAL_STATUSES = frozenset(('done', 'failed', 'aborted'))
DEFAULT_OPTIONS = Options()

app = cyclopts.App(name='release', help='Create model releases and roll them out.')


@Parameter(name='*')
@dataclass(frozen=True, slots=True)
class ReleaseContent:
    """Content of a release: a local file to hash, or a digest with size and origin path."""

    file: Annotated[Path | None, Parameter(help='File to hash, as a whole and by chunks.')] = None
    digest: Annotated[str, Parameter(help='SHA-256 of the whole file, in hex.')] = ''
    size: Annotated[int, Parameter(help='Size in bytes, with --digest.')] = 0
    chunk_bytes: int = DEFAULT_CHUNK_BYTES
    origin_path: Annotated[
        str, Parameter(help='Path at the origin; default with --file: its name.')
    ] = ''


NO_CONTENT = ReleaseContent()


@app.command
def create(
    name: str,
    *,
    backend: str,
    content: ReleaseContent = NO_CONTENT,
    options: Options = DEFAULT_OPTIONS,
) -> None:
    """Creates an immutable release from a file, or from a digest and a size."""
    fields: dict[str, Any] = {'name': name, 'backend': backend}
    fields['chunk_bytes'] = content.chunk_bytes
    fields |= _content_fields(content)
    options.change('release-create', fields, f'release {name} created')


@app.command(name='list')
def list_releases(*, options: Options = DEFAULT_OPTIONS) -> None:
    """Lists the releases."""
    page = options.client().listing('/v1/releases')
    options.show(page, make_table('releases', COLUMNS, page['items']))


@app.command
def show(name: str, *, options: Options = DEFAULT_OPTIONS) -> None:
    """Shows a release and its progress."""
    release = options.client().get(f'/v1/releases/{name}')
    columns = [*COLUMNS, 'size_bytes', 'chunks', 'digest']
    options.show(release, make_table(name, columns, [release]))


@app.command
def start(
    name: str,
    *,
    wait: Annotated[bool, Parameter(help='Wait until every upstream serves it.')] = False,
    deadline: Annotated[
        str, Parameter(help='How long to wait with --wait, for example 10m.')
    ] = '10m',
    options: Options = DEFAULT_OPTIONS,
) -> None:
    """Starts a release, or queues it while another one of its back end is in progress."""
    accepted = options.command('release-start', {'name': name})
    status = accepted['detail']['status']
    if not wait:
        options.show(accepted, f'release {name} is {status} (revision {accepted["revision"]})')
        return
    client = options.client()
    release = wait_for(
        f'release {name}',
        lambda: client.get(f'/v1/releases/{name}'),
        _measure_progress,
        parse_seconds(deadline),
    )
    options.show(release, make_table(name, COLUMNS, [release]))
    if release['status'] != 'done':
        raise UserError(f'release {name} is {release["status"]}', ExitCode.failed)


@app.command
def pause(name: str, *, options: Options = DEFAULT_OPTIONS) -> None:
    """Pauses the fetches and switches of a release; upstreams continue to serve."""
    options.change('release-pause', {'name': name}, f'release {name} paused')


@app.command
def resume(name: str, *, options: Options = DEFAULT_OPTIONS) -> None:
    """Resumes a paused release."""
    options.change('release-resume', {'name': name}, f'release {name} resumed')


@app.command
def abort(name: str, *, reason: str = '', options: Options = DEFAULT_OPTIONS) -> None:
    """Aborts a release, or rolls a finished one back to the previous release."""
    fields = {'name': name, 'reason': reason}
    options.change('release-abort', fields, f'release {name} aborted')


def hash_file(path: Path, chunk_bytes: int) -> dict[str, Any]:
    """Returns size, digest and chunk digests of a file, which is read once."""
    try:
        digests = digest_file(path, chunk_bytes)
    except OSError as error:
        raise UserError(f'{path}: {error.strerror}') from None
    return {
        'size_bytes': digests.size_bytes,
        'digest': digests.digest,
        'chunk_digests': list(digests.chunk_digests),
    }


def _content_fields(content: ReleaseContent) -> dict[str, Any]:
    if content.file:
        origin_path = content.origin_path or content.file.name
        return {**hash_file(content.file, content.chunk_bytes), 'origin_path': origin_path}
    if content.digest and content.size and content.origin_path:
        return {
            'digest': content.digest,
            'size_bytes': content.size,
            'origin_path': content.origin_path,
        }
    text = 'give --file PATH, or --digest HEX, --size N and --origin-path P'
    raise UserError(text, ExitCode.invalid)


def _measure_progress(release: dict[str, Any]) -> WaitProgress:
    text = f'{release["status"]}, {release["on_release"]} of {release["upstreams"]} upstreams'
    failures = [f'{host}: {reason}' for host, reason in release['failed'].items()]
    return WaitProgress(
        release['on_release'],
        release['upstreams'],
        '; '.join([text, *failures[:3]]),
        release['status'] in FINAL_STATUSES,
    )
