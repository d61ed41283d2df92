"""Which pieces each relay of a region fetches, and the order in which agents fetch them (pure).

Answers the load of a new version: all agents of a site fetch the same pieces within seconds.
Relays of the origin's region fetch their pieces in the order of the list, those of other
regions in the order in which these arrive there. Agents follow the order of arrival in their
region, so that they rarely wait for a piece, but not all at the same relay at the same time.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache

from jackdawsail.site.node import NodeSettings
from jackdawsail.site.view import SiteView
from jackdawsail.staging.sources import origin_region, relays_of
from jackdawsail.weights.placement import rank_zones

PIECES_PER_RUN = 8  # about as many as the relays of a region fetch at the same time

DIVISIONS_KEPT = 16  # of some versions in two regions; while a source fails they are needed often


def relayed_pieces(settings: NodeSettings, view: SiteView, digests: Sequence[str]) -> list[int]:
    """Returns the indexes of the pieces that a relay fetches ahead of requests, in order.

    They are those for which it ranks first in its region. Empty for an entry that is no relay.
    """
    home = origin_region(settings, view)
    order: Sequence[int] = range(len(digests))
    if home != settings.region:
        order = _order_of_arrival(view, home, digests, order)
    return _divide(view, settings.region, digests, order).get(settings.address, [])


def agent_order(
    settings: NodeSettings, view: SiteView, digests: Sequence[str], missing: Iterable[int]
) -> list[int]:
    """Returns the missing pieces in the order in which an agent fetches them.

    Inside runs of ``PIECES_PER_RUN`` the order differs from agent to agent.
    """
    home = origin_region(settings, view)
    order: Sequence[int] = range(len(digests))
    for region in dict.fromkeys((home, settings.region)):
        order = _order_of_arrival(view, region, digests, order)
    wanted = set(missing)
    ordered = [index for index in order if index in wanted]
    runs = (
        ordered[start : start + PIECES_PER_RUN] for start in range(0, len(ordered), PIECES_PER_RUN)
    )
    ranked = (rank_zones(settings.address, [str(index) for index in run]) for run in runs)
    return [int(index) for run in ranked for index in run]


def _order_of_arrival(
    view: SiteView, region: str, digests: Sequence[str], order: Sequence[int]
) -> Sequence[int]:
    """Returns the order in which pieces arrive at the relays of a region.

    ``order`` is the one in which each relay fetches its own; all take about the same time.
    """
    shares = _divide(view, region, digests, order)
    if not shares:
        return order
    progress = {
        index: (position / len(share), position)
        for share in shares.values()
        for position, index in enumerate(share)
    }
    return sorted(order, key=progress.__getitem__)


def _divide(
    view: SiteView, region: str, digests: Sequence[str], order: Iterable[int]
) -> Mapping[str, list[int]]:
    """Returns the pieces of each relay of a region, by its address, in the given order."""
    addresses = tuple(relay.address for relay in relays_of(view, region))
    return _divide_among(addresses, tuple(digests), tuple(order))


@lru_cache(maxsize=DIVISIONS_KEPT)
def _divide_among(
    addresses: tuple[str, ...], digests: tuple[str, ...], order: tuple[int, ...]
) -> Mapping[str, list[int]]:
    shares: dict[str, list[int]] = defaultdict(list)
    if addresses:
        for index in order:
            shares[rank_zones(digests[index], addresses)[0]].append(index)
    return shares
