"""The evidence against traits of calls that may crash engines, shared by all entries (pure).

An engine that ends takes along every call on it, so one end counts against many traits. An
answer that began after it and goes well clears its traits. ``part_suspicion`` and
``request_suspicion`` decide when the ends show a trait to be bad.

All state is bounded, whatever the number of traits: the last MAX_ENDS ends, each with at most
MAX_CALLS_PER_END calls.
"""

import itertools
import math
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Set
from contextlib import contextmanager
from typing import Any

from jackdawsail.routing.ended_engines import EngineEnd
from jackdawsail.routing.part_suspicion import MIN_AGE_SECONDS, find_bad_part, is_risky
from jackdawsail.routing.request_suspicion import (
    find_bad_requests,
    is_request,
    is_risky_request,
)
from jackdawsail.wire.trait_messages import AgedEnd, AgedSoundAnswer, SuspectCall, TraitEvidence

REMEMBERED_SECONDS = 600.0
MAX_ENDS = 64
MAX_CALLS_PER_END = 32  # an engine has few more than its slots
MAX_SOUND = 2048
MAX_BLOCKED = 256


class TraitBlame:
    """The evidence against traits of calls, and the traits that are blocked.

    Entries report to it the ends of engines with the calls whose answers had just begun or
    were still waited for, and sound answers under traits that it suspects. Times are seconds
    on the clock of the process.

    Example::

        blame = TraitBlame()
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
        # By trait the number of ends that count against it.
        self._suspected: dict[str, int] = {}

    @property
    def blocked(self) -> tuple[str, ...]:
        """Returns the blocked traits, the earliest first."""
        return tuple(self._blocked)

    @property
    def unstored(self) -> tuple[str, ...]:
        """Returns the blocked traits that the stored block list does not have yet."""
        return tuple(trait for trait in self._blocked if trait not in self._stored)

    def blocked_among(self, traits: Iterable[str]) -> str:
        """Returns the first blocked trait among those of a call; empty if there is none."""
        if not self._blocked:
            return ''
        return next((trait for trait in traits if trait in self._blocked), '')

    @property
    def suspected(self) -> Set[str]:
        """Returns the traits that were involved in the end of an engine and are not cleared."""
        return self._suspected.keys()

    def suspected_among(self, traits: Iterable[str]) -> list[str]:
        """Returns the traits that were involved in the end of an engine and are not cleared."""
        return [trait for trait in traits if trait in self._suspected]

    def is_risky(self, call: SuspectCall) -> bool:
        """Returns whether a call may be the cause of the end that it was just part of."""
        ends = self._ends.values()
        suspected = self.suspected_among(call.traits)
        is_risky_again = any(
            is_risky_request(ends, each) for each in filter(is_request, suspected)
        )
        return is_risky_again or (bool(suspected) and is_risky(ends, call))

    def record_end(
        self, engine: str, ended_seconds: float, calls: Iterable[SuspectCall], now_seconds: float
    ) -> list[SuspectCall]:
        """Records the end of an engine; returns the calls that were not known yet."""
        self._drop_old_ends(now_seconds)
        end = self._ends.setdefault(engine, EngineEnd(ended_seconds))
        end.first_seen_seconds = min(end.first_seen_seconds, ended_seconds)
        unknown = {call.identity: call for call in calls if call.identity not in end.calls}
        added = list(unknown.values())
        traits = [trait for call in added for trait in call.traits]
        if end.explained or self.blocked_among(itertools.filterfalse(is_request, traits)):
            with self._counting(end):
                end.explain()
            return []
        added = added[: MAX_CALLS_PER_END - len(end.calls)]
        self._check_until_seconds = now_seconds + 2 * MIN_AGE_SECONDS
        with self._counting(end):
            for call in added:
                end.calls[call.identity] = call
                end.traits.update(trait for trait in call.traits if self._may_explain(trait, end))
            bad_request = end.bad_request or self.blocked_among(traits)
            if bad_request:
                end.explain_by_request(bad_request)
        return added

    def record_sound(self, trait: str, begun_seconds: float) -> bool:
        """Records an answer that went well; returns whether it clears a suspected trait.

        It says nothing about ends after the answer began, as a trait may turn bad.
        """
        cleared = [
            end
            for end in self._ends.values()
            if trait in end.traits and end.ended_seconds < begun_seconds
        ]
        for end in cleared:
            with self._counting(end):
                end.traits.discard(trait)
        # Remembered for ends whose reports arrive later.
        known_seconds = self._sound_seconds.get(trait, begun_seconds)
        self._sound_seconds[trait] = max(known_seconds, begun_seconds)
        _keep_newest(self._sound_seconds, MAX_SOUND)
        return bool(cleared)

    def find_bad(self, now_seconds: float) -> list[str]:
        """Blocks the traits that the evidence shows to be bad, and returns them.

        Call it after new evidence and, as a trait needs some age to be found bad, periodically.
        A bad part explains the ends of the requests that have it, so parts come first.
        """
        if now_seconds > self._check_until_seconds:
            return []
        bad: list[str] = []
        while part := find_bad_part(self._ends.values(), now_seconds):
            bad.append(part)
            self.block(part)
        requests = find_bad_requests(self._ends.values(), now_seconds)
        for request in requests:
            self.block(request)
        return bad + requests

    def block(self, trait: str) -> bool:
        """Blocks a trait, which explains the ends that it was involved in.

        Returns False if it is blocked already.
        """
        if trait in self._blocked:
            return False
        self._blocked[trait] = None
        _keep_newest(self._blocked, MAX_BLOCKED)
        for end in self._ends.values():
            if trait not in end.traits:
                continue
            with self._counting(end):
                if is_request(trait):
                    end.explain_by_request(trait)
                else:
                    end.explain()
        return True

    def apply_stored(self, revision: int, traits: Iterable[str]) -> bool:
        """Applies the stored block list if it is newer; returns whether it was.

        A trait that the list no longer has was lifted, so the evidence against it is dropped.
        """
        if revision <= self.stored_revision:
            return False
        stored = frozenset(traits)
        for trait in self._stored - stored:
            self._lift(trait, revision)
        for trait in sorted(stored):
            self.block(trait)
        self.stored_revision = revision
        self._stored = stored
        return True

    def merge(self, evidence: TraitEvidence, now_seconds: float) -> TraitEvidence:
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
            if self.record_sound(answer.trait, now_seconds - answer.begun_age_seconds)
        ]
        blocked = [
            trait
            for trait in evidence.blocked
            if not self._was_lifted_after(trait, evidence.revision) and self.block(trait)
        ]
        return TraitEvidence(evidence.revision, ends, sound, blocked)

    def snapshot(self, now_seconds: float) -> TraitEvidence:
        """Returns all evidence, for a process that has none."""
        ends = [
            AgedEnd(engine, now_seconds - end.ended_seconds, list(end.calls.values()))
            for engine, end in self._ends.items()
            if end.traits
        ]
        sound = [
            AgedSoundAnswer(trait, now_seconds - begun_seconds)
            for trait, begun_seconds in self._sound_seconds.items()
        ]
        return TraitEvidence(self.stored_revision, ends, sound, list(self._blocked))

    def _may_explain(self, trait: str, end: EngineEnd) -> bool:
        sound_seconds = self._sound_seconds.get(trait)
        return sound_seconds is None or sound_seconds <= end.ended_seconds

    def _lift(self, trait: str, revision: int) -> None:
        self._blocked.pop(trait, None)
        for end in self._ends.values():
            with self._counting(end):
                end.traits.discard(trait)
        self._lifted_revisions[trait] = revision
        _keep_newest(self._lifted_revisions, MAX_BLOCKED)

    def _is_outdated(self, call: SuspectCall, evidence: TraitEvidence) -> bool:
        """Returns whether a call is evidence against a trait from before that was lifted."""
        return any(self._was_lifted_after(trait, evidence.revision) for trait in call.traits)

    def _was_lifted_after(self, trait: str, revision: int) -> bool:
        return revision < self._lifted_revisions.get(trait, 0)

    def _drop_old_ends(self, now_seconds: float) -> None:
        oldest_seconds = now_seconds - REMEMBERED_SECONDS
        while self._ends:
            first, end = next(iter(self._ends.items()))
            is_old = end.ended_seconds <= oldest_seconds
            if len(self._ends) < MAX_ENDS and not is_old:
                return
            dropped = self._ends.pop(first if is_old else _least_useful(self._ends))
            with self._counting(dropped):
                dropped.traits.clear()

    @contextmanager
    def _counting(self, end: EngineEnd) -> Iterator[None]:
        """Counts what changes in the suspected traits of an end."""
        before = frozenset(end.traits)
        yield
        for cleared in before - end.traits:
            self._suspected[cleared] -= 1
            if not self._suspected[cleared]:
                del self._suspected[cleared]
        for added in end.traits - before:
            self._suspected[added] = self._suspected.get(added, 0) + 1


def _keep_newest(entries: OrderedDict[str, Any], most: int) -> None:
    while len(entries) > most:
        entries.popitem(last=False)


def _least_useful(ends: OrderedDict[str, EngineEnd]) -> str:
    """Returns the oldest engine whose end suspects no trait, or the oldest of all."""
    return next((engine for engine, end in ends.items() if not end.traits), next(iter(ends)))
