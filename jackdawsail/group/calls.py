"""Calls that operators, upstreams and callers make to a control host, and the answers."""

from collections.abc import Callable
from dataclasses import dataclass

from jackdawsail.http1.messages import HttpAnswer, HttpRequest
from jackdawsail.registry.registration import Registration
from jackdawsail.site.document import SiteDocument


@dataclass(frozen=True, slots=True)
class PutDocument:
    """Puts a new site document in force; ``body`` is what the operator sent."""

    document: SiteDocument
    digest: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ReadDocument:
    """Asks for the newest site document."""


@dataclass(frozen=True, slots=True)
class SetZoneEmptied:
    """Takes a data centre out of service, or back."""

    zone: str
    emptied: bool


@dataclass(frozen=True, slots=True)
class AnnounceWeights:
    """Names a new version of a model's weights."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """An upstream registers, or says how it is."""

    registration: Registration


@dataclass(frozen=True, slots=True)
class Deregister:
    """An upstream leaves for good."""

    upstream: str


@dataclass(frozen=True, slots=True)
class FindEntries:
    """A caller asks which entries to use; region and zone are its own."""

    region: str
    zone: str


@dataclass(frozen=True, slots=True)
class CheckReadiness:
    """Somebody asks whether this process takes calls."""


@dataclass(frozen=True, slots=True)
class InvalidCall:
    """A call that cannot be read, or that is invalid whatever the state."""

    reason: str


@dataclass(frozen=True, slots=True)
class UnknownCall:
    """No such call exists."""


Call = (
    PutDocument
    | ReadDocument
    | SetZoneEmptied
    | AnnounceWeights
    | Heartbeat
    | Deregister
    | FindEntries
    | CheckReadiness
    | InvalidCall
    | UnknownCall
)


@dataclass(frozen=True, slots=True)
class Done:
    """The call is carried out, or was before."""


@dataclass(frozen=True, slots=True)
class Invalid:
    """The call can never be carried out."""

    reason: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """Something else holds the place that the call wants."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """This host cannot carry the call out now; another may."""

    reason: str


@dataclass(frozen=True, slots=True)
class AskHost:
    """Another control host must be asked."""

    host: str


@dataclass(frozen=True, slots=True)
class DocumentFound:
    """The newest site document, as it was sent."""

    body: bytes


@dataclass(frozen=True, slots=True)
class EntriesFound:
    """The addresses to use, and for how long."""

    addresses: tuple[str, ...]
    valid_seconds: float


@dataclass(frozen=True, slots=True)
class NotFound:
    """No such call exists."""


Answer = (
    Done | Invalid | Conflict | Unavailable | AskHost | DocumentFound | EntriesFound | NotFound
)


@dataclass(frozen=True, slots=True)
class CallCodec:
    """How calls are read and answers are written on this site."""

    decode: Callable[[HttpRequest], Call]
    encode: Callable[[Answer, bytes], HttpAnswer]
