"""The replicated state of a site: document, emptied zones, weights, entries, blocked traits.

Commands and snapshots are encoded as CBOR. The document is stored compressed, byte for
byte as the operator sent it, so that it can be read back unchanged. Documents are compared by the digest
that the codec computes over their canonical form.
"""

from collections.abc import Callable, Iterable
from dataclasses import astuple, dataclass, replace
from enum import StrEnum
from typing import Any

import cbor2

from jackdawsail.site.stored_document import StoredDocument, store_document
from jackdawsail.site.stored_weights import (
    StoredWeights,
    WeightsTuple,
    with_ages,
    with_announced,
)
from jackdawsail.wire.site_messages import MemberHost

# Format 1 has no entries, 2 no blocked traits, 3 no ages of weights, 4 a plain document.
SNAPSHOT_FORMAT = 5
FORMAT_COMPRESSED = 5
MAX_BLOCKED_TRAITS = 256
WEIGHT_AGES = 'weight-ages'  # name of a command


class CommandOutcome(StrEnum):
    """The outcome of applying a command.

    ``conflict`` means another document under the version that is already held.
    """

    accepted = 'accepted'
    unchanged = 'unchanged'
    conflict = 'conflict'


@dataclass(frozen=True, slots=True)
class SiteState:
    """All that was acknowledged to operators, and the entries that share the site's limits.

    ``revision`` is the log index of the last change that other processes must be sent; the ages
    of weights reach them with each summary. Of the versions of a model, ``weights`` has all
    whose time limit may still count. ``sharing_entries`` are sorted by address,
    ``blocked_traits`` are the traits of calls that crash engines, the earliest blocked first.
    """

    revision: int = 0
    document: StoredDocument = StoredDocument()
    emptied_zones: tuple[str, ...] = ()
    weights: WeightsTuple = ()
    sharing_entries: tuple[MemberHost, ...] = ()
    blocked_traits: tuple[str, ...] = ()


def put_document(document: StoredDocument) -> bytes:
    """Encodes the command that replaces the document with a higher version.

    The body is compressed once, on the host that accepts it, for the log, the links, the
    snapshots and the processes that follow the site.
    """
    fields = (document.version, document.digest, document.compressed)
    return cbor2.dumps(['compressed-document', *fields])


def set_zone_emptied(zone: str, *, emptied: bool) -> bytes:
    """Encodes the command that takes a data centre out of service, or back into it."""
    return cbor2.dumps(['zone', zone, emptied])


def announce_weights(model: str, version: int) -> bytes:
    """Encodes the command that announces a model's new weight version."""
    return cbor2.dumps(['weights', model, version, 0])


def store_weight_ages(weights: Iterable[StoredWeights]) -> bytes:
    """Encodes the command that stores the ages of announced weights.

    Of each model in the list, older versions that the list lacks are dropped.
    """
    return cbor2.dumps([WEIGHT_AGES, [list(astuple(each)) for each in weights]])


def change_entries(added: Iterable[MemberHost], removed: Iterable[str]) -> bytes:
    """Encodes the command that changes the entries which share the site's limits.

    Entries are removed by their address.
    """
    return cbor2.dumps(['entries', [_encode_host(host) for host in added], list(removed)])


def block_trait(trait: str) -> bytes:
    """Encodes the command that blocks a trait of calls."""
    return cbor2.dumps(['part', trait, True])


def lift_trait(trait: str) -> bytes:
    """Encodes the command that lifts the block of a trait of calls."""
    return cbor2.dumps(['part', trait, False])


