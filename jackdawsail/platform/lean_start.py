"""Keeps the start of a program short, since dozens of them start and restart on one machine.

Call ``begin_lean_start`` before any other import of a program. Garbage collections start again
once the program is ready.
"""

import gc
import sys

# Optional parts of Twisted (TLS) and structlog (coloured traces), which the platform's programs do
# not use. Both do without a library that cannot be imported. Together they take a seventh of a start.
UNUSED_LIBRARIES = ('OpenSSL', 'rich')


def begin_lean_start() -> None:
    """Prevents the import of unused libraries, and garbage collections until the end of the start."""
    gc.disable()
    for library in UNUSED_LIBRARIES:
        sys.modules.setdefault(library, None)  # type: ignore[arg-type]
