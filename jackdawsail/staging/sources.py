"""Sources of weights: relays on entries near by, and the origin behind them.

All engines of a site load a version at the same time over narrow links. Therefore
one copy goes from the origin to a relay in its region, and one from there to a relay
in each other region; the agents of a region fetch from its relay.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from returns.result import Result

from jackdawsail.site.node import NodeSettings
from jackdawsail.site.view import SiteView
from jackdawsail.staging.engine import PieceList
from jackdawsail.weights.placement import rank_zones
from jackdawsail.wire.site_messages import MemberHost

RELAY_PORT_OFFSET = 1  # from the first internal port
RELAYS_PER_REGION = 2  # tried before the next region or the origin


@dataclass(frozen=True, slots=True)
class OriginCodec:
    """Builds the request targets of a site's origin and decodes its piece lists."""

    list_target: Callable[[str, int], bytes]
    decode_list: Callable[[bytes], Result[PieceList, str]]
    piece_target: Callable[[str, int, int], bytes]


@dataclass(frozen=True, slots=True)
class Source:
    """An address to fetch weights from: an origin, or a relay of this site."""

    address: str
    is_origin: bool


def rank_relays(entries: Sequence[MemberHost], region: str, model: str) -> list[MemberHost]:
    """Returns the entries of a region in the order in which they relay a model's weights.

    Every process that knows the same entries computes the same order. Leaving
    entries are excluded, because their pieces are lost when they stop.
    """
    candidates = [entry for entry in entries if entry.region == region and not entry.leaving]
    by_address = {entry.address: entry for entry in candidates}
    return [by_address[address] for address in rank_zones(model, sorted(by_address))]


def sources_for(settings: NodeSettings, view: SiteView, model: str) -> list[Source]:
    """Returns the sources from which a process fetches a model's pieces, the nearest first."""
    entries = view.entries()
    origin_home = origin_region(settings, view)
    regions = list(dict.fromkeys((settings.region, origin_home)))
    sources: list[Source] = []
    for region in regions:
        ranked = rank_relays(entries, region, model)
        addresses = [relay.address for relay in ranked]
        if settings.address in addresses:
            # A relay fetches only from relays ranked before it, so that there are no cycles.
            ranked = ranked[: addresses.index(settings.address)]
        sources.extend(_relay_source(settings, relay) for relay in ranked[:RELAYS_PER_REGION])
    return [*sources, *origin_sources(view)]


def origin_sources(view: SiteView) -> list[Source]:
    """Returns the origins in the site document; none while there is no document."""
    origins = view.table.document.origins if view.table else ()
    return [Source(origin.origin_address, is_origin=True) for origin in origins]


def origin_region(settings: NodeSettings, view: SiteView) -> str:
    """Returns the region of the first origin; empty if it is not known."""
    origins = view.table.document.origins if view.table else ()
    zones = [origin.origin_zone for origin in origins]
    return settings.region_by_zone.get(zones[0], '') if zones else ''


def _relay_source(settings: NodeSettings, relay: MemberHost) -> Source:
    port = settings.link_port + RELAY_PORT_OFFSET
    return Source(f'{relay.address}:{port}', is_origin=False)
