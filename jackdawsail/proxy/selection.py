"""Selects the upstream of one call: collects the inputs of placement and applies it."""

import math
from dataclasses import dataclass

from jackdawsail.proxy import metrics
from jackdawsail.proxy.calls import CallerCall
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.proxy.prefix_placement import record_choice
from jackdawsail.proxy.rank_placement import (
    RankedCall,
    ask_for_share,
    extend_wait,
    is_over_share,
    record_placed,
)
from jackdawsail.routing.late_calls import has_ample_room
from jackdawsail.routing.placement import (
    Choice,
    PlacedCall,
    Refusal,
    choose_engine,
    choose_service,
    make_refusal,
    make_rest_refusal,
)
from jackdawsail.routing.shared_limits import keeps_named_limit
from jackdawsail.routing.sizes import CallSize, size_of
from jackdawsail.routing.upstreams import Upstream
from jackdawsail.routing.weight_rules import (
    RECALL_MARGIN_SECONDS,
    WeightRule,
    expiry_seconds,
    weight_rule,
)
from jackdawsail.site.document import Customer, EngineClass, Route, Service

IN_TIME_RANK = 3  # before the engines' default of 5, so that other calls do not delay ours
FIRST_URGENT_RANK = 1  # of the most urgent calls in time where ranks differ, up to 4 for others
LATE_RANK = 8  # behind calls that can still be in time


@dataclass(frozen=True, slots=True)
class Selection:
    """A call that needs an upstream, and the upstreams that it has tried.

    ``is_late`` is true for a retried call that can no longer be served in time, ``is_begun``
    for the rest of a stream that has no engine any more. ``urgency`` is the class of the call's
    rank when it arrived, None where all calls are of one rank.
    """

    service: str
    route: Route
    customer: Customer | None
    call: CallerCall
    tried: tuple[str, ...] = ()
    pinned_version: int = 0
    is_late: bool = False
    is_begun: bool = False
    urgency: int | None = None

    @property
    def ranked_call(self) -> RankedCall | None:
        """Returns the call as its urgency decides on it; None where that decides nothing."""
        if self.urgency is None or self.is_late:
            return None
        is_new = not self.is_begun and not self.tried
        return RankedCall(self.service, self.urgency, is_new, self.call)

    @property
    def engine_rank(self) -> int | None:
        """Returns the rank in the engine's own queue, 0 first; None for calls without a model."""
        if not self.call.model:
            return None
        if self.is_late:
            return LATE_RANK
        if self.urgency is None:
            return IN_TIME_RANK
        if self.pinned_version:
            return FIRST_URGENT_RANK
        return FIRST_URGENT_RANK + self.urgency

    def expected_version(self, context: ProxyContext, upstream: Upstream) -> int:
        """Returns the weight version that an engine must verify; 0 allows any.

        It is the one that the engine is known to hold, which may be newer than the due one.
        """
        if not self.call.model:
            return 0
        rule = self.current_weight_rule(context)
        if rule.pinned_version or not rule.expected_version:
            return rule.expected_version
        held_version = upstream.version_of(self.call.model, context.clock.seconds())
        return max(rule.expected_version, held_version)

    def current_weight_rule(self, context: ProxyContext) -> WeightRule:
        """Returns the rule for the weight versions that may run the call now."""
        targets = context.view.weights.get(self.call.model, ())
        within_seconds = context.settings.bounds.weights_seconds
        now_seconds = context.clock.seconds()
        return weight_rule(
            self.call.model, targets, within_seconds, now_seconds, self.pinned_version
        )

    def seconds_until_recall(self, context: ProxyContext, version: int) -> float:
        """Returns for how long the call may wait at an engine on a version; infinite if always."""
        if not version:
            return math.inf
        return weights_left_seconds(context, self.call.model, version) - RECALL_MARGIN_SECONDS

    def allowed_regions(self) -> set[str] | None:
        """Returns the regions that may serve the call; None means all."""
        route_regions = set(self.route.home_regions) or None
        customer_regions = set(self.customer.home_regions) if self.customer else set()
        if not customer_regions:
            return route_regions
        return customer_regions if route_regions is None else route_regions & customer_regions


