"""Kills a process when its parent ends."""

import ctypes
import signal

PR_SET_PDEATHSIG = 1  # option of prctl(2)
LIBC = ctypes.CDLL(None)


def end_with_parent() -> None:
    """Sets the parent death signal: the kernel kills this process when its parent ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
