"""``jackdawsail explain``: prints the log events of one request from several log files."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter
from rich.console import Console

from jackdawsail.errors import UserError

# Fields that format_line prints in front, and fields left out of the details.
NOT_LISTED = ('request', 'event', 'number', 'level', 'timestamp', 'program', 'host')
NOT_FOUND_EXIT_CODE = 1


def explain(
    request_id: Annotated[str, Parameter(help='Id of the request, as sent by the caller.')],
    *logs: Annotated[Path, Parameter(help='Log files of entries, agents and control hosts.')],
) -> None:
    """Prints the decisions about one request with their inputs, ordered by time."""
    lines = sorted(
        find_lines(request_id, _read_lines(logs)), key=lambda line: str(line['timestamp'])
    )
    if not lines:
        raise UserError(f'no log line names request {request_id}', NOT_FOUND_EXIT_CODE)
    console = Console(highlight=False, markup=False, soft_wrap=True)
    for line in lines:
        console.print(format_line(line))


def find_lines(request_id: str, lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the events of a request; text before the JSON of a line is ignored."""
    candidates = (line for line in lines if request_id in line)
    for event in map(_parse_event, candidates):
        if event.get('request') == request_id:
            yield {'timestamp': '', **event}


def format_line(line: dict[str, Any]) -> str:
    """Formats an event: timestamp, host, number and text, then the inputs of the decision.

    Example::

        12:00:01.5 front-1 420 call dispatched to an upstream: upstream=i-7 running=3
    """
    details = ' '.join(f'{key}={line[key]}' for key in line if key not in NOT_LISTED)
    prefix = f'{line["timestamp"]} {line.get("host", "?")} {line.get("number", "?")}'
    return f'{prefix} {line.get("event", "")}: {details}'


def _parse_event(line: str) -> dict[str, Any]:
    start = line.find('{')
    try:
        event = json.loads(line[start:]) if start >= 0 else {}
    except ValueError:
        return {}
    return event if isinstance(event, dict) else {}


def _read_lines(logs: Iterable[Path]) -> Iterator[str]:
    for path in logs:
        try:
            text = path.read_text('utf8', 'replace')
        except OSError as error:
            raise UserError(f'{path}: {error}') from None
        yield from text.splitlines()
