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
    """How one chunk transfer ended."""

    done = 'done'
    corrupt = 'corrupt'
    failed = 'failed'
    changed = 'changed'
    busy = 'busy'


@message('chunk-report')
class ChunkReport:
    """Agent to tracker: what the agent holds of a release and what is under way.

    ``stage`` is ``fetching``, ``verified``, ``switching``, ``serving`` or ``failed``.
    """

    release: str
    bitmap: bytes
    in_flight: list[int]
    stage: str
    problem: str = ''


@dataclass(frozen=True, slots=True)
class FetchItem:
    """One chunk to draw; ``address`` is a peer's chunk address or empty for the origin."""

    chunk: int
    source: SourceKind
    address: str


@message('fetch-order')
class FetchOrder:
    """Tracker to agent: draw these chunks now."""

    release: str
    fetches: list[FetchItem]


@message('fetch-result')
class FetchResult:
    """Agent to tracker: how one fetch ended; ``address`` as in the order."""

    release: str
    chunk: int
    source: SourceKind
    address: str
    outcome: FetchOutcome
    reason: str = ''


@message('switch-ask')
class SwitchAsk:
    """Agent to tracker: the release is verified; may the engine change to it?"""

    release: str


@message('switch-permit')
class SwitchPermit:
    """Tracker to agent: change now, within ``valid_seconds``."""

    release: str
    valid_seconds: float


@message('zone-have')
class ZoneHave:
    """Tracker to the other zones' entries: the chunks that its zone holds, and who has them."""

    zone: str
    release: str
    bitmap: bytes
    addresses: list[str]
