"""Messages of weight distribution, between agents and trackers and between trackers.

In a chunk bitmap, chunk ``i`` is bit ``i % 8`` (least significant first) of byte
``i // 8``.
"""

from dataclasses import dataclass
from enum import StrEnum

from jackdawsail.wire.codec import message


class SourceKind(StrEnum):
    """The kind of source that a chunk is fetched from."""

    origin = 'origin'
    peer = 'peer'


class FetchOutcome(StrEnum):
    """How the fetch of a chunk ended; ``unkept``: verified, but not stored on this host."""

    done = 'done'
    corrupt = 'corrupt'
    failed = 'failed'
    changed = 'changed'
    busy = 'busy'
    unkept = 'unkept'


@message('chunk-report')
class ChunkReport:
    """Agent to tracker: the chunks of a release that the agent holds and is fetching.

    ``stage`` is ``fetching``, ``verified``, ``switching``, ``serving`` or ``failed``.
    ``origin_bytes`` counts the bytes of the release that the agent has fetched from
    the origin.
    """

    release: str
    bitmap: bytes
    in_flight: list[int]
    stage: str
    problem: str = ''
    chunk_address: str = ''
    origin_bytes: int = 0


@dataclass(frozen=True, slots=True)
class FetchItem:
    """One chunk to fetch; ``address`` is a peer's chunk address, or empty for the origin.

    ``bits_per_second`` limits the rate of the transfer; zero means no limit.
    """

    chunk: int
    source: SourceKind
    address: str
    bits_per_second: float = 0


@message('fetch-order')
class FetchOrder:
    """Tracker to agent: orders the agent to fetch these chunks now."""

    release: str
    fetches: list[FetchItem]


@message('fetch-result')
class FetchResult:
    """Agent to tracker: the result of one fetch; ``address`` as in the order.

    ``drawn_bytes`` counts every byte received, also of a failed fetch.
    """

    release: str
    chunk: int
    source: SourceKind
    address: str
    outcome: FetchOutcome
    reason: str = ''
    drawn_bytes: int = 0
    retry_after_seconds: float = 0


@message('delay-probe')
class DelayProbe:
    """Tracker to an entry of another region, which echoes it: measures the queueing delay."""

    sent_seconds: float
    is_echo: bool


@message('switch-ask')
class SwitchAsk:
    """Agent to tracker: asks whether the engine may change over to a verified release."""

    release: str


@message('switch-permit')
class SwitchPermit:
    """Tracker to agent: permits the changeover for the next ``valid_seconds``."""

    release: str
    valid_seconds: float


@dataclass(frozen=True, slots=True)
class ZoneHolder:
    """An agent that other data centres may fetch from; an empty bitmap means all chunks."""

    address: str
    bitmap: bytes


@message('zone-have')
class ZoneHave:
    """Tracker to entries of other zones: which agents of its zone hold which chunks."""

    zone: str
    release: str
    holders: list[ZoneHolder]
