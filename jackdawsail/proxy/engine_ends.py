"""Finds out whether an engine has ended when calls on it are broken off.

A broken answer has many causes. Its engine has ended if its host refuses connections to it
afterwards. Without an answer of the host it may be cut off or without power, which no call
is to blame for, and an engine that was leaving has ended as planned.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from jackdawsail.clocks import Clock
from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.routing.upstreams import Upstream
from jackdawsail.wire.trait_messages import SuspectCall

MAX_KNOWN_ENDS = 64

OnEnded = Callable[[Upstream, float, list[SuspectCall]], None]
OnKnown = Callable[[], None]


@dataclass(slots=True)
class _Check:
    """The calls that were broken off at an engine while it is checked."""

    upstream: Upstream
    broken_seconds: float
    calls: list[SuspectCall] = field(default_factory=list)
    waiting: list[OnKnown] = field(default_factory=list)


@dataclass(slots=True)
class EngineEnds:
    """Checks the engines of broken calls.

    ``on_ended`` gets each engine that has ended, when its calls broke off, and the calls.
    """

    clock: Clock
    pool: ChannelPool
    on_ended: OnEnded
    _checks: dict[str, _Check] = field(default_factory=dict)
    _ended_seconds: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def call_broken(self, upstream: Upstream, call: SuspectCall, on_known: OnKnown) -> None:
        """Records a call that broke off early; ``on_known`` is called once the cause is known."""
        engine = upstream.incarnation
        if engine in self._ended_seconds:
            self.on_ended(upstream, self._ended_seconds[engine], [call])
            on_known()
            return
        if not upstream.accepts_calls(self.clock.seconds()):
            # It has ended as planned, or wants to be left alone.
            on_known()
            return
        check = self._checks.get(engine)
        if check is None:
            check = _Check(upstream, self.clock.seconds())
            self._checks[engine] = check
            address = upstream.registration.address
            self.pool.check_refused(address, partial(self._checked, engine))
        check.calls.append(call)
        check.waiting.append(on_known)

    def _checked(self, engine: str, refused: bool) -> None:
        check = self._checks.pop(engine)
        if refused and not check.upstream.registration.leaving:
            self._ended_seconds[engine] = check.broken_seconds
            if len(self._ended_seconds) > MAX_KNOWN_ENDS:
                self._ended_seconds.popitem(last=False)
            self.on_ended(check.upstream, check.broken_seconds, check.calls)
        for on_known in check.waiting:
            on_known()
