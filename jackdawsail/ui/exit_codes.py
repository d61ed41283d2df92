"""Exit codes of the command line; docs/operators/configuration.md lists them."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes that scripts can distinguish; ``late`` means that a deadline has passed."""

    done = 0
    failed = 1
    invalid = 2
    conflict = 3
    unreachable = 4
    forbidden = 5
    not_found = 6
    late = 7
