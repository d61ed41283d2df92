"""Prefix affinity: weighs a prompt prefix that an engine may still hold against the wait there.

The hint is the engine that the last request with the same prefix was sent to. It is not taken
from the engines' cache events, as they arrive late and with gaps. All is weighed in seconds: the
time to read the shared tokens, times the probability that the engine still holds them, against
the extra wait there and the risk that the engine is full when the request arrives. A wrong hint
costs one prefill; it fails no request.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b

MAX_PREFIXES = 20_000
MARK_CHARACTERS = (64, 256, 1024, 4096)
CHARACTERS_PER_TOKEN = 4
HELD_HALF_LIFE_SECONDS = 60.0
UNKNOWN_MEMORY_SHARE = 0.5
# After this time a second candidate is asked if the first has not granted.
FULL_SECONDS = 0.15
# Engines grant until they are full, so that only the last slots are at risk.
FULL_POWER = 8
# For engines that report no speed; above that of usual ones, so that less is saved than assumed.
DEFAULT_READ_TOKENS_PER_SECOND = 30_000.0


class HintResult(StrEnum):
    """Whether a hint is used, or why it is not."""

    used = 'used'
    gone = 'gone'
    restarted = 'restarted'
    full = 'full'
    wait = 'wait'


@dataclass(frozen=True, slots=True)
class PrefixMark:
    """The digest of a prefix and the number of its tokens."""

    digest: str
    tokens: float


@dataclass(frozen=True, slots=True)
class PrefixRun:
    """Where a prefix ran last; ``generation`` changes with its weights and its process."""

    engine: str
    generation: str
    at_seconds: float


@dataclass(frozen=True, slots=True)
class PrefixEngine:
    """An engine that may run the request; ``memory_share`` is None if it is not known."""

    name: str
    generation: str
    busy_share: float
    wait_seconds: float = 0
    read_tokens_per_second: float = 0
    memory_share: float | None = None


@dataclass(frozen=True, slots=True)
class Hint:
    """The last run of the longest known prefix of a request."""

    run: PrefixRun
    tokens: float


class PrefixAffinity:
    """Maps each back end and prefix to its last run, up to MAX_PREFIXES."""

    def __init__(self) -> None:
        self._runs: OrderedDict[tuple[str, str], PrefixRun] = OrderedDict()

    def record_run(self, backend: str, marks: Sequence[PrefixMark], run: PrefixRun) -> None:
        """Records the engine that a request with these prefixes was sent to."""
        for mark in marks:
            key = (backend, mark.digest)
            self._runs[key] = run
            self._runs.move_to_end(key)
            if len(self._runs) > MAX_PREFIXES:
                self._runs.popitem(last=False)

    def find(self, backend: str, marks: Sequence[PrefixMark]) -> Hint | None:
        """Returns the last run of the longest known prefix; ``marks`` are in order of length."""
        for mark in reversed(marks):
            run = self._runs.get((backend, mark.digest))
            if run is not None:
                return Hint(run, mark.tokens)
        return None


def make_marks(prompt: str) -> tuple[PrefixMark, ...]:
    """Returns the marks of a prompt's prefixes that are as long as MARK_CHARACTERS.

    A shorter prompt has one mark, of all of it.
    """
    lengths = [length for length in MARK_CHARACTERS if length <= len(prompt)]
    hasher, hashed_length, marks = blake2b(digest_size=8), 0, []
    for length in lengths or (len(prompt),):
        hasher.update(prompt[hashed_length:length].encode('utf8', 'replace'))
        hashed_length = length
        marks.append(PrefixMark(hasher.hexdigest(), length / CHARACTERS_PER_TOKEN))
    return tuple(marks)


def expected_saving_seconds(hint: Hint, engine: PrefixEngine, now_seconds: float) -> float:
    """Returns the time that the engine is expected to save, less the risk that it is full.

    What an engine holds is forgotten with its age, faster the more of its memory is in use, and
    all at once with another version or a restart.
    """
    if hint.run.generation != engine.generation:
        return 0
    memory_share = UNKNOWN_MEMORY_SHARE if engine.memory_share is None else engine.memory_share
    free_share = max(0, 1 - memory_share)
    age_seconds = max(0, now_seconds - hint.run.at_seconds)
    held_probability = free_share * 0.5 ** (age_seconds / HELD_HALF_LIFE_SECONDS)
    read_speed = engine.read_tokens_per_second or DEFAULT_READ_TOKENS_PER_SECOND
    return held_probability * hint.tokens / read_speed - _full_risk_seconds(engine)


def weigh_hint(hint: Hint, engines: Sequence[PrefixEngine], now_seconds: float) -> HintResult:
    """Returns whether the engine of a hint is expected to answer before the best other one."""
    hinted = next((engine for engine in engines if engine.name == hint.run.engine), None)
    if hinted is None:
        return HintResult.gone
    if hinted.generation != hint.run.generation:
        return HintResult.restarted
    if hinted.busy_share >= 1:
        return HintResult.full
    saving_seconds = expected_saving_seconds(hint, hinted, now_seconds)
    least_seconds = min(engine.wait_seconds + _full_risk_seconds(engine) for engine in engines)
    is_sooner = hinted.wait_seconds - saving_seconds < least_seconds
    return HintResult.used if is_sooner else HintResult.wait


def _full_risk_seconds(engine: PrefixEngine) -> float:
    return FULL_SECONDS * min(1, engine.busy_share) ** FULL_POWER
