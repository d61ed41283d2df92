"""Derives what a process may hold for its callers from the memory and descriptors that it has."""

from dataclasses import dataclass

MEGABYTE = 1_000_000
# Of a settings file that states no limit.
DEFAULT_MEMORY_MEGABYTES = 256
DEFAULT_MAX_DESCRIPTORS = 1024
# A program without callers takes 47 MB; the rest is for its links and its copy of the site.
OWN_MEGABYTES = 56
# The remainder is for copies of a body while it is passed on, and for free memory in the heap.
HELD_SHARE = 0.5
# Two bodies of the largest size that the default limits on callers allow, so that a process
# with little memory still serves one of them.
MIN_HELD_BYTES = 2 * 4_194_304
# Log, listening ports, links to the control hosts, files of the consensus log.
OWN_DESCRIPTORS = 32
# Every caller may need a channel to an upstream, so half of the descriptors are left for these.
CALLERS_SHARE = 0.5
MIN_CONNECTIONS = 8
# The connection, its parser and its timeouts, without anything received.
CONNECTION_BYTES = 16_384
# Of what may be held, so that connections alone leave room for a body.
CONNECTIONS_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """The bytes that may be held, and the number of connections that may be open."""

    held_bytes: int
    connections: int


def make_limits(memory_megabytes: float, max_descriptors: int) -> BudgetLimits:
    """Returns the limits of a process; zero or a negative number means the default.

    Example::

        make_limits(200, 4100).connections  # 2034
    """
    if memory_megabytes <= 0:
        memory_megabytes = DEFAULT_MEMORY_MEGABYTES
    if max_descriptors <= 0:
        max_descriptors = DEFAULT_MAX_DESCRIPTORS
    share_bytes = int((memory_megabytes - OWN_MEGABYTES) * HELD_SHARE * MEGABYTE)
    held_bytes = max(share_bytes, MIN_HELD_BYTES)
    connections = min(
        int((max_descriptors - OWN_DESCRIPTORS) * CALLERS_SHARE),
        int(held_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES),
    )
    return BudgetLimits(held_bytes, max(connections, MIN_CONNECTIONS))
