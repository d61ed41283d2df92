"""An engine that ends with all calls on it, and is back later as another incarnation."""

from dataclasses import dataclass, field
from typing import Generic, TypeVar

CallT = TypeVar('CallT')


@dataclass(slots=True, eq=False)
class EndingEngine(Generic[CallT]):
    """The calls on an engine, as the plays of ends need them."""

    number: int
    incarnation: int = 0
    alive: bool = True
    calls: list[CallT] = field(default_factory=list)

    @property
    def name(self) -> str:
        """Returns the name of the incarnation."""
        return f'{self.number}/{self.incarnation}'

    @property
    def load(self) -> int:
        """Returns the number of calls on it."""
        return len(self.calls)

    def end(self) -> list[CallT]:
        """Ends the engine; returns the calls that were on it."""
        calls = self.calls
        self.calls = []
        self.alive = False
        return calls

    def restart(self) -> None:
        """Starts the next incarnation."""
        self.alive = True
        self.incarnation += 1