class SiteMachine:
    """Deterministic state machine that applies commands in the order of the log."""

    def __init__(self) -> None:
        self.state = SiteState()
        self.on_change: Callable[[], None] = lambda: None

    def apply(self, index: int, command: bytes) -> CommandOutcome:
        """Applies the committed command at a log index and returns its outcome."""
        name, *arguments = cbor2.loads(command)
        changed, outcome = _CHANGES[name](self.state, *arguments)
        if outcome is CommandOutcome.accepted:
            revision = self.state.revision if name == WEIGHT_AGES else index
            self.state = replace(changed, revision=revision)
            self.on_change()
        return outcome

    def snapshot(self) -> bytes:
        """Returns the whole state, encoded with a format number."""
        state = self.state
        document = state.document
        document_fields = [document.version, document.digest, document.compressed]
        zones = list(state.emptied_zones)
        weights = [list(astuple(each)) for each in state.weights]
        entries = [_encode_host(host) for host in state.sharing_entries]
        lists = [zones, weights, entries, list(state.blocked_traits)]
        return cbor2.dumps([SNAPSHOT_FORMAT, state.revision, document_fields, *lists])

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state with a snapshot."""
        format_number, revision, document_fields, *lists = cbor2.loads(snapshot)
        make_document = store_document if format_number < FORMAT_COMPRESSED else StoredDocument
        zones, weights, entries, traits = (*lists, [], [])[:4]
        self.state = SiteState(
            revision,
            make_document(*document_fields),
            tuple(zones),
            tuple(StoredWeights(*fields) for fields in weights),
            tuple(MemberHost(*fields) for fields in entries),
            tuple(traits),
        )
        self.on_change()


Change = tuple[SiteState, CommandOutcome]


def _change_document(state: SiteState, version: int, digest: str, compressed: bytes) -> Change:
    held = state.document
    if version < held.version:
        return state, CommandOutcome.unchanged
    if version == held.version:
        return (
            state,
            CommandOutcome.unchanged if digest == held.digest else CommandOutcome.conflict,
        )
    document = StoredDocument(version, digest, compressed)
    return replace(state, document=document), CommandOutcome.accepted


def _change_plain_document(state: SiteState, version: int, digest: str, body: bytes) -> Change:
    """Applies the command of releases that did not compress documents."""
    compressed = store_document(version, digest, body).compressed
    return _change_document(state, version, digest, compressed)


def _change_zone(state: SiteState, zone: str, emptied: bool) -> Change:
    if emptied == (zone in state.emptied_zones):
        return state, CommandOutcome.unchanged
    others = {other for other in state.emptied_zones if other != zone}
    zones = sorted(others | {zone}) if emptied else sorted(others)
    return replace(state, emptied_zones=tuple(zones)), CommandOutcome.accepted


def _change_weights(
    state: SiteState, model: str, version: int, age_seconds: float | None = None
) -> Change:
    announced = StoredWeights(model, version, age_seconds)
    return _replace_weights(state, with_announced(state.weights, announced))


def _change_weight_ages(state: SiteState, told: list[Any]) -> Change:
    return _replace_weights(
        state, with_ages(state.weights, [StoredWeights(*fields) for fields in told])
    )


def _replace_weights(state: SiteState, weights: WeightsTuple) -> Change:
    if weights == state.weights:
        return state, CommandOutcome.unchanged
    return replace(state, weights=weights), CommandOutcome.accepted


def _change_entries(state: SiteState, added: list[Any], removed: list[str]) -> Change:
    by_address = {host.address: host for host in state.sharing_entries}
    by_address.update({fields[0]: MemberHost(*fields) for fields in added})
    kept = tuple(by_address[address] for address in sorted(by_address.keys() - set(removed)))
    if kept == state.sharing_entries:
        return state, CommandOutcome.unchanged
    return replace(state, sharing_entries=kept), CommandOutcome.accepted


def _change_trait(state: SiteState, trait: str, blocked: bool) -> Change:
    if blocked == (trait in state.blocked_traits):
        return state, CommandOutcome.unchanged
    others = [other for other in state.blocked_traits if other != trait]
    traits = [*others, trait][-MAX_BLOCKED_TRAITS:] if blocked else others
    return replace(state, blocked_traits=tuple(traits)), CommandOutcome.accepted


def _encode_host(host: MemberHost) -> list[str]:
    return [host.address, host.zone, host.region]


_CHANGES: dict[str, Callable[..., Change]] = {
    'compressed-document': _change_document,
    'document': _change_plain_document,
    'zone': _change_zone,
    'weights': _change_weights,
    WEIGHT_AGES: _change_weight_ages,
    'entries': _change_entries,
    'part': _change_trait,
}
