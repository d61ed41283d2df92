"""What a call of a given size costs an engine, and what an engine has to do before it.

This matters when prompts differ several times in length and engines in speed. A long prompt
at a slow engine gets its first event after its objective even without a queue, several of them
read in the same pass are a pause for every stream there, and what an engine holds must fit
into its memory. All of it is predicted from the call's own token counts, the engine's class
and its last report; at engines of the usual speed calls are placed by their queues alone.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from jackdawsail.site.document import EngineClass

SLOW_PACE = 1.25  # smaller differences in speed are within the noise of a pass
# The least part of the usual prompt that a call counts as: callers may state too little.
MIN_SIZE_SHARE = 0.25
REPORTED_SECONDS = 1.0  # for which sends are kept; older ones are in any valid report
AMPLE_ROOM_SHARE = 0.75  # of the slots in use; below it a late call displaces no other


@dataclass(frozen=True, slots=True)
class CallSize:
    """The size of a call in tokens: its prompt, and the answer that is likely.

    Example::

        size_of(1200, 300, 0, engine).answer_tokens == min(300, engine.usual_answer_tokens)
    """

    prompt_tokens: float
    answer_tokens: float

    @property
    def held_tokens(self) -> float:
        """Returns the memory that the call needs by its end."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(slots=True)
class SentSizes:
    """The sizes of the calls that this entry sent to one engine within REPORTED_SECONDS."""

    _sent: deque[tuple[float, CallSize]] = field(default_factory=deque)

    def record(self, size: CallSize, now_seconds: float) -> None:
        """Records a call that is sent now."""
        self._sent.append((now_seconds, size))
        while now_seconds - self._sent[0][0] > REPORTED_SECONDS:
            self._sent.popleft()

    def since(self, since_seconds: float) -> Iterator[CallSize]:
        """Yields the sizes of the calls sent after a time, the newest first."""
        for sent_seconds, size in reversed(self._sent):
            if sent_seconds <= since_seconds:
                return
            yield size


@dataclass(frozen=True, slots=True)
class EngineState:
    """What is known of an engine now.

    ``running`` and ``memory_share`` are from its last report, ``unreported`` the sizes of the
    calls of this entry since then, and ``entries`` the number of entries that may send alike.
    """

    pace: float
    running: float
    slots: int
    memory_share: float
    unreported: tuple[CallSize, ...] = ()
    entries: int = 1

    @property
    def is_slow(self) -> bool:
        """Returns whether the engine is slower than engines of its class usually are."""
        return self.pace > SLOW_PACE


def size_of(
    prompt_tokens: float, most_answer_tokens: float, likely_tokens: float, engine: EngineClass
) -> CallSize:
    """Returns the size of a call from what its caller states; 0 means that it states nothing.

    A statement is not trusted beyond what an engine can hold, nor below a part of the usual
    prompt, so that a caller gains nothing by a false one.
    """
    least = MIN_SIZE_SHARE * engine.usual_prompt_tokens
    prompt = max(least, prompt_tokens or engine.usual_prompt_tokens)
    answer = likely_tokens or engine.usual_answer_tokens
    if most_answer_tokens > 0:
        answer = min(answer, most_answer_tokens)
    most = engine.memory_tokens or prompt + answer
    return CallSize(min(prompt, most), min(answer, most))


@dataclass(frozen=True, slots=True)
class SizePrediction:
    """What the size of a call means at one engine.

    ``own_seconds`` is the time from its slot to its first event, ``delay_by_pace_seconds`` the
    part of it that is due to the engine's present pace, and ``pause_seconds`` the pause that the
    engine's other streams have when it reads the prompt.
    """

    fits_memory: bool = True
    is_slow: bool = False
    has_room_to_spare: bool = False
    own_seconds: float = 0
    delay_by_pace_seconds: float = 0
    pause_seconds: float = 0


UNKNOWN = SizePrediction()  # for calls without a size, and engines without a recent report


def predict(
    size: CallSize, engine: EngineClass, state: EngineState, pass_seconds: float
) -> SizePrediction:
    """Returns what the size of a call means at an engine; ``pass_seconds`` is at the usual pace.

    The prompt is read between the steps of the pass that generates the first event, together
    with the prompts that this entry has sent since the last report.
    """
    pace = state.pace if state.is_slow else 1.0
    usual_seconds = pass_seconds + _read_seconds(size, engine)
    sent_seconds = sum(_read_seconds(sent, engine) for sent in state.unreported)
    return SizePrediction(
        fits_memory=fits_memory(size, engine, state),
        is_slow=state.is_slow,
        has_room_to_spare=state.running + len(state.unreported) < AMPLE_ROOM_SHARE * state.slots,
        own_seconds=pace * usual_seconds,
        delay_by_pace_seconds=(pace - 1) * usual_seconds,
        pause_seconds=pace * (usual_seconds + sent_seconds),
    )


def fits_memory(size: CallSize, engine: EngineClass, state: EngineState) -> bool:
    """Returns whether an engine can hold a call beside what it holds and what is on its way.

    Running calls grow by their answers. Since the last report every entry may have sent as many
    calls as this one, of which the engine starts as many as it has free slots.
    """
    if not engine.memory_tokens:
        return True
    free_slots = max(0, state.slots - state.running)
    others = min(len(state.unreported) * (state.entries - 1), free_slots)
    usual_tokens = engine.usual_prompt_tokens + engine.usual_answer_tokens
    on_way_tokens = sum(sent.held_tokens for sent in state.unreported) + others * usual_tokens
    held_tokens = state.memory_share * engine.memory_tokens
    growth_tokens = state.running * engine.usual_answer_tokens
    needed_tokens = held_tokens + growth_tokens + on_way_tokens + size.held_tokens
    return needed_tokens <= engine.memory_tokens


def _read_seconds(size: CallSize, engine: EngineClass) -> float:
    if not engine.prompt_tokens_per_second:
        return 0
    return size.prompt_tokens / engine.prompt_tokens_per_second
