"""The clock of the programs: monotonic, and counting while the host is suspended.

``CLOCK_MONOTONIC`` stops during a suspension, so a lease measured with it would be
held past its end.
"""

import time
from typing import Any


def boot_seconds() -> float:
    """Returns the seconds since the host booted, including suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_boot_clock(reactor: Any) -> None:
    """Makes a reactor use the boot clock for its time and timers."""
    reactor.seconds = boot_seconds


# Not before the start of the process: the time of the first import of this module.
PROCESS_STARTED_SECONDS = boot_seconds()
