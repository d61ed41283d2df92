"""Messages between control hosts, entries and agents of a site with a site document."""

from dataclasses import dataclass

from jackdawsail.registry.registration import Registration
from jackdawsail.wire.codec import message


@dataclass(frozen=True, slots=True)
class AnnouncedWeights:
    """The newest weight version of a model, and for how long it has been named."""

    model: str
    version: int
    age_seconds: float


@message('site-summary')
class SiteSummary:
    """Control to everybody, at each change and as a heartbeat.

    ``document_version`` 0 means that no document has been accepted yet.
    """

    revision: int
    document_version: int
    emptied_zones: list[str]
    weights: list[AnnouncedWeights]


@message('site-document-wanted')
class DocumentWanted:
    """Asks a control host for the document of a revision."""

    revision: int


@message('site-document')
class DocumentPushed:
    """The document in force at a revision, compressed with zlib."""

    revision: int
    version: int
    compressed: bytes


@dataclass(frozen=True, slots=True)
class AgedRegistration:
    """A registration and how long ago it was received."""

    registration: Registration
    age_seconds: float


@message('site-registrations')
class Registrations:
    """Control to everybody: upstreams that have registered."""

    heard: list[AgedRegistration]


@message('site-goodbye')
class UpstreamLeft:
    """Control to everybody: an upstream has said goodbye."""

    upstream: str


@dataclass(frozen=True, slots=True)
class MemberHost:
    """A host on which a process of the site runs; ``address`` is its IP address.

    ``leaving`` is true of an entry that callers should no longer use.
    """

    address: str
    zone: str
    region: str
    leaving: bool = False


@message('site-members')
class Members:
    """Control to everybody: which processes are linked to the sender now."""

    controls: list[str]
    entries: list[MemberHost]
    agents: list[MemberHost]


@message('site-entry-status')
class EntryStatus:
    """Entry to control: where callers reach it, and whether they should."""

    callers_address: str
    accepts: bool


@message('site-engine-load')
class EngineLoad:
    """Agent to entries, as one datagram: the fresh state of its engine.

    ``sequence`` grows with each report of one agent process (``incarnation``).
    ``weight_version`` is the version that is loaded, 0 for none, and
    ``switching`` says that the engine takes nothing new because it will load
    another version.
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


@message('site-refused-calls')
class RefusedCallsTold:
    """Entry to entries, as one datagram: the fingerprints of calls that it has refused."""

    fingerprints: list[bytes]
