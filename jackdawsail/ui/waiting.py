"""Polls the control hosts until an operation is complete, with a progress bar."""

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
class WaitProgress:
    """Progress of an operation: ``done`` of ``total``, and the text beside the bar."""

    done: float
    total: float
    text: str
    is_complete: bool


def parse_seconds(text: str) -> float:
    """Parses ``30``, ``30s``, ``5m`` or ``1h`` to seconds; raises UserError."""
    units = {'s': 1, 'm': 60, 'h': 3600}
    number, unit = (text[:-1], text[-1]) if text[-1:] in units else (text, 's')
    try:
        return float(number) * units[unit]
    except ValueError:
        raise UserError(f'{text!r} is not a duration; use for example 30s or 5m') from None


def wait_for(
    title: str,
    read_document: Callable[[], dict[str, Any]],
    measure: Callable[[dict[str, Any]], WaitProgress],
    deadline_seconds: float,
) -> dict[str, Any]:
    """Polls until complete; returns the last document read.

    Raises UserError with the latest progress if the deadline passes.
    """
    deadline_at_seconds = time.monotonic() + deadline_seconds
    # Progress goes to standard error, so that standard output with --json is only the document.
    with _make_progress() as progress:
        task = progress.add_task(title, total=1, note='')
        while True:
            document = read_document()
            current = measure(document)
            progress.update(
                task,
                completed=current.done,
                total=max(current.total, 1),
                note=current.text,
            )
            if current.is_complete:
                return document
            if time.monotonic() >= deadline_at_seconds:
                text = f'{title}: not complete within {deadline_seconds:g} s: {current.text}'
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
