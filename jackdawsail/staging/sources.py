"""Sources of weights: relays on entries near by, and the origin behind them.

All engines of a site load a version at the same time over narrow links. Therefore one
copy goes from the origin to the relays in its region, and one from there to the relays
of each other region; the agents of a region fetch from its relays. The pieces are
divided among the relays of a region by rendezvous hash, so that no single link carries
the copies of all agents.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Result

from jackdawsail.site.node import NodeSettings
from jackdawsail.site.view import SiteView
from jackdawsail.staging.engine import PieceList
from jackdawsail.weights.placement import rank_zones
from jackdawsail.wire.site_messages import MemberHost

RELAY_PORT_OFFSET = 1  # from the first internal port
AGENTS_PER_RELAY = 3  # their links together are narrower than a relay's
MIN_RELAYS = 8  # of a region; a lost one then holds up an eighth of the pieces
MAX_RELAYS = 24  # all may fetch from an origin at once, which limits its connections
RELAYS_TRIED = 2  # for a piece, before the next region or the origin


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


def relays_of(view: SiteView, region: str) -> list[MemberHost]:
    """Returns the entries of a region that relay weights, sorted by address.

    Leaving entries are excluded, because their pieces are lost when they stop.
    """
    by_address = {
        entry.address: entry
        for entry in view.entries()
        if entry.region == region and not entry.leaving
    }
    needed = math.ceil(view.count_agents(region) / AGENTS_PER_RELAY)
    count = min(max(needed, MIN_RELAYS), MAX_RELAYS)
    addresses = rank_zones(region, sorted(by_address))[:count]
    return [by_address[address] for address in sorted(addresses)]


def rank_relays(view: SiteView, region: str, key: str) -> list[MemberHost]:
    """Returns the relays of a region in the order in which they relay one item.

    ``key`` is the digest of a piece, or the model for its piece lists. Every process that
    knows the same hosts computes the same order.
    """
    by_address = {relay.address: relay for relay in relays_of(view, region)}
    return [by_address[address] for address in rank_zones(key, sorted(by_address))]


def sources_for(settings: NodeSettings, view: SiteView, key: str) -> list[Source]:
    """Returns the sources from which an agent fetches an item, the nearest first.

    ``key`` is the same as for ``rank_relays``.
    """
    return _list_sources(settings, view, key, rank_relays(view, settings.region, key))


def sources_for_relay(settings: NodeSettings, view: SiteView, key: str) -> list[Source]:
    """Returns the sources from which a relay fetches an item, the nearest first.

    A relay fetches only from relays that rank before it, so that there are no cycles, also
    while processes know different entries.
    """
    ranked = rank_relays(view, settings.region, key)
    addresses = {settings.address, *(relay.address for relay in ranked)}
    rank = rank_zones(key, sorted(addresses)).index(settings.address)
    return _list_sources(settings, view, key, ranked[:rank])


def _list_sources(
    settings: NodeSettings, view: SiteView, key: str, own_relays: list[MemberHost]
) -> list[Source]:
    sources = [_relay_source(settings, relay) for relay in own_relays[:RELAYS_TRIED]]
    origin_home = origin_region(settings, view)
    if origin_home != settings.region:
        home_relays = rank_relays(view, origin_home, key)
        sources.extend(_relay_source(settings, relay) for relay in home_relays[:RELAYS_TRIED])
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
