"""Calls that operators, upstreams and callers make to a control host, and its answers."""

from collections.abc import Callable
from dataclasses import dataclass

from jackdawsail.group.block_calls import BlockedTraitsFound, LiftBlockedTrait, ListBlockedTraits
from jackdawsail.http1.messages import HttpAnswer, HttpRequest
from jackdawsail.registry.registration import Registration
from jackdawsail.site.document import MAX_DOCUMENT_BYTES, CallerLimits, SiteDocument

CONTROL_LIMITS = CallerLimits(
    head_bytes=65_536, body_bytes=MAX_DOCUMENT_BYTES, head_seconds=10.0, idle_seconds=20.0
)  # independent of the limits for callers


@dataclass(frozen=True, slots=True)
class PutDocument:
    """Replaces the site document; ``body`` holds the bytes that the operator sent."""

    document: SiteDocument
    digest: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ReadDocument:
    """Reads the newest site document."""


@dataclass(frozen=True, slots=True)
class SetZoneEmptied:
    """Takes a data centre out of service, or returns it to service if not ``emptied``."""

    zone: str
    emptied: bool


@dataclass(frozen=True, slots=True)
class AnnounceWeights:
    """Announces a new version of a model's weights."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Registers an upstream or renews its registration."""

    registration: Registration


@dataclass(frozen=True, slots=True)
class Deregister:
    """Removes an upstream permanently."""

    upstream: str


@dataclass(frozen=True, slots=True)
class FindEntries:
    """Looks up the entries that a caller in this region and zone should use."""

    region: str
    zone: str


@dataclass(frozen=True, slots=True)
class CheckReadiness:
    """Checks whether this process accepts calls."""


@dataclass(frozen=True, slots=True)
class InvalidCall:
    """A call that cannot be decoded, or that is invalid in every state."""

    reason: str


@dataclass(frozen=True, slots=True)
class UnknownCall:
    """A request whose method and path match no call."""


Call = (
    PutDocument
    | ReadDocument
    | SetZoneEmptied
    | AnnounceWeights
    | Heartbeat
    | Deregister
    | FindEntries
    | CheckReadiness
    | ListBlockedTraits
    | LiftBlockedTrait
    | InvalidCall
    | UnknownCall
)


@dataclass(frozen=True, slots=True)
class Done:
    """The call has been carried out, now or by an earlier attempt."""


@dataclass(frozen=True, slots=True)
class Invalid:
    """The call is invalid and must not be retried."""

    reason: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """The call contradicts the current state, such as another document under the same version."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """This host cannot carry out the call now; another host might."""

    reason: str


@dataclass(frozen=True, slots=True)
class AskHost:
    """Redirects the sender to another control host."""

    host: str


@dataclass(frozen=True, slots=True)
class DocumentFound:
    """The newest site document, byte for byte as the operator sent it."""

    body: bytes


@dataclass(frozen=True, slots=True)
class EntriesFound:
    """The addresses of the entries to use, and how long the answer is valid."""

    addresses: tuple[str, ...]
    valid_seconds: float


@dataclass(frozen=True, slots=True)
class NotFound:
    """The answer to a call that does not exist."""


Answer = (
    Done
    | Invalid
    | Conflict
    | Unavailable
    | AskHost
    | DocumentFound
    | EntriesFound
    | BlockedTraitsFound
    | NotFound
)


@dataclass(frozen=True, slots=True)
class CallCodec:
    """Decodes the calls of this site and encodes the answers.

    ``encode`` takes an answer and the target of its request.
    """

    decode: Callable[[HttpRequest], Call]
    encode: Callable[[Answer, bytes], HttpAnswer]
