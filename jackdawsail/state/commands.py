"""The commands that change the replicated state, and their envelope.

The codec validates a command by its field types; the consensus log stores it as the
CBOR frame of its message.
"""

from dataclasses import field
from typing import Annotated, Any, Literal

from pydantic import Field

from jackdawsail.settings.models import Name
from jackdawsail.wire.claim_messages import ClaimRequest, SettleRequest
from jackdawsail.wire.codec import message

MAX_CHUNKS = 65_536

Digest = Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
OriginPath = Annotated[str, Field(min_length=1, max_length=1024)]
SizeBytes = Annotated[int, Field(ge=1, le=2**50)]
ChunkBytes = Annotated[int, Field(ge=1024, le=2**30)]
ChunkDigests = Annotated[list[Digest], Field(max_length=MAX_CHUNKS)]
Reason = Annotated[str, Field(max_length=1000)]
OperatorRole = Literal['read', 'operate', 'administer']


@message('command')
class CommandEnvelope:
    """A command as stored in the log.

    ``actor`` is the operator, or ``control/...`` for the leader itself.
    ``stamp_seconds`` is the leader's wall clock; it is shown to people, and no decision
    depends on it. ``expected_revision`` None accepts any revision.
    """

    request_id: Annotated[str, Field(min_length=1, max_length=200)]
    actor: str
    stamp_seconds: float
    expected_revision: int | None
    body: bytes


@message('release-create')
class ReleaseCreate:
    """Creates an immutable release; without chunk digests, ``ReleaseManifest`` must follow."""

    name: Name
    backend: Name
    origin_path: OriginPath
    size_bytes: SizeBytes
    chunk_bytes: ChunkBytes
    digest: Digest
    chunk_digests: ChunkDigests = field(default_factory=list)


@message('release-manifest')
class ReleaseManifest:
    """Adds the chunk digests to a release that was created without them; accepted once."""

    name: Name
    chunk_bytes: ChunkBytes
    digest: Digest
    chunk_digests: ChunkDigests


@message('release-start')
class ReleaseStart:
    """Makes a release the target of its back end, or queues it behind the active release."""

    name: Name


@message('release-pause')
class ReleasePause:
    """Pauses a running release: no further fetches and changeovers start."""

    name: Name


@message('release-resume')
class ReleaseResume:
    """Resumes a paused release."""

    name: Name


@message('release-abort')
class ReleaseAbort:
    """Aborts a release and restores the previous release of its back end."""

    name: Name
    reason: Reason = ''


@message('release-finish')
class ReleaseFinish:
    """Ends a running release as done everywhere or failed; issued by the leader only."""

    name: Name
    status: Literal['done', 'failed']
    reason: Reason = ''


@message('customer-put')
class CustomerPut:
    """Adds or replaces a customer; an empty ``token_digest`` keeps the present one."""

    name: Name
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    requests_per_second: Annotated[float, Field(gt=0, le=1e6)] = 100.0
    max_concurrent: Annotated[int, Field(ge=1, le=1_000_000)] = 64
    token_digest: Annotated[str, Field(pattern='^([0-9a-f]{64})?$')] = ''


@message('customer-remove')
class CustomerRemove:
    """Removes a customer; its further requests are refused."""

    name: Name


@message('site-put')
class SitePut:
    """Adds or replaces a site deployment."""

    name: Name
    zone: Name
    backends: list[Name]


@message('site-remove')
class SiteRemove:
    """Removes a site deployment."""

    name: Name


@message('zone-out')
class ZoneOut:
    """Takes a data centre out of service."""

    name: Name
    force: bool = False


@message('zone-in')
class ZoneIn:
    """Returns a data centre to service."""

    name: Name


@message('host-out')
class HostOut:
    """Takes one host out of service."""

    name: Name


@message('host-in')
class HostIn:
    """Returns one host to service."""

    name: Name


@message('operator-put')
class OperatorPut:
    """Adds or replaces an operator; an empty digest removes the operator."""

    name: Name
    role: OperatorRole
    token_digest: Annotated[str, Field(pattern='^([0-9a-f]{64})?$')]


@message('apply')
class Apply:
    """Stores declared records; ``prune`` removes records of declared kinds that are absent.

    The records come from a settings document that the administration API has
    validated; fields set by other commands (zone mode, release target) are kept.
    """

    records: dict[str, dict[str, Any]]
    prune: bool = False


@message('ledger-batch')
class LedgerBatch:
    """Claims and settlements of non-idempotent calls; settlements are applied first, each in order."""

    claims: list[ClaimRequest]
    settles: list[SettleRequest]


@message('ledger-entry-lost')
class LedgerEntryLost:
    """Reports that an entry process has ended; its running calls become unknown."""

    entry: str
    incarnation: int


ReleaseCommand = (
    ReleaseCreate
    | ReleaseManifest
    | ReleaseStart
    | ReleasePause
    | ReleaseResume
    | ReleaseAbort
    | ReleaseFinish
)
