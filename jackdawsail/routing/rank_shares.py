"""Divides scarce engines between calls of different urgency.

This matters while calls that could be in time are refused and the ranks of a service's calls
differ. A queue has room for the calls with the longest objectives, which are the least urgent
ones, and they would take the slots from all others. So each urgency class gets a share of its
demand: first a floor, so that no class starves, and then what is left in the order of urgency.
Demand and capacity are those of all entries whose reports are recent. An entry without reports
divides by its own calls, as the shares depend on ratios only.

Demand is measured in seconds of an engine, since calls differ in what they cost.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import accumulate

from jackdawsail.routing.late_calls import Pressure
from jackdawsail.routing.placement import MAX_WAIT_SHARE
from jackdawsail.site.document import EngineClass

MAX_CLASSES = 4  # as many positions in the engines' own queue are used for calls in time
# Of what all classes get, by class; each kind must get well above half of it. The steps make up for
# calls that are overtaken in the engines' queues and end late, most of them of middle classes.
FLOOR_SHARES = (0.64, 0.6, 0.56, 0.52)
# Over the admitted work, so that a capacity that grows is found; the wait bounds the excess.
CAPACITY_HEADROOM = 1.05
BUCKET_SECONDS = 0.25
WINDOW_BUCKETS = 4  # a second, in which a class of some calls a second at each entry is counted
REPORT_VALID_SECONDS = 2.0  # five intervals between the reports of a site of usual size
RECOMPUTE_SECONDS = 0.1
MIN_ASKED_CALLS = 10  # in a window, at all entries; fewer say nothing of the demand
MAX_CREDIT_CALLS = 2.0  # bounds what a class may catch up at once after a pause
# Of the objective, the longest wait of the most and of the least urgent class.
MOST_URGENT_WAIT_SHARE = 0.5
LEAST_URGENT_WAIT_SHARE = 0.15
NOTHING: tuple[float, ...] = (0,) * MAX_CLASSES
EVERYTHING: tuple[float, ...] = (1,) * MAX_CLASSES
MAX_SIZE = 4.0  # times the usual size; a stated size beyond it is not believed


Rank = tuple[int, int]  # that of the customer, and among equal ones that of the route


@dataclass(frozen=True, slots=True)
class UrgencyClasses:
    """The ranks of a service's calls, ascending and without repeats.

    Calls are counted by class, not by rank: classes are few, whatever the document says.

    Example::

        UrgencyClasses(((0, 0), (1, 0), (1, 7))).class_of((1, 7)) == 2
    """

    ranks: tuple[Rank, ...]

    @property
    def count(self) -> int:
        """Returns the number of classes."""
        return min(len(self.ranks), MAX_CLASSES)

    def class_of(self, rank: Rank) -> int:
        """Returns the class of a rank, 0 the most urgent; one not listed joins the next one."""
        position = sum(listed < rank for listed in self.ranks)
        position = min(position, len(self.ranks) - 1)
        return position * self.count // len(self.ranks)


@dataclass(frozen=True, slots=True)
class Demand:
    """What was asked for and admitted in a window, by class, in seconds of an engine."""

    asked_seconds: tuple[float, ...] = NOTHING
    admitted_seconds: tuple[float, ...] = NOTHING
    asked_calls: int = 0


@dataclass(frozen=True, slots=True)
class Fractions:
    """The fractions of each class's demand: to admit, and to admit in any case."""

    shares: tuple[float, ...] = EVERYTHING
    floors: tuple[float, ...] = EVERYTHING
    # Of the admitted work, the part of classes that are less urgent.
    less_urgent: tuple[float, ...] = NOTHING


@dataclass(frozen=True, slots=True)
class Standing:
    """Where a call stands: whether engines are scarce, and its class's share and floor reached.

    ``less_urgent_share`` is the part of the calls at engines that are less urgent.
    """

    is_scarce: bool = False
    within_share: bool = True
    within_floor: bool = False
    less_urgent_share: float = 0


