"""Messages between the control hosts, entries and agents of a site with a site document."""

from dataclasses import dataclass, field

from jackdawsail.registry.registration import Registration
from jackdawsail.wire.codec import message


@dataclass(frozen=True, slots=True)
class AnnouncedWeights:
    """The newest weight version of a model, and the seconds since it was announced."""

    model: str
    version: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class MemberHost:
    """A host that runs a process of the site; ``address`` is its IP address.

    ``leaving`` is true for an entry that callers should no longer use.
    """

    address: str
    zone: str
    region: str
    leaving: bool = False


@message('site-summary')
class SiteSummary:
    """Control to all processes, at each change and as a heartbeat: the state of the site.

    ``document_version`` is 0 until a document has been accepted. ``sharing_entries`` are
    the entries that share the limits on sums over all entries; only the first summary on a
    link and the one after a change contain them, others leave them empty.
    """

    revision: int
    document_version: int
    emptied_zones: list[str]
    weights: list[AnnouncedWeights]
    sharing_entries: list[MemberHost] = field(default_factory=list)


@message('site-document-wanted')
class DocumentWanted:
    """Asks a control host for the site document of a revision."""

    revision: int


@message('site-document')
class DocumentPushed:
    """The site document in force at a revision, compressed with zlib."""

    revision: int
    version: int
    compressed: bytes


@dataclass(frozen=True, slots=True)
class AgedRegistration:
    """A registration and the seconds since it was received."""

    registration: Registration
    age_seconds: float


@message('site-registrations')
class Registrations:
    """Control to entries and control hosts: upstreams that have registered.

    The first one on a link between control hosts also has the announced weights, as has the
    one that an entry sends to a control host when their link opens, with the upstreams that
    have left. An older control host ignores that field, but would close a link on which it gets
    a new message.
    """

    heard: list[AgedRegistration]
    weights: list[AnnouncedWeights] = field(default_factory=list)


@message('site-goodbye')
class UpstreamLeft:
    """Control to all processes: an upstream has deregistered."""

    upstream: str


@message('site-members')
class Members:
    """Control to all processes: the processes that are linked to the sender."""

    controls: list[str]
    entries: list[MemberHost]
    agents: list[MemberHost]


@message('site-entry-status')
class EntryStatus:
    """Entry to control: the address for callers, and whether the entry accepts them."""

    callers_address: str
    accepts: bool


@message('site-engine-load')
class EngineLoad:
    """Agent to entries, as one datagram: the current state of its engine.

    ``sequence`` grows with each report of one agent process (``incarnation``).
    ``weight_version`` is the loaded version, 0 for none. ``switching`` is true
    while the engine accepts no new requests because it will load another version.
    """

    engine_address: str
    incarnation: int
    sequence: int
    weight_version: int
    switching: bool
    waiting: int
    running: int
    memory_share: float
    pace: float


@dataclass(frozen=True, slots=True)
class ReportedLimit:
    """The limit that an upstream named, None if it named none, and the seconds since then.

    ``upstream`` names its incarnation.
    """

    upstream: str
    calls_per_second: float | None
    age_seconds: float


@message('site-named-limits')
class NamedLimitsReported:
    """Entry to entries, as one datagram: limits that upstreams named in answers to the sender."""

    limits: list[ReportedLimit]


@message('site-refused-calls')
class RefusedCallsReported:
    """Entry to entries, as one datagram: the fingerprints of calls that the sender refused."""

    fingerprints: list[bytes]


@message('site-rank-demand')
class RankDemandReported:
    """Entry to entries, as one datagram, while calls of differing ranks are refused.

    It has the demand for a service in the last second at ``entry``, by urgency class, as the time
    of an engine. The classes are those of a version of the site document. ``refuses`` is whether the sender itself has
    refused calls that could be in time. An older entry ignores the message.
    """

    entry: str
    service: str
    document_version: int
    refuses: bool
    asked_calls: int
    asked_milliseconds: list[int]
    admitted_milliseconds: list[int]