@dataclass(frozen=True, slots=True)
class _Constraints:
    """Constraints of a call that are equal for all upstreams; ``regions`` None means all."""

    weights: WeightRule
    regions: set[str] | None


def weights_left_seconds(context: ProxyContext, model: str, version: int) -> float:
    """Returns the time until the limit of a model's weight version; infinite for the newest one."""
    targets = context.view.weights.get(model, ())
    limit_seconds = expiry_seconds(version, targets, context.settings.bounds.weights_seconds)
    return limit_seconds - context.clock.seconds()


def place_call(context: ProxyContext, selection: Selection) -> Choice | Refusal:
    """Chooses the upstream of a waiting call, or refuses the call.

    The refusal of a call for a model that could be in time is recorded, so that late calls
    yield their slots.
    """
    service = _service_of(context, selection.service)
    engine = None if service is None else service.engine
    ask_for_share(context, selection.ranked_call, engine)
    decision = select_upstream(context, selection)
    if isinstance(decision, Refusal) and selection.call.model and not selection.is_late:
        context.pressure(selection.service).record_refusal(context.clock.seconds())
    return record_placed(context, selection.ranked_call, engine, decision)


def select_upstream(context: ProxyContext, selection: Selection) -> Choice | Refusal:
    """Chooses an upstream that the call has not tried yet, or refuses the call."""
    service = _service_of(context, selection.service)
    if service is None:
        return make_refusal('service is not configured', context.rng)
    candidates = _candidates(context, selection, service)
    now_seconds = context.clock.seconds()
    if not candidates:
        return _refuse_without_candidates(context, selection, service, now_seconds)
    placed = PlacedCall(
        target_seconds=selection.route.target_seconds,
        region=context.settings.region,
        is_begun=selection.is_begun,
        size=call_size(context, selection.service, selection.call),
        longest_pause_seconds=selection.route.longest_pause_seconds,
        savings=context.prefixes.savings(service.name, selection.call, candidates, now_seconds),
    )
    if service.engine is None:
        return choose_service(placed, candidates, context.rng)
    if _yields_to_calls_in_time(context, selection, service.engine, candidates):
        return make_refusal('late, and calls in time are being refused', context.rng)
    if is_over_share(context, selection.ranked_call) and not has_ample_room(
        candidates, service.engine.slots, now_seconds, context.entries
    ):
        return make_refusal('capacity goes to more urgent calls', context.rng)
    placed = extend_wait(context, selection.ranked_call, placed)
    choice = choose_engine(
        placed, service.engine, candidates, now_seconds, context.rng, context.entries
    )
    if isinstance(choice, Choice):
        record_choice(placed.savings, choice.upstream.name)
    return choice


def _yields_to_calls_in_time(
    context: ProxyContext, selection: Selection, engine: EngineClass, candidates: list[Upstream]
) -> bool:
    """Returns whether a late call leaves the slots to others; one dispatched before never does."""
    if not selection.is_late or selection.tried:
        return False
    now_seconds = context.clock.seconds()
    if not context.pressure(selection.service).is_active(now_seconds):
        return False
    return not has_ample_room(candidates, engine.slots, now_seconds, context.entries)


def call_size(context: ProxyContext, service: str, call: CallerCall) -> CallSize | None:
    """Returns the size of a call at the engines of a service; None for calls without a model."""
    configured = _service_of(context, service)
    if configured is None or configured.engine is None or not call.model:
        return None
    stated = (call.prompt_tokens, call.answer_tokens, call.likely_answer_tokens)
    return size_of(*stated, configured.engine)


def likely_events(context: ProxyContext, service: str, answer_tokens: int) -> float:
    """Returns the number of events of an answer that its caller expects, or the usual one."""
    configured = _service_of(context, service)
    if configured is None or configured.engine is None:
        return 0
    tokens = answer_tokens or configured.engine.usual_answer_tokens
    return tokens / max(1, configured.engine.steps_per_pass)


def _service_of(context: ProxyContext, name: str) -> Service | None:
    table = context.view.table
    services = table.document.services if table else ()
    return next((service for service in services if service.name == name), None)