def admitted_fractions(asked: Sequence[float], capacity: float) -> tuple[float, ...]:
    """Returns the fraction of each class's demand that a capacity allows, most urgent first.

    What is admitted never exceeds the capacity, no class gets a smaller fraction than a less
    urgent one, and each gets at least its part in FLOOR_SHARES of what all get together.

    Example::

        admitted_fractions((1, 1), 1) == (0.7, 0.3)  # 0.32 + 0.38, 0.3
    """
    total = sum(asked)
    if capacity >= total:
        return tuple(1.0 for _ in asked)
    floors = _floors(capacity / total)
    rest = capacity - sum(floor * demand for floor, demand in zip(floors, asked, strict=False))
    fractions = []
    for floor, demand in zip(floors, asked, strict=False):
        wanted = demand * (1 - floor)
        taken = min(wanted, rest)
        rest -= taken
        taken_share = taken / wanted if wanted else float(rest > 0)
        fractions.append(floor + (1 - floor) * taken_share)
    return tuple(fractions)


def max_wait_share(classes: UrgencyClasses, urgency: int, standing: Standing) -> float:
    """Returns the share of its objective that a call of a class may wait at an engine.

    It is not under the usual one while engines are not scarce.
    """
    # Squared, so that of three classes the middle one waits nearly as long as the most urgent.
    position = (urgency / max(1, classes.count - 1)) ** 2
    share = MOST_URGENT_WAIT_SHARE
    share -= (MOST_URGENT_WAIT_SHARE - LEAST_URGENT_WAIT_SHARE) * position
    return share if standing.is_scarce else max(share, MAX_WAIT_SHARE)


def call_work_seconds(engine: EngineClass, prompt_tokens: int, answer_tokens: int) -> float:
    """Returns what a call costs an engine with full batches; a size that is not stated is usual."""
    prompt = _believed(prompt_tokens, engine.usual_prompt_tokens)
    answer = _believed(answer_tokens, engine.usual_answer_tokens)
    slots = max(1, engine.slots)
    step_seconds = engine.step_seconds + engine.step_per_request_seconds * slots
    read_seconds = prompt / (engine.prompt_tokens_per_second or float('inf'))
    return max(0.001, read_seconds + answer * step_seconds / slots)


@dataclass(slots=True)
class _Bucket:
    """What was asked for and admitted in an interval, counted in place as it happens."""

    number: int
    asked_seconds: list[float] = field(default_factory=lambda: list(NOTHING))
    admitted_seconds: list[float] = field(default_factory=lambda: list(NOTHING))
    asked_calls: int = 0


@dataclass(slots=True)
class DemandRecord:
    """Counts the work that was asked for and admitted at this entry in the last window."""

    _buckets: deque[_Bucket] = field(default_factory=lambda: deque(maxlen=WINDOW_BUCKETS))

    def record_asked(self, urgency: int, work_seconds: float, now_seconds: float) -> None:
        """Counts a call that asks for an engine now."""
        bucket = self._bucket_at(now_seconds)
        bucket.asked_seconds[urgency] += work_seconds
        bucket.asked_calls += 1

    def record_admitted(self, urgency: int, work_seconds: float, now_seconds: float) -> None:
        """Counts a call that is admitted now."""
        self._bucket_at(now_seconds).admitted_seconds[urgency] += work_seconds

    def total(self, now_seconds: float) -> Demand:
        """Returns the demand of the last window."""
        first = int(now_seconds / BUCKET_SECONDS) - WINDOW_BUCKETS
        return sum_demands(bucket for bucket in self._buckets if bucket.number > first)

    def _bucket_at(self, now_seconds: float) -> _Bucket:
        number = int(now_seconds / BUCKET_SECONDS)
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]


def sum_demands(demands: Iterable[Demand | _Bucket]) -> Demand:
    """Returns the sum of the demand of several entries or intervals."""
    listed = list(demands)
    if not listed:
        return Demand()
    return Demand(
        tuple(map(sum, zip(*(each.asked_seconds for each in listed), strict=True))),
        tuple(map(sum, zip(*(each.admitted_seconds for each in listed), strict=True))),
        sum(each.asked_calls for each in listed),
    )


