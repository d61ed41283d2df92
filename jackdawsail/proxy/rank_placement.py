"""Applies the shares of urgency classes to the placement of a call."""

from typing import Protocol

from jackdawsail.proxy import metrics
from jackdawsail.proxy.calls import CallerCall
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.routing.placement import Choice, PlacedCall, Refusal, make_spread_refusal
from jackdawsail.routing.rank_shares import RankShares, call_work_seconds, max_wait_share
from jackdawsail.site.document import EngineClass, Route

PATIENCE_DIVISOR = 3  # callers honour times up to a third of what remains of their patience


class RankedCall(Protocol):
    """A call that needs an upstream, as far as its urgency decides on it."""

    service: str
    route: Route
    call: CallerCall
    is_begun: bool
    is_late: bool
    urgency: int | None

    @property
    def is_new(self) -> bool:
        """Returns whether this is the first choice for a call that can be in time."""


def make_placed_call(context: ProxyContext, call: RankedCall) -> PlacedCall:
    """Returns what placement uses of a call; a more urgent one may wait for longer."""
    placed = PlacedCall(call.route.target_seconds, context.settings.region, call.is_begun)
    shares = _shares_of(context, call)
    if shares is None or call.urgency is None or call.is_late:
        return placed
    standing = shares.standing(call.urgency, context.clock.seconds())
    return PlacedCall(
        placed.target_seconds,
        placed.region,
        placed.is_begun,
        max_wait_share=max_wait_share(shares.classes, call.urgency, standing),
        overtaken_share=standing.less_urgent_share,
    )


def is_over_share(context: ProxyContext, call: RankedCall) -> bool:
    """Returns whether a new call leaves the slots to others, unless there is ample room."""
    shares = _shares_of(context, call)
    if shares is None or call.urgency is None or not call.is_new:
        return False
    standing = shares.standing(call.urgency, context.clock.seconds())
    return not (standing.within_share or standing.within_floor)


def ask_for_share(context: ProxyContext, call: RankedCall, engine: EngineClass | None) -> None:
    """Counts the demand of a new call."""
    shares = _shares_of(context, call)
    if shares is None or call.urgency is None or engine is None or not call.is_new:
        return
    shares.ask(call.urgency, _work_seconds(call, engine), context.clock.seconds())


def record_placed(
    context: ProxyContext,
    call: RankedCall,
    engine: EngineClass | None,
    decision: Choice | Refusal,
) -> Choice | Refusal:
    """Counts what became of a new call; the least urgent ones return last after a refusal."""
    shares = _shares_of(context, call)
    if shares is None or call.urgency is None or engine is None or not call.is_new:
        return decision
    outcome = 'refused' if isinstance(decision, Refusal) else 'admitted'
    metrics.RANKED_CALLS.labels(str(call.urgency), outcome).inc()
    now_seconds = context.clock.seconds()
    if isinstance(decision, Choice):
        shares.record_admitted(call.urgency, _work_seconds(call, engine), now_seconds)
        return decision
    shares.refusals.record_refusal(now_seconds)
    longest_seconds = call.call.patience_seconds / PATIENCE_DIVISOR
    return make_spread_refusal(
        decision, call.urgency, shares.classes.count, longest_seconds, context.rng
    )


def _shares_of(context: ProxyContext, call: RankedCall) -> RankShares | None:
    return None if call.urgency is None else context.ranks.of(call.service)


def _work_seconds(call: RankedCall, engine: EngineClass) -> float:
    return call_work_seconds(engine, call.call.prompt_tokens, call.call.likely_answer_tokens)
