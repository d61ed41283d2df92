"""Turns the replicated state and the live load into the tracker's plans."""

from jackdawsail.entry.first_read import FirstReader
from jackdawsail.switchboard import Switchboard
from jackdawsail.weights.manifest import Manifest
from jackdawsail.weights.pacing import DelayPacer
from jackdawsail.weights.schedule import ZonePlan
from jackdawsail.weights.target import Records, manifests_without_digests, running_manifests
from jackdawsail.weights.tracker import ReleaseOrder
from jackdawsail.wire.link import Link

BITS_PER_BYTE = 8
LIVE_SMOOTHING = 0.1
DEFAULT_ORIGIN_COPIES = 3
DEFAULT_ORIGIN_BITS_PER_SECOND = 40_000_000
DEFAULT_INTER_REGION_BITS_PER_SECOND = 10_000_000
DEFAULT_SWITCHING_SHARE = 0.5


class LiveRate:
    """Measures what this entry's links bring in from other regions, in bits a second."""

    def __init__(self, switchboard: Switchboard, region: str) -> None:
        self.bits_per_second = float(0)
        self._switchboard = switchboard
        self._region = region
        self._received_bytes = 0
        self._at_seconds = float(0)

    def measure(self, now: float) -> None:
        """Takes a reading; call it every tenth of a second or so."""
        passed_seconds = now - self._at_seconds
        if passed_seconds <= 0:
            return
        received_bytes = sum(link.received_bytes for link in self._far_links())
        new_bytes = max(0, received_bytes - self._received_bytes)
        rate = new_bytes * BITS_PER_BYTE / passed_seconds
        self.bits_per_second += (rate - self.bits_per_second) * LIVE_SMOOTHING
        self._received_bytes = received_bytes
        self._at_seconds = now

    def _far_links(self) -> list[Link]:
        links = self._switchboard.links
        return [link for link in links if link.peer and link.peer.region != self._region]


class Planner:
    """Makes the release orders of one data centre."""

    def __init__(self, records: Records, zone: str, live: LiveRate) -> None:
        self._records = records
        self._zone = zone
        self._live = live

    def orders(self, pacer: DelayPacer) -> dict[str, ReleaseOrder]:
        """Returns an order for each running release."""
        manifests = running_manifests(self._records)
        return {name: self._order(manifest, pacer) for name, manifest in manifests.items()}

    def read_unread(self, reader: FirstReader, pacer: DelayPacer) -> None:
        """Lets the first reader make the manifests that are missing."""
        unread = manifests_without_digests(self._records)
        origin = self._records.get('weights', 'origin') or {}
        for manifest in unread[:1]:
            plan = self._plan(manifest.backend, pacer)
            url = str(origin.get('url') or '')
            reader.follow(unread, plan.zones, url, plan.cross_bits_per_second)
        if not unread:
            reader.stop()

    def _order(self, manifest: Manifest, pacer: DelayPacer) -> ReleaseOrder:
        backend = self._records.get('backend', manifest.backend) or {}
        share = float(backend.get('max_switching_share') or DEFAULT_SWITCHING_SHARE)
        return ReleaseOrder(manifest, share, self._plan(manifest.backend, pacer))

    def _plan(self, backend: str, pacer: DelayPacer) -> ZonePlan:
        origin = self._records.get('weights', 'origin') or {}
        zones = zones_of(self._records, backend)
        copies = int(origin.get('origin_copies') or DEFAULT_ORIGIN_COPIES)
        origin_rate = float(origin.get('origin_bits_per_second') or DEFAULT_ORIGIN_BITS_PER_SECOND)
        link_rate = float(
            origin.get('inter_region_bits_per_second') or DEFAULT_INTER_REGION_BITS_PER_SECOND
        )
        link_share = link_rate / self._zones_in_region(zones)
        paced = pacer.allowed_bits_per_second(link_share, self._live.bits_per_second)
        from_origin = origin_rate / max(1, min(copies, len(zones)))
        return ZonePlan(self._zone, zones, copies, min(paced, from_origin))

    def _zones_in_region(self, zones: tuple[str, ...]) -> int:
        """Counts the data centres that share this one's link to other regions."""
        known = self._records.of_kind('zone')
        region = known.get(self._zone, {}).get('region')
        return max(1, sum(1 for zone in zones if known[zone].get('region') == region))


def zones_of(records: Records, backend: str) -> tuple[str, ...]:
    """Returns the zones in service that have a site of the back end; all when none is named."""
    zones = {name for name, zone in records.of_kind('zone').items() if zone.get('mode') != 'out'}
    sites = records.of_kind('site').values()
    named = {site['zone'] for site in sites if backend in site.get('backends', ())}
    return tuple(sorted(zones & named or zones))