def _candidates(context: ProxyContext, selection: Selection, service: Service) -> list[Upstream]:
    now_seconds = context.clock.seconds()
    control_seconds = context.view.control_received_seconds
    # Equal for all upstreams, so built once for each call.
    constraints = _Constraints(selection.current_weight_rule(context), selection.allowed_regions())
    allowed = [
        upstream
        for upstream in context.upstreams.usable(service.name, control_seconds)
        if _is_allowed(context, constraints, service, upstream)
        and _has_channel(context, selection, upstream)
    ]
    available = [candidate for candidate in allowed if not candidate.is_suspended(now_seconds)]
    untried = [candidate for candidate in available if candidate.name not in selection.tried]
    if untried:
        return untried
    # All untried ones are suspended after a failure; one of them may have recovered.
    return [candidate for candidate in allowed if candidate.name not in selection.tried]


def _refuse_without_candidates(
    context: ProxyContext, selection: Selection, service: Service, now_seconds: float
) -> Refusal:
    """Returns the refusal of a call; if all upstreams rest, with the time until the first ends."""
    regions = selection.allowed_regions()
    within = [
        upstream
        for upstream in context.upstreams.usable(
            service.name, context.view.control_received_seconds
        )
        if _is_within(context, regions, upstream)
    ]
    rest_ends_seconds = [upstream.rest.until_seconds for upstream in within]
    rest_seconds = min(rest_ends_seconds, default=now_seconds) - now_seconds
    if rest_seconds > 0:
        return make_rest_refusal(rest_seconds, context.rng)
    untried = [upstream for upstream in within if upstream.name not in selection.tried]
    fresh_channel = not selection.route.may_repeat
    without_channel = context.channels.refuse(untried, context.rng, fresh_channel=fresh_channel)
    reason = 'no engine' if service.engine else 'no upstream'
    return without_channel or make_refusal(reason, context.rng)


def _has_channel(context: ProxyContext, selection: Selection, upstream: Upstream) -> bool:
    """Returns whether the call needs no channel over this entry's part of the limit."""
    fresh_channel = not selection.route.may_repeat
    if context.channels.allows(upstream, fresh_channel=fresh_channel):
        return True
    metrics.WITHHELD.labels('channels').inc()
    return False


def _is_within(context: ProxyContext, regions: set[str] | None, upstream: Upstream) -> bool:
    """Returns whether an upstream's data centre is in service and its region allowed."""
    if upstream.registration.zone in context.view.emptied_zones:
        return False
    return regions is None or upstream.region in regions


def _is_allowed(
    context: ProxyContext, constraints: _Constraints, service: Service, upstream: Upstream
) -> bool:
    now_seconds = context.clock.seconds()
    if not _is_within(context, constraints.regions, upstream):
        return False
    if not upstream.rest.allows(upstream.calls + upstream.sends.pending, now_seconds):
        metrics.WITHHELD.labels('rest').inc()
        return False
    if service.engine is not None and not constraints.weights.allows(upstream, now_seconds):
        return False
    rate = service.cold_requests_per_second
    within_cold_limit = context.cold_bound.allows(upstream, rate, context.shares, now_seconds)
    if not within_cold_limit:
        metrics.WITHHELD.labels('cold').inc()
        return False
    within_named_limit = keeps_named_limit(upstream, context.shares, now_seconds)
    if not within_named_limit:
        metrics.WITHHELD.labels('named').inc()
    return within_named_limit


def withdrawal_reason(context: ProxyContext, selection: Selection, chosen: Upstream) -> str:
    """Returns why a call must not be sent any more to the upstream that was chosen for it.

    It is empty if nothing was withdrawn since the choice. An incarnation that has started
    meanwhile under the same id and address is judged by its own state. Limits on numbers of calls
    are not checked, as they count the call already.
    """
    now_seconds = context.clock.seconds()
    upstream = context.upstreams.get(chosen.name)
    service = _service_of(context, selection.service)
    if upstream is None or upstream.registration.address != chosen.registration.address:
        return 'gone since'
    if not upstream.accepts_calls(now_seconds):
        return 'rests or leaves since'
    if service is None or not _is_within(context, selection.allowed_regions(), upstream):
        return 'out of service since'
    weights = selection.current_weight_rule(context)
    if service.engine is not None and not weights.allows(upstream, now_seconds):
        return 'changes over, or older weights since'
    return ''
