"""Ties the life of a process to that of its parent."""

import ctypes
import signal

PARENT_DEATH_SIGNAL = 1  # PR_SET_PDEATHSIG of prctl(2)
LIBC = ctypes.CDLL(None)


def end_with_parent() -> None:
    """Asks the kernel to kill this process when its parent ends."""
    LIBC.prctl(PARENT_DEATH_SIGNAL, signal.SIGKILL)
