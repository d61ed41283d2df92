"""The evidence against parts of prompts that may crash engines, shared by all entries (pure).

An engine that ends takes along every call on it, so one end speaks against many parts. An
answer that began after it and goes well speaks for its parts. ``part_suspicion`` decides when
the ends show a part to be bad.

All state is bounded, whatever the number of parts: the last MAX_ENDS ends, each with at most
MAX_CALLS_PER_END calls.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from typing import Any

from jackdawsail.routing.part_suspicion import MIN_AGE_SECONDS, EngineEnd, find_bad_part, is_risky
from jackdawsail.wire.part_messages import AgedEnd, AgedSoundAnswer, PartEvidence, SuspectCall

REMEMBERED_SECONDS = 600.0
MAX_ENDS = 64
MAX_CALLS_PER_END = 32  # an engine has few more than its slots
MAX_SOUND = 2048
MAX_BLOCKED = 256


class PartBlame:
    """The evidence against parts of prompts, and the parts that are blocked.

    Entries report to it the ends of engines with the calls whose answers had just begun or
    were still waited for, and sound answers under parts that it suspects. Times are seconds
    on the clock of the process.

    Example::

        blame = PartBlame()
        for second in (1, 2, 3):
            call = SuspectCall(f'own{second}', ['shared', 'bad'], just_begun=True)
            blame.record_end(f'i-{second}', second, [call], second)
            blame.record_sound('shared', second + 0.1)
        blame.find_bad(3) == ['bad']
    """

    def __init__(self) -> None:
        self._ends: OrderedDict[str, EngineEnd] = OrderedDict()
        self._sound_seconds: OrderedDict[str, float] = OrderedDict()
        self._blocked: OrderedDict[str, None] = OrderedDict()
        self._stored: frozenset[str] = frozenset()
        self._lifted_revisions: OrderedDict[str, int] = OrderedDict()
        self.stored_revision = 0
        self._check_until_seconds = -math.inf

    @property
    def blocked(self) -> tuple[str, ...]:
        """Returns the blocked parts, the earliest first."""
        return tuple(self._blocked)

    @property
    def unstored(self) -> tuple[str, ...]:
        """Returns the blocked parts that the stored block list does not have yet."""
        return tuple(part for part in self._blocked if part not in self._stored)

    def blocked_among(self, parts: Iterable[str]) -> str:
        """Returns the first blocked part of a prompt; empty if there is none."""
        if not self._blocked:
            return ''
        return next((part for part in parts if part in self._blocked), '')

    def suspected_among(self, parts: Iterable[str]) -> list[str]:
        """Returns the parts that were involved in the end of an engine."""
        if not self._ends:
            return []
        return [part for part in parts if any(part in end.parts for end in self._ends.values())]

    def is_risky(self, call: SuspectCall) -> bool:
        """Returns whether a call may be the cause of the end that it was just part of."""
        return bool(self.suspected_among(call.shared_parts)) and is_risky(
            self._ends.values(), call
        )

    def record_end(
        self, engine: str, ended_seconds: float, calls: Iterable[SuspectCall], now_seconds: float
    ) -> list[SuspectCall]:
        """Records the end of an engine; returns the calls that were not known yet."""
        self._drop_old_ends(now_seconds)
        end = self._ends.setdefault(engine, EngineEnd(ended_seconds))
        added = [call for call in calls if call.own_part not in end.calls]
        if end.explained or any(self.blocked_among(call.shared_parts) for call in added):
            end.explain()
            return []
        added = added[: MAX_CALLS_PER_END - len(end.calls)]
        self._check_until_seconds = now_seconds + 2 * MIN_AGE_SECONDS
        for call in added:
            end.calls[call.own_part] = call
            end.parts.update(part for part in call.shared_parts if self._may_explain(part, end))
        return added

    def record_sound(self, part: str, begun_seconds: float) -> bool:
        """Records an answer that went well; returns whether that speaks for a suspected part.

        It says nothing about ends after the answer began, as a part may turn bad.
        """
        cleared = [
            end
            for end in self._ends.values()
            if part in end.parts and end.ended_seconds < begun_seconds
        ]
        for end in cleared:
            end.parts.discard(part)
        # Remembered for ends whose reports arrive later.
        known_seconds = self._sound_seconds.get(part, begun_seconds)
        self._sound_seconds[part] = max(known_seconds, begun_seconds)
        _keep_newest(self._sound_seconds, MAX_SOUND)
        return bool(cleared)

    def find_bad(self, now_seconds: float) -> list[str]:
        """Blocks the parts that the evidence shows to be bad, and returns them.

        Call it after new evidence and, as a part needs some age to be found bad, periodically.
        """
        if now_seconds > self._check_until_seconds:
            return []
        bad: list[str] = []
        while part := find_bad_part(self._ends.values(), now_seconds):
            bad.append(part)
            self.block(part)
        return bad

    def block(self, part: str) -> bool:
        """Blocks a part, which explains the ends that it was involved in.

        Returns False if it is blocked already.
        """
        if part in self._blocked:
            return False
        self._blocked[part] = None
        _keep_newest(self._blocked, MAX_BLOCKED)
        for end in self._ends.values():
            if part in end.parts:
                end.explain()
        return True

    def apply_stored(self, revision: int, parts: Iterable[str]) -> bool:
        """Applies the stored block list if it is newer; returns whether it was.

        A part that the list no longer has was lifted, so the evidence against it is dropped.
        """
        if revision <= self.stored_revision:
            return False
        stored = frozenset(parts)
        for part in self._stored - stored:
            self._lift(part, revision)
        for part in sorted(stored):
            self.block(part)
        self.stored_revision = revision
        self._stored = stored
        return True

    def merge(self, evidence: PartEvidence, now_seconds: float) -> PartEvidence:
        """Records the evidence of another process; returns what of it was new."""
        ends = []
        for aged in evidence.ends:
            calls = [call for call in aged.calls if not self._is_outdated(call, evidence)]
            ended_seconds = now_seconds - aged.age_seconds
            added = self.record_end(aged.engine, ended_seconds, calls, now_seconds)
            if added:
                ends.append(AgedEnd(aged.engine, aged.age_seconds, added))
        sound = [
            answer
            for answer in evidence.sound
            if self.record_sound(answer.part, now_seconds - answer.begun_age_seconds)
        ]
        blocked = [
            part
            for part in evidence.blocked
            if not self._was_lifted_after(part, evidence.revision) and self.block(part)
        ]
        return PartEvidence(evidence.revision, ends, sound, blocked)

    def snapshot(self, now_seconds: float) -> PartEvidence:
        """Returns all evidence, for a process that has none."""
        ends = [
            AgedEnd(engine, now_seconds - end.ended_seconds, list(end.calls.values()))
            for engine, end in self._ends.items()
            if end.parts
        ]
        sound = [
            AgedSoundAnswer(part, now_seconds - begun_seconds)
            for part, begun_seconds in self._sound_seconds.items()
        ]
        return PartEvidence(self.stored_revision, ends, sound, list(self._blocked))

    def _may_explain(self, part: str, end: EngineEnd) -> bool:
        sound_seconds = self._sound_seconds.get(part)
        return sound_seconds is None or sound_seconds <= end.ended_seconds

    def _lift(self, part: str, revision: int) -> None:
        self._blocked.pop(part, None)
        for end in self._ends.values():
            end.parts.discard(part)
        self._lifted_revisions[part] = revision
        _keep_newest(self._lifted_revisions, MAX_BLOCKED)

    def _is_outdated(self, call: SuspectCall, evidence: PartEvidence) -> bool:
        """Returns whether a call is evidence against a part from before that was lifted."""
        return any(self._was_lifted_after(part, evidence.revision) for part in call.shared_parts)

    def _was_lifted_after(self, part: str, revision: int) -> bool:
        return revision < self._lifted_revisions.get(part, 0)

    def _drop_old_ends(self, now_seconds: float) -> None:
        oldest_seconds = now_seconds - REMEMBERED_SECONDS
        while self._ends:
            first = next(iter(self._ends.values()))
            if len(self._ends) < MAX_ENDS and first.ended_seconds > oldest_seconds:
                return
            self._ends.popitem(last=False)


def _keep_newest(entries: OrderedDict[str, Any], most: int) -> None:
    while len(entries) > most:
        entries.popitem(last=False)
