"""Gathers what placement needs for one call and asks it."""

from dataclasses import dataclass

from jackdawsail.proxy.calls import CallerCall
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.routing.late_calls import has_ample_room
from jackdawsail.routing.placement import (
    Choice,
    PlacedCall,
    Refusal,
    choose_engine,
    choose_service,
    refusal,
)
from jackdawsail.routing.upstreams import Upstream
from jackdawsail.routing.weight_rules import WeightRule, must_recall, weight_rule
from jackdawsail.site.document import Customer, EngineClass, Route, Service

FRESH_RANK = 3  # before the engines' default of 5, so that others' calls do not delay ours
RETURNING_RANK = 8  # late already, so they go behind calls that can still be in time


@dataclass(frozen=True, slots=True)
class Selection:
    """A call that needs an upstream, and those that it has tried.

    ``returning`` is true of a caller that has waited too long to be served in time.
    """

    service: str
    route: Route
    customer: Customer | None
    call: CallerCall
    tried: tuple[str, ...] = ()
    pinned_version: int = 0
    is_late: bool = False

    @property
    def engine_rank(self) -> int | None:
        """Returns the rank in the engine's own queue."""
        if not self.call.model:
            return None
        return RETURNING_RANK if self.is_late else FRESH_RANK

    def expected_version(self, parts: ProxyContext) -> int:
        """Returns the weight version that the engine must check; 0 leaves it open."""
        return self.rule(parts).expected_version if self.call.model else 0

    def rule(self, parts: ProxyContext) -> WeightRule:
        """Returns which weight versions may run the call now."""
        named = parts.view.weights.get(self.call.model, ())
        within_seconds = parts.settings.bounds.weights_seconds
        now_seconds = parts.clock.seconds()
        return weight_rule(
            self.call.model, named, within_seconds, now_seconds, self.pinned_version
        )

    def must_leave(self, parts: ProxyContext, version: int) -> bool:
        """Tells whether the call must not begin any more at an engine on a version."""
        named = parts.view.weights.get(self.call.model, ())
        within_seconds = parts.settings.bounds.weights_seconds
        return must_recall(version, named, within_seconds, parts.clock.seconds())

    def allowed_regions(self) -> set[str] | None:
        """Returns the regions that may serve the call; None means all."""
        allowed = set(self.route.home_regions) or None
        own = set(self.customer.home_regions) if self.customer else set()
        if not own:
            return allowed
        return own if allowed is None else allowed & own


@dataclass(frozen=True, slots=True)
class _Limits:
    """What holds for a call at every upstream; ``regions`` None means all."""

    weights: WeightRule
    regions: set[str] | None
    entries: int


def place_call(parts: ProxyContext, selection: Selection) -> Choice | Refusal:
    """Chooses the upstream of a call that waits for one; a refusal counts as pressure."""
    chosen = select_upstream(parts, selection)
    if isinstance(chosen, Refusal) and selection.call.model and not selection.is_late:
        parts.pressure(selection.service).refused(parts.clock.seconds())
    return chosen


def select_upstream(parts: ProxyContext, selection: Selection) -> Choice | Refusal:
    """Chooses an upstream that the call has not tried, or refuses the call."""
    service = _service_of(parts, selection.service)
    if service is None:
        return refusal('service is not configured', parts.rng)
    candidates = _candidates(parts, selection, service)
    placed = PlacedCall(
        target_seconds=selection.route.target_seconds,
        region=parts.settings.region,
    )
    if service.engine is None:
        return choose_service(placed, candidates, parts.rng)
    if _gives_way(parts, selection, service.engine, candidates):
        return refusal('late, and calls in time are being refused', parts.rng)
    now_seconds = parts.clock.seconds()
    return choose_engine(placed, service.engine, candidates, now_seconds, parts.rng, parts.entries)


def _gives_way(
    parts: ProxyContext, selection: Selection, engine: EngineClass, candidates: list[Upstream]
) -> bool:
    """Tells whether a late call leaves the places to others; one that was sent goes on."""
    if not selection.is_late or selection.tried:
        return False
    now_seconds = parts.clock.seconds()
    if not parts.pressure(selection.service).lasts(now_seconds):
        return False
    return not has_ample_room(candidates, engine.slots, now_seconds, parts.entries)


def likely_events(parts: ProxyContext, service: str, answer_tokens: int) -> float:
    """Returns how many events an answer has: as its caller expects, or as is usual."""
    found = _service_of(parts, service)
    if found is None or found.engine is None:
        return 0
    tokens = answer_tokens or found.engine.usual_answer_tokens
    return tokens / max(1, found.engine.steps_per_pass)


def _service_of(parts: ProxyContext, name: str) -> Service | None:
    table = parts.view.table
    services = table.document.services if table else ()
    return next((service for service in services if service.name == name), None)


def _candidates(parts: ProxyContext, selection: Selection, service: Service) -> list[Upstream]:
    now_seconds = parts.clock.seconds()
    heard_seconds = parts.view.control_received_seconds
    # Alike for all upstreams, so made once for each call.
    limits = _Limits(selection.rule(parts), selection.allowed_regions(), parts.entries)
    found = [
        upstream
        for upstream in parts.upstreams.usable(service.name, heard_seconds)
        if _is_allowed(parts, limits, service, upstream)
    ]
    rested = [one for one in found if not one.is_suspended(now_seconds)]
    untried = [one for one in rested if one.name not in selection.tried]
    if untried:
        return untried
    # Every other one rests after a failure: one of them may be back.
    return [one for one in found if one.name not in selection.tried]


def _is_allowed(
    parts: ProxyContext, limits: _Limits, service: Service, upstream: Upstream
) -> bool:
    now_seconds = parts.clock.seconds()
    if upstream.registration.zone in parts.view.emptied_zones:
        return False
    if limits.regions is not None and upstream.region not in limits.regions:
        return False
    if service.engine is not None and not limits.weights.allows(upstream, now_seconds):
        return False
    rate = service.cold_requests_per_second
    return parts.cold_bound.allows(upstream, rate, limits.entries, now_seconds)
