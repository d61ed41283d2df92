"""Values that an agent exchanges with its engine, independent of their encoding."""

from dataclasses import dataclass

from jackdawsail.registry.registration import ModelVersion


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The state that an engine reports.

    ``orders`` counts the orders that have taken effect since the engine's start,
    ``layers`` is the number of loaded layers. ``memory_share`` (0 to 1) is the
    share of memory held by requests, which cannot be reclaimed. ``pace`` above 1
    means that the engine is slower than its class.
    """

    models: tuple[ModelVersion, ...]
    layers: int
    busy: bool
    orders: int
    waiting: int
    running: int
    memory_share: float
    pace: float
    born_milliseconds: int

    def version_of(self, model: str) -> int:
        """Returns the loaded version of a model; 0 if the model is not loaded."""
        versions = [held.version for held in self.models if held.model == model]
        return max(versions, default=0)


@dataclass(frozen=True, slots=True)
class PieceList:
    """The SHA-256 digests (hexadecimal) of a version's pieces, in order."""

    model: str
    version: int
    digests: tuple[str, ...]

    def unchanged_in(self, other: 'PieceList') -> frozenset[int]:
        """Returns the pieces that have the same digest in both lists."""
        pairs = zip(self.digests, other.digests, strict=False)
        return frozenset(index for index, (own, their) in enumerate(pairs) if own == their)


@dataclass(frozen=True, slots=True)
class LoadWeightsOrder:
    """Order to load the staged pieces.

    The engine refuses it if its own count of orders differs from ``expected_orders``.

    ``finish_running`` lets running streams end first; without it they are aborted.
    """

    model: str
    version: int
    expected_orders: int
    finish_running: bool = True
