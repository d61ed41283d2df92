"""Waits for something to be in force everywhere, with a progress bar for people."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from jackdawsail.errors import UserError
from jackdawsail.ui.exit_codes import ExitCode

POLL_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class Progressed:
    """How far it is: ``done`` of ``total``, and what is said beside the bar."""

    done: float
    total: float
    text: str
    is_complete: bool


def parse_seconds(text: str) -> float:
    """Reads ``30``, ``30s``, ``5m`` or ``1h`` as seconds."""
    units = {'s': 1, 'm': 60, 'h': 3600}
    number, unit = (text[:-1], text[-1]) if text[-1:] in units else (text, 's')
    try:
        return float(number) * units[unit]
    except ValueError:
        raise UserError(f'{text!r} is no time; use for instance 30s or 5m') from None


def wait_for(
    title: str,
    read: Callable[[], dict[str, Any]],
    measure: Callable[[dict[str, Any]], Progressed],
    deadline_seconds: float,
) -> dict[str, Any]:
    """Polls until complete; past the deadline it ends with what is still lacking."""
    late_at_seconds = time.monotonic() + deadline_seconds
    # Progress goes to standard error, so that --json output stays clean.
    with _make_progress() as progress:
        task = progress.add_task(title, total=1, note='')
        while True:
            document = read()
            found = measure(document)
            progress.update(task, completed=found.done, total=max(found.total, 1), note=found.text)
            if found.is_complete:
                return document
            if time.monotonic() >= late_at_seconds:
                text = f'{title}: not complete within {deadline_seconds:g} s: {found.text}'
                raise UserError(text, ExitCode.late)
            time.sleep(POLL_SECONDS)


def _make_progress() -> Progress:
    return Progress(
        TextColumn('{task.description}'),
        BarColumn(),
        TextColumn('{task.fields[note]}'),
        TimeElapsedColumn(),
        console=Console(stderr=True),
    )