@dataclass(slots=True)
class RankShares:
    """The shares of one service's urgency classes at one entry."""

    classes: UrgencyClasses
    own: DemandRecord = field(default_factory=DemandRecord)
    refusals: Pressure = field(default_factory=Pressure)
    fractions: Fractions = field(default_factory=Fractions)
    _reports: dict[str, tuple[float, Demand]] = field(default_factory=dict)
    _refused_elsewhere: Pressure = field(default_factory=Pressure)
    _computed_seconds: float = float('-inf')
    _share_credits: list[float] = field(default_factory=lambda: list(EVERYTHING))
    _floor_credits: list[float] = field(default_factory=lambda: list(EVERYTHING))

    def is_scarce(self, now_seconds: float) -> bool:
        """Returns whether a call that could be in time was refused at any entry recently."""
        return self.refusals.is_active(now_seconds) or self._refused_elsewhere.is_active(
            now_seconds
        )

    def ask(self, urgency: int, work_seconds: float, now_seconds: float) -> None:
        """Counts a new call, and credits its class with the part of a call that it may admit."""
        self.own.record_asked(urgency, work_seconds, now_seconds)
        self._refresh(now_seconds)
        _credit(self._share_credits, urgency, self.fractions.shares[urgency])
        _credit(self._floor_credits, urgency, self.fractions.floors[urgency])

    def record_admitted(self, urgency: int, work_seconds: float, now_seconds: float) -> None:
        """Counts a new call that is sent to an engine."""
        self.own.record_admitted(urgency, work_seconds, now_seconds)
        _credit(self._share_credits, urgency, -1)
        _credit(self._floor_credits, urgency, -1)

    def standing(self, urgency: int, now_seconds: float) -> Standing:
        """Returns where the next call of a class stands."""
        if not self.is_scarce(now_seconds):
            return Standing()
        return Standing(
            is_scarce=True,
            within_share=self._share_credits[urgency] >= 0,
            within_floor=self._floor_credits[urgency] >= 0,
            less_urgent_share=self.fractions.less_urgent[urgency],
        )

    def receive(self, entry: str, demand: Demand, now_seconds: float, *, refuses: bool) -> None:
        """Records the report of another entry and whether that one has refused calls."""
        self._reports[entry] = (now_seconds, demand)
        if refuses:
            self._refused_elsewhere.record_refusal(now_seconds)

    def _refresh(self, now_seconds: float) -> None:
        if now_seconds - self._computed_seconds < RECOMPUTE_SECONDS:
            return
        self._computed_seconds = now_seconds
        self._reports = {
            entry: report
            for entry, report in self._reports.items()
            if now_seconds - report[0] < REPORT_VALID_SECONDS
        }
        if not self.is_scarce(now_seconds):
            self.fractions = Fractions()
            return
        demands = [demand for _, demand in self._reports.values()]
        demands.append(self.own.total(now_seconds))
        self.fractions = make_fractions(sum_demands(demands))


def make_fractions(demand: Demand) -> Fractions:
    """Returns the fractions for the demand at all entries."""
    admitted = sum(demand.admitted_seconds)
    asked = sum(demand.asked_seconds)
    if demand.asked_calls < MIN_ASKED_CALLS or not admitted:
        return Fractions()
    capacity = admitted * CAPACITY_HEADROOM
    more_urgent = accumulate(demand.admitted_seconds)
    floors = _floors(capacity / asked)
    return Fractions(
        shares=_in_order(demand, capacity, floors),
        floors=floors,
        less_urgent=tuple(max(0, 1 - upto / admitted) for upto in more_urgent),
    )


def _floors(admitted_share: float) -> tuple[float, ...]:
    """Returns the floor of each class, if all get a share of their demand together."""
    return tuple(min(1, part * admitted_share) for part in FLOOR_SHARES)


def _in_order(demand: Demand, capacity: float, floors: tuple[float, ...]) -> tuple[float, ...]:
    """Returns the fractions, none over what each more urgent class was admitted of its demand.

    Waits may refuse calls of a class within its share, and less urgent calls are not to get what
    those left.
    """
    most = 1.0
    shares = []
    fractions = admitted_fractions(demand.asked_seconds, capacity)
    amounts = zip(demand.asked_seconds, demand.admitted_seconds, strict=True)
    for fraction, floor, (asked, admitted) in zip(fractions, floors, amounts, strict=True):
        shares.append(max(floor, min(fraction, most)))
        if asked:
            most = min(most, admitted / asked)
    return tuple(shares)


def _believed(tokens: int, usual: float) -> float:
    return min(float(tokens), MAX_SIZE * usual) if tokens > 0 else usual


def _credit(credits: list[float], urgency: int, calls: float) -> None:
    """Adds to the credit of a class, within MAX_CREDIT_CALLS on both sides."""
    credits[urgency] = max(-MAX_CREDIT_CALLS, min(MAX_CREDIT_CALLS, credits[urgency] + calls))
