"""Returns freed bodies to the system, so that a process does not keep what it held once."""

import ctypes

# Parameters of mallopt in glibc.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# Twisted reads up to 64 KiB at a time; only what is collected of several reads is larger.
MAPPED_BYTES = 131_072
# Free memory at the end of the heap that is kept.
TRIM_BYTES = 1_048_576


def map_large_blocks() -> None:
    """Makes each block over MAPPED_BYTES a mapping of its own, which ends when it is freed.

    Otherwise glibc raises this size with the first large block that is freed, and keeps later
    ones in its heap, where they leave holes. Other C libraries are left as they are.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)
        mallopt(M_TRIM_THRESHOLD, TRIM_BYTES)
