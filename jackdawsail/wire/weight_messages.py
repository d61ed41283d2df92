"""Messages of weight distribution: agent and tracker, tracker and tracker.

A chunk bitmap is bytes, chunk ``i`` at bit ``i % 8`` (least first) of byte ``i // 8``.
"""

from dataclasses import dataclass
from enum import StrEnum

from jackdawsail.wire.codec import message


class SourceKind(StrEnum):
    """Where a chunk is drawn from."""

    origin = 'origin'
    peer = 'peer'


class FetchOutcome(StrEnum):
    """How one chunk transfer ended; ``unkept``: proved, but this host could not write it."""

    done = 'done'
    corrupt = 'corrupt'
    failed = 'failed'
    changed = 'changed'
    busy = 'busy'
    unkept = 'unkept'


@message('chunk-report')
class ChunkReport:
    """Agent to tracker: what the agent holds of a release and what is under way.

    ``stage`` is ``fetching``, ``verified``, ``switching``, ``serving`` or ``failed``.
    ``origin_bytes`` counts what this agent has drawn of the release from the origin.
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
    """One chunk to draw; ``address`` is a peer's chunk address or empty for the origin.

    ``bits_per_second`` paces the transfer; zero leaves it unpaced.
    """

    chunk: int
    source: SourceKind
    address: str
    bits_per_second: float = 0


@message('fetch-order')
class FetchOrder:
    """Tracker to agent: draw these chunks now."""

    release: str
    fetches: list[FetchItem]


@message('fetch-result')
class FetchResult:
    """Agent to tracker: how one fetch ended; ``address`` as in the order.

    ``drawn_bytes`` counts every byte received, also of a fetch that failed.
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
    """Tracker to an entry of another region, which echoes it: measures the queue between."""

    sent_seconds: float
    is_echo: bool


@message('switch-ask')
class SwitchAsk:
    """Agent to tracker: the release is verified; may the engine change to it?"""

    release: str


@message('switch-permit')
class SwitchPermit:
    """Tracker to agent: change now, within ``valid_seconds``."""

    release: str
    valid_seconds: float


@dataclass(frozen=True, slots=True)
class ZoneHolder:
    """One agent that other data centres may draw from; no bitmap: it holds every chunk."""

    address: str
    bitmap: bytes


@message('zone-have')
class ZoneHave:
    """Tracker to the other zones' entries: who in its zone holds which chunks."""

    zone: str
    release: str
    holders: list[ZoneHolder]
