"""Computes the tracker's plans from the replicated state and the current inbound rate."""

from jackdawsail.entry.manifest_builder import ManifestBuilder
from jackdawsail.message_router import MessageRouter
from jackdawsail.weights.manifest import Manifest
from jackdawsail.weights.pacing import DelayPacer
from jackdawsail.weights.schedule import ZonePlan
from jackdawsail.weights.target import Records, manifests_without_digests, running_manifests
from jackdawsail.weights.tracker import ReleaseOrder
from jackdawsail.wire.link import Link

BITS_PER_BYTE = 8
RATE_SMOOTHING = 0.1
DEFAULT_ORIGIN_COPIES = 3
DEFAULT_ORIGIN_BITS_PER_SECOND = 40_000_000
DEFAULT_INTER_REGION_BITS_PER_SECOND = 10_000_000
DEFAULT_SWITCHING_SHARE = 0.5


class InterRegionRate:
    """Smoothed rate that this entry receives from other regions, in bits per second."""

    def __init__(self, router: MessageRouter, region: str) -> None:
        self.bits_per_second = float(0)
        self._router = router
        self._region = region
        self._received_bytes = 0
        self._measured_seconds = float(0)

    def measure(self, now: float) -> None:
        """Updates the rate; expects a call about every 0.1 seconds."""
        passed_seconds = now - self._measured_seconds
        if passed_seconds <= 0:
            return
        received_bytes = sum(link.received_bytes for link in self._inter_region_links())
        new_bytes = max(0, received_bytes - self._received_bytes)
        rate = new_bytes * BITS_PER_BYTE / passed_seconds
        self.bits_per_second += (rate - self.bits_per_second) * RATE_SMOOTHING
        self._received_bytes = received_bytes
        self._measured_seconds = now

    def _inter_region_links(self) -> list[Link]:
        links = self._router.links
        return [link for link in links if link.peer and link.peer.region != self._region]


class Planner:
    """Computes the release orders of one data centre."""

    def __init__(self, records: Records, zone: str, inbound_rate: InterRegionRate) -> None:
        self._records = records
        self._zone = zone
        self._inbound_rate = inbound_rate

    def orders(self, pacer: DelayPacer) -> dict[str, ReleaseOrder]:
        """Returns an order for each running release, by release name."""
        manifests = running_manifests(self._records)
        return {name: self._order(manifest, pacer) for name, manifest in manifests.items()}

    def build_missing_manifests(self, builder: ManifestBuilder, pacer: DelayPacer) -> None:
        """Passes the releases without chunk digests to the builder; stops it if there are none."""
        manifests = manifests_without_digests(self._records)
        origin = self._records.get('weights', 'origin') or {}
        for manifest in manifests[:1]:
            plan = self._plan(manifest.backend, pacer)
            url = str(origin.get('url') or '')
            builder.update(manifests, plan.zones, url, plan.cross_bits_per_second)
        if not manifests:
            builder.stop()

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
        paced_rate = pacer.allowed_bits_per_second(link_share, self._inbound_rate.bits_per_second)
        rate_per_copy = origin_rate / max(1, min(copies, len(zones)))
        return ZonePlan(self._zone, zones, copies, min(paced_rate, rate_per_copy))

    def _zones_in_region(self, zones: tuple[str, ...]) -> int:
        """Returns the number of data centres that share the link to other regions, at least 1."""
        zone_records = self._records.of_kind('zone')
        region = zone_records.get(self._zone, {}).get('region')
        return max(1, sum(1 for zone in zones if zone_records[zone].get('region') == region))


def zones_of(records: Records, backend: str) -> tuple[str, ...]:
    """Returns the in-service zones with a site of the back end, sorted.

    Returns all in-service zones if none of them has such a site.
    """
    zones = {name for name, zone in records.of_kind('zone').items() if zone.get('mode') != 'out'}
    sites = records.of_kind('site').values()
    site_zones = {site['zone'] for site in sites if backend in site.get('backends', ())}
    return tuple(sorted(zones & site_zones or zones))
