"""Makes docs/events.md from the catalogue, so that page and code cannot differ.

Example::

    python -m jackdawsail.events_page > docs/events.md
"""

import importlib
import pkgutil

import jackdawsail
from jackdawsail.events import CATALOGUE, Event

HEADER = """# Events

Every log line is one numbered event. On a terminal it is printed for people, otherwise as one JSON
object with `number`, `event`, `level`, `timestamp`, `program`, `host` and the event's own fields.
Numbers are never used again. This page is made by `python -m jackdawsail.events_page`.

| number | level | event | defined in |
| --- | --- | --- | --- |
"""


def make_page() -> str:
    """Returns the whole page; imports every module, so that every event is defined."""
    owners = _owners()
    rows = [
        f'| {event.number} | {event.level} | {event.text} | `{owners.get(number, "")}` |'
        for number, event in sorted(CATALOGUE.items())
    ]
    return HEADER + '\n'.join(rows) + '\n'


def _owners() -> dict[int, str]:
    owners: dict[int, str] = {}
    for found in pkgutil.walk_packages(jackdawsail.__path__, 'jackdawsail.'):
        module = importlib.import_module(found.name)
        for event in vars(module).values():
            if isinstance(event, Event):
                owners.setdefault(event.number, found.name.removeprefix('jackdawsail.'))
    return owners


if __name__ == '__main__':
    print(make_page(), end='')  # noqa: T201 - the page is this module's output
