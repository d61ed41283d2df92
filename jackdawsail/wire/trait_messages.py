"""Messages about traits of calls that may crash engines, between entries and control hosts.

A trait is what a call has in common with others: a part of its prompt, or the whole request,
which its repeats share.
"""

from dataclasses import dataclass, field

from jackdawsail.wire.codec import message


@dataclass(frozen=True, slots=True)
class SuspectCall:
    """A call on an engine that ended, whose answer had just begun or was still waited for.

    ``identity`` tells it from other calls, ``traits`` are what it has in common with them.
    ``just_begun`` is true if its first events had arrived and not many more. It was sent
    ``sent_age_seconds`` before the end. ``was_answered`` is true if the entry has seen its
    request answered by an engine before.
    """

    identity: str
    traits: list[str]
    just_begun: bool
    sent_age_seconds: float = 0
    was_answered: bool = False


@dataclass(frozen=True, slots=True)
class AgedEnd:
    """An engine that ended, the seconds since then, and the calls that may have caused it.

    ``engine`` names its incarnation.
    """

    engine: str
    age_seconds: float
    calls: list[SuspectCall]


@dataclass(frozen=True, slots=True)
class AgedSoundAnswer:
    """A trait under which an answer went well, and the seconds since that answer began."""

    trait: str
    begun_age_seconds: float


@message('site-trait-evidence')
class TraitEvidence:
    """Entry to control, and control to entries and control hosts: evidence for or against traits.

    ``blocked`` are traits that an entry has found to be bad. ``revision`` is that of the
    stored block list which the sender knew; a trait that was lifted later is not blocked again.
    """

    revision: int
    ends: list[AgedEnd] = field(default_factory=list)
    sound: list[AgedSoundAnswer] = field(default_factory=list)
    blocked: list[str] = field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        """Returns whether the message says nothing."""
        return not (self.ends or self.sound or self.blocked)


@message('site-blocked-traits')
class BlockedTraits:
    """Control to entries: the stored block list, at the revision of its last change."""

    revision: int
    traits: list[str]
