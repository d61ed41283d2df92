"""The catalogue of numbered log events, and the function that logs them.

Numbers are never reused. 1xx: process and links; 2xx: control and consensus;
3xx: membership and leases; 4xx: requests; 5xx: weights; 6xx: administration.
``docs/events.md`` is generated from the catalogue.
"""

import logging
import sys
import time
from dataclasses import dataclass
from typing import Any

import structlog

from jackdawsail.log_output import LineLimiter

SECRET_WORDS = ('token', 'secret', 'password', 'authorization')


@dataclass(frozen=True, slots=True)
class Event:
    """A kind of log event, with its number, its log level and its text."""

    number: int
    level: str
    text: str


CATALOGUE: dict[int, Event] = {}


def define(number: int, level: str, text: str) -> Event:
    """Adds an event to the catalogue; raises AssertionError if the number is taken."""
    if number in CATALOGUE:
        raise AssertionError(f'event {number} is defined twice')
    event = Event(number, level, text)
    CATALOGUE[number] = event
    return event


PROCESS_READY = define(100, 'info', 'process is ready')
PROCESS_STOPPING = define(101, 'info', 'graceful stop started')
PROCESS_FAILED = define(103, 'error', 'process failed to start')
PROCESS_STOPPED = define(102, 'info', 'process has stopped')
LINK_OPENED = define(110, 'info', 'link opened')
LINK_CLOSED = define(111, 'info', 'link closed')
TASK_FAILED = define(112, 'error', 'task ended with an unexpected error')
DISK_WRITE_REFUSED = define(113, 'warning', 'disk still refuses writes')

_LIMITERS: list[LineLimiter] = []


def configure_logging(program: str, name: str, level: str = 'info', output: Any = None) -> None:
    """Configures structlog: console format on a terminal, else one JSON object per line.

    Lines go to standard error without a rate limit, or to ``output`` with a limit per event.
    """
    terminal = output is None and sys.stderr.isatty()
    if output is not None:
        _LIMITERS.append(LineLimiter())
    renderer: Any = (
        structlog.dev.ConsoleRenderer() if terminal else structlog.processors.JSONRenderer()
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            _redact_secrets,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.WriteLoggerFactory(output or sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(program=program, host=name)


def log(event: Event, **fields: Any) -> None:
    """Logs an event with its fields, unless the rate limit suppresses it.

    The next line of the event then has the count in its field ``suppressed_lines``.
    """
    for limiter in _LIMITERS:
        suppressed = limiter.admit(event.number, time.monotonic())
        if suppressed is None:
            return
        if suppressed:
            fields['suppressed_lines'] = suppressed
    writer = getattr(structlog.get_logger(), event.level)
    writer(event.text, number=event.number, **fields)


def log_failure(failure: Any) -> None:
    """Logs the failure of a Deferred or a looping call; used as its errback."""
    log(TASK_FAILED, error=repr(failure.value), trace=failure.getTraceback()[-2000:])


def _redact_secrets(_logger: Any, _method: str, fields: Any) -> Any:
    for key in fields:
        if any(word in key.lower() for word in SECRET_WORDS):
            fields[key] = '(hidden)'
    return fields
