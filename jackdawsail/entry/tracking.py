"""Finds the weight tracker part, which an entry runs while it is its zone's tracker."""

from importlib import import_module
from typing import Any

from jackdawsail.membership.zone_table import ZoneTable
from jackdawsail.process import ProcessContext
from jackdawsail.state.replica import StateReplica
from jackdawsail.switchboard import Switchboard


class NoTracker:
    """Stands in where the tracker part is not installed."""

    def start(self) -> None:
        """Has nothing to start."""

    def stop(self) -> None:
        """Has nothing to stop."""

    def set_tracker(self, is_tracker: bool) -> None:
        """Has nothing to track."""


def make_tracker(
    context: ProcessContext, switchboard: Switchboard, replica: StateReplica, table: ZoneTable
) -> Any:
    """Makes the tracker part of the entry."""
    try:
        tracker_part: Any = import_module('jackdawsail.entry.tracker_part')
    except ImportError:
        return NoTracker()
    return tracker_part.make_tracker_part(context, switchboard, replica, table)
