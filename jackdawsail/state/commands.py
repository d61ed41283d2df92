"""The typed commands that change the replicated state, and the envelope around each.

A command is validated at the border by its own field types and is carried in
the consensus log as the CBOR frame of its message.
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
    """One command as it stands in the log.

    ``actor`` is the operator (or ``control/...`` for the leader itself), and
    ``stamp_seconds`` the leader's wall clock, for people only: no decision
    depends on it. ``expected_revision`` is None when any revision will do.
    """

    request_id: Annotated[str, Field(min_length=1, max_length=200)]
    actor: str
    stamp_seconds: float
    expected_revision: int | None
    body: bytes


@message('release-create')
class ReleaseCreate:
    """Creates an immutable release; without chunk digests its manifest comes later."""

    name: Name
    backend: Name
    origin_path: OriginPath
    size_bytes: SizeBytes
    chunk_bytes: ChunkBytes
    digest: Digest
    chunk_digests: ChunkDigests = field(default_factory=list)


@message('release-manifest')
class ReleaseManifest:
    """Adds the chunk digests of a release that was created without; accepted once."""

    name: Name
    chunk_bytes: ChunkBytes
    digest: Digest
    chunk_digests: ChunkDigests


@message('release-start')
class ReleaseStart:
    """Makes a release the target of its back end, or queues it behind a running one."""

    name: Name


@message('release-pause')
class ReleasePause:
    """Stops further fetches and switches of a running release."""

    name: Name


@message('release-resume')
class ReleaseResume:
    """Continues a paused release."""

    name: Name


@message('release-abort')
class ReleaseAbort:
    """Gives a release up and returns its back end to the previous one."""

    name: Name
    reason: Reason = ''


@message('release-finish')
class ReleaseFinish:
    """The leader's own: a running release is done everywhere, or has failed."""

    name: Name
    status: Literal['done', 'failed']
    reason: Reason = ''


@message('customer-put')
class CustomerPut:
    """Adds a customer or changes it."""

    name: Name
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    requests_per_second: Annotated[float, Field(gt=0, le=1e6)] = 100.0
    max_concurrent: Annotated[int, Field(ge=1, le=1_000_000)] = 64
    token_digest: Annotated[str, Field(pattern='^([0-9a-f]{64})?$')] = ''


@message('customer-remove')
class CustomerRemove:
    """Removes a customer; its next request is refused."""

    name: Name


@message('site-put')
class SitePut:
    """Adds a site deployment or changes it."""

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
    """Brings a data centre back into service."""

    name: Name


@message('host-out')
class HostOut:
    """Takes one host out of service."""

    name: Name


@message('host-in')
class HostIn:
    """Brings one host back into service."""

    name: Name


@message('operator-put')
class OperatorPut:
    """Adds an operator or changes it; an empty digest removes the operator."""

    name: Name
    role: OperatorRole
    token_digest: Annotated[str, Field(pattern='^([0-9a-f]{64})?$')]


@message('apply')
class Apply:
    """Puts the declared records; ``prune`` removes declared kinds that are absent.

    The records come from a settings document that the administration API has
    validated; what operations set (zone mode, release target) is kept.
    """

    records: dict[str, dict[str, Any]]
    prune: bool = False


@message('ledger-batch')
class LedgerBatch:
    """Claims and settlements of non-idempotent calls, handled in order."""

    claims: list[ClaimRequest]
    settles: list[SettleRequest]


@message('ledger-entry-lost')
class LedgerEntryLost:
    """An entry process has ended: its running calls become unknown."""

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
