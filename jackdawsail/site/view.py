"""The state of the site as an entry or agent knows it (pure); revisions never decrease."""

from collections.abc import Callable
from dataclasses import dataclass, field

from jackdawsail.registry.registration import RegistrationTable
from jackdawsail.site.announcements import (
    AnnouncementChange,
    Announcements,
    WeightTarget,
    add_announcements,
)
from jackdawsail.site.document import SiteDocument
from jackdawsail.site.routes import RouteTable, make_route_table
from jackdawsail.wire.site_messages import MemberHost, Members, SiteSummary

__all__ = ('AppliedSummary', 'SiteView', 'WeightTarget')


@dataclass(frozen=True, slots=True)
class AppliedSummary:
    """What a summary changed.

    ``in_force`` is whether its revision is in force now, ``zones_changed`` whether other zones
    are emptied than before.
    """

    in_force: bool
    zones_changed: bool
    announcements: tuple[AnnouncementChange, ...]


@dataclass(slots=True)
class SiteView:
    """The newest state of the site that this process has received.

    ``registrations`` holds the registered upstreams. ``on_registrations`` are the listeners
    for its changes, ``on_change`` those for other changes. ``control_received_seconds`` is
    the time of the last summary from any control host. ``sharing_entries`` are the entries
    that share the site's limits, also while they are not linked to any control host.
    """

    revision: int = 0
    table: RouteTable | None = None
    emptied_zones: frozenset[str] = frozenset()
    weights: Announcements = field(default_factory=dict)
    registrations: RegistrationTable = field(default_factory=RegistrationTable)
    control_received_seconds: float = 0
    sharing_entries: tuple[MemberHost, ...] = ()
    on_change: list[Callable[[], None]] = field(default_factory=list)
    on_registrations: list[Callable[[], None]] = field(default_factory=list)
    _members_by_control: dict[str, Members] = field(default_factory=dict)
    _entries: list[MemberHost] = field(default_factory=list)
    _agent_regions: dict[str, str] = field(default_factory=dict)
    _sharing_revision: int = 0
    _zones_revision: int = 0

    @property
    def document_version(self) -> int:
        """Returns the version of the document in force; 0 without one."""
        return self.table.document.version if self.table else 0

    def wants_document(self, summary: SiteSummary) -> bool:
        """Returns whether a summary refers to a document that has not arrived yet."""
        return summary.document_version > self.document_version

    def apply_summary(self, summary: SiteSummary, received_seconds: float) -> AppliedSummary:
        """Records when a summary arrived, and applies it if it is newer and its document is held.

        The announcements of weights are applied in any case, and newer emptied zones without
        the document.
        """
        self.control_received_seconds = max(self.control_received_seconds, received_seconds)
        changes = add_announcements(self.weights, summary.weights, received_seconds)
        in_force = summary.revision > self.revision and not self.wants_document(summary)
        if in_force:
            self.revision = summary.revision
        zones_changed = self._apply_zones(summary)
        has_new_weights = any(change.earlier_seconds is None for change in changes)
        if in_force or zones_changed or has_new_weights:
            self._notify_change()
        return AppliedSummary(in_force, zones_changed, tuple(changes))

    def apply_sharing_entries(self, summary: SiteSummary) -> None:
        """Records the entries that share the limits, if the summary has newer ones.

        They are applied before the document of the summary has arrived.
        """
        if summary.sharing_entries and summary.revision > self._sharing_revision:
            self._sharing_revision = summary.revision
            self.sharing_entries = tuple(summary.sharing_entries)
            self._notify_change()

    def apply_document(self, document: SiteDocument) -> bool:
        """Puts a document in force if it is newer; returns whether it did."""
        if document.version <= self.document_version:
            return False
        self.table = make_route_table(document)
        self._notify_change()
        return True

    def apply_members(self, control: str, members: Members) -> None:
        """Records which processes a control host sees."""
        self._members_by_control[control] = members
        self._merge_members()
        self._notify_change()

    def forget_control(self, control: str) -> None:
        """Removes the processes that a control host reported, after its link has closed.

        Those of the last one are kept until another reports, since its loss says nothing
        about them.
        """
        self._members_by_control.pop(control, None)
        if self._members_by_control:
            self._merge_members()

    def registrations_changed(self) -> None:
        """Calls the listeners after a change of the registrations."""
        for listener in self.on_registrations:
            listener()

    def controls(self) -> set[str]:
        """Returns the control hosts that any linked control host sees."""
        return {name for members in self._members_by_control.values() for name in members.controls}

    def entries(self) -> list[MemberHost]:
        """Returns the entries that any linked control host sees, sorted by address.

        While none is linked, they are those that the last one saw.
        An entry that any of them reports as leaving counts as leaving.
        """
        return list(self._entries)

    def newest_weights(self, model: str) -> WeightTarget | None:
        """Returns the highest announced version of a model; None if there is none."""
        targets = self.weights.get(model, ())
        return targets[-1] if targets else None

    def models(self) -> list[str]:
        """Returns the models that engines of the document in force serve."""
        services = self.table.document.services if self.table else ()
        engines = [service.engine for service in services if service.engine is not None]
        return sorted({model for engine in engines for model in engine.models})

    def piece_count(self, model: str) -> int:
        """Returns how many pieces the weights of a model have; 0 while that is not known."""
        services = self.table.document.services if self.table else ()
        counts = {
            service.engine.chunks
            for service in services
            if service.engine is not None and model in service.engine.models
        }
        return counts.pop() if len(counts) == 1 else 0

    def agents(self) -> list[str]:
        """Returns the addresses of the agents, sorted; known in the same way as the entries."""
        return sorted(self._agent_regions)

    def count_agents(self, region: str) -> int:
        """Returns the number of agents of a region that any control host sees."""
        return sum(each == region for each in self._agent_regions.values())

    def _apply_zones(self, summary: SiteSummary) -> bool:
        if summary.revision <= self._zones_revision:
            return False
        self._zones_revision = summary.revision
        emptied_zones = frozenset(summary.emptied_zones)
        changed = emptied_zones != self.emptied_zones
        self.emptied_zones = emptied_zones
        return changed

    def _merge_members(self) -> None:
        """Merges what the control hosts see, as it changes far less often than it is read."""
        all_members = list(self._members_by_control.values())
        hosts = [entry for members in all_members for entry in members.entries]
        by_address = {host.address: host for host in sorted(hosts, key=lambda host: host.leaving)}
        self._entries = [by_address[address] for address in sorted(by_address)]
        self._agent_regions = {
            agent.address: agent.region for members in all_members for agent in members.agents
        }

    def _notify_change(self) -> None:
        for listener in self.on_change:
            listener()
