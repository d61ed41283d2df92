"""Where weights come from: relays on entries near by, and the origin behind them.

Load: all engines of a site load one version at once over narrow links. One copy
crosses from the origin to a relay in its region, one from there to a relay in
each other region; the agents of a region draw from its relay.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from returns.result import Result

from jackdawsail.site.node import NodeSettings
from jackdawsail.site.view import SiteView
from jackdawsail.staging.engine import PieceList
from jackdawsail.weights.placement import rank_zones
from jackdawsail.wire.site_messages import MemberHost

RELAY_PORT_OFFSET = 1  # counted from the first internal port
RELAYS_TRIED = 2  # of a region, before the source behind them is asked


@dataclass(frozen=True, slots=True)
class OriginCodec:
    """How the origin's calls are written and its answers are read on this site."""

    list_target: Callable[[str, int], bytes]
    decode_list: Callable[[bytes], Result[PieceList, str]]
    piece_target: Callable[[str, int, int], bytes]


@dataclass(frozen=True, slots=True)
class Source:
    """A place to draw from: an origin, or a relay of ours."""

    address: str
    is_origin: bool


def rank_relays(entries: Sequence[MemberHost], region: str, model: str) -> list[MemberHost]:
    """Orders the entries of a region by their claim to relay a model's weights.

    Every process that knows the same entries gets the same order. One that is
    leaving would take its pieces with it.
    """
    staying = [entry for entry in entries if entry.region == region and not entry.leaving]
    own = {entry.address: entry for entry in staying}
    return [own[address] for address in rank_zones(model, sorted(own))]


def sources_for(settings: NodeSettings, view: SiteView, model: str) -> list[Source]:
    """Lists where a process draws a model's pieces from, the nearest first."""
    entries = view.entries()
    home = origin_region(settings, view)
    regions = list(dict.fromkeys((settings.region, home)))
    found: list[Source] = []
    for region in regions:
        ranked = rank_relays(entries, region, model)
        addresses = [relay.address for relay in ranked]
        if settings.address in addresses:
            # A relay asks only those ranked before it, so that two never ask each other.
            ranked = ranked[: addresses.index(settings.address)]
        found.extend(_relay_source(settings, relay) for relay in ranked[:RELAYS_TRIED])
    return [*found, *origin_sources(view)]


def origin_sources(view: SiteView) -> list[Source]:
    """Returns the origins of the site document."""
    origins = view.table.document.origins if view.table else ()
    return [Source(origin.origin_address, is_origin=True) for origin in origins]


def origin_region(settings: NodeSettings, view: SiteView) -> str:
    """Returns the region of the origin; empty when it is not known."""
    origins = view.table.document.origins if view.table else ()
    zones = [origin.origin_zone for origin in origins]
    return settings.region_by_zone.get(zones[0], '') if zones else ''


def _relay_source(settings: NodeSettings, relay: MemberHost) -> Source:
    port = settings.link_port + RELAY_PORT_OFFSET
    return Source(f'{relay.address}:{port}', is_origin=False)
