"""Applies the shares of urgency classes to the placement of a call."""

from dataclasses import dataclass, replace

from jackdawsail.proxy import metrics
from jackdawsail.proxy.calls import CallerCall
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.routing.placement import Choice, PlacedCall, Refusal, make_spread_refusal
from jackdawsail.routing.rank_shares import RankShares, call_work_seconds, max_wait_share
from jackdawsail.site.document import EngineClass

PATIENCE_DIVISOR = 3  # callers honour times up to a third of what remains of their patience


@dataclass(frozen=True, slots=True)
class RankedCall:
    """A call of a service whose calls differ in rank, as far as its urgency decides on it.

    ``is_new`` is true at the first choice for a call that can be in time.
    """

    service: str
    urgency: int
    is_new: bool
    call: CallerCall

    def work_seconds(self, engine: EngineClass) -> float:
        """Returns what the call costs an engine."""
        return call_work_seconds(engine, self.call.prompt_tokens, self.call.likely_answer_tokens)


def extend_wait(context: ProxyContext, call: RankedCall | None, placed: PlacedCall) -> PlacedCall:
    """Returns the call with the wait that its urgency allows, and what it overtakes."""
    shares = _shares_of(context, call)
    if shares is None or call is None:
        return placed
    standing = shares.standing(call.urgency, context.clock.seconds())
    return replace(
        placed,
        max_wait_share=max_wait_share(shares.classes, call.urgency, standing),
        overtaken_share=standing.less_urgent_share,
    )


def is_over_share(context: ProxyContext, call: RankedCall | None) -> bool:
    """Returns whether a new call leaves the slots to others, unless there is ample room."""
    shares = _shares_of(context, call)
    if shares is None or call is None or not call.is_new:
        return False
    standing = shares.standing(call.urgency, context.clock.seconds())
    return not (standing.within_share or standing.within_floor)


def ask_for_share(
    context: ProxyContext, call: RankedCall | None, engine: EngineClass | None
) -> None:
    """Counts the demand of a new call."""
    shares = _shares_of(context, call)
    if shares is not None and call is not None and engine is not None and call.is_new:
        shares.ask(call.urgency, call.work_seconds(engine), context.clock.seconds())


def record_placed(
    context: ProxyContext,
    call: RankedCall | None,
    engine: EngineClass | None,
    decision: Choice | Refusal,
) -> Choice | Refusal:
    """Counts what became of a new call; the least urgent ones return last after a refusal."""
    shares = _shares_of(context, call)
    if shares is None or call is None or engine is None or not call.is_new:
        return decision
    now_seconds = context.clock.seconds()
    if isinstance(decision, Choice):
        metrics.RANKED_CALLS.labels(str(call.urgency), 'admitted').inc()
        shares.record_admitted(call.urgency, call.work_seconds(engine), now_seconds)
        return decision
    metrics.RANKED_CALLS.labels(str(call.urgency), 'refused').inc()
    shares.refusals.record_refusal(now_seconds)
    longest_seconds = call.call.patience_seconds / PATIENCE_DIVISOR
    position = (call.urgency, shares.classes.count)
    return make_spread_refusal(decision.reason, position, longest_seconds, context.rng)


def _shares_of(context: ProxyContext, call: RankedCall | None) -> RankShares | None:
    return None if call is None else context.ranks.of(call.service)
