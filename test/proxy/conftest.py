"""Fixtures for the tests of the proxy."""

import pytest

from jackdawsail import events


class LoggedLines:
    """The log lines that were written, as pairs of the event and its fields."""

    def __init__(self):
        self.lines = []

    def of(self, kind):
        """Returns the fields of each line of one event."""
        return [fields for logged_kind, fields in self.lines if logged_kind is kind]


@pytest.fixture
def logged(monkeypatch):
    logged_lines = LoggedLines()
    monkeypatch.setattr(
        events, 'log', lambda kind, **fields: logged_lines.lines.append((kind, fields))
    )
    return logged_lines
