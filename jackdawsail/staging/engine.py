"""What an agent knows of its engine, and what it asks of it."""

from dataclasses import dataclass

from jackdawsail.registry.registration import ModelVersion


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The state of an engine as it says itself.

    ``orders`` counts the orders that have begun something since its start,
    ``layers`` the layers that it holds. ``memory_share`` (0 to 1) is the memory
    of requests that cannot be reclaimed. ``pace`` above 1 means slower than its
    class.
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
        """Returns the version of a model that is loaded; 0 when it is not."""
        versions = [one.version for one in self.models if one.model == model]
        return max(versions, default=0)


@dataclass(frozen=True, slots=True)
class PieceList:
    """The SHA-256 digests (hexadecimal) of a version's pieces, in order."""

    model: str
    version: int
    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LoadWeightsOrder:
    """Loads the staged pieces; refused if the engine's count of orders differs."""

    model: str
    version: int
    expected_orders: int
    finish_running: bool = True
