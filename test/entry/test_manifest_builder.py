"""Building the manifest of a release that was declared with its whole-file digest only."""

from types import SimpleNamespace

import pytest
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from jackdawsail.entry.manifest_builder import RETRY_SECONDS, ManifestBuilder
from jackdawsail.weights.chunk_client import FetchedChunk
from jackdawsail.weights.origin import FetchFailure
from jackdawsail.weights.placement import rank_zones
from jackdawsail.wire.release_messages import ManifestReport, ReleaseProblem
from jackdawsail.wire.weight_messages import FetchOutcome
from test.weights.zone_sim import CHUNK_BYTES, make_manifest

MANIFEST = make_manifest(4)
ZONES = ('a', 'b', 'c')
OWN = rank_zones(MANIFEST.digest, ZONES)[0]


class Origin:
    """Fails the first fetches with the given failures, then returns the content."""

    def __init__(self, *failures, content=lambda chunk: bytes([chunk]) * CHUNK_BYTES):
        self.origin_url, self.failures, self.content, self.fetches = '', list(failures), content, 0

    def fetch_unverified(self, _manifest, fetch):
        self.fetches += 1
        if self.failures:
            return succeed(FetchedChunk(self.failures.pop(0), b'', 0))
        body = self.content(fetch.chunk)
        return succeed(FetchedChunk(None, body, len(body)))


@pytest.fixture
def build():
    def run(origin, zone=OWN):
        clock, sent = Clock(), []
        context = SimpleNamespace(
            reactor=clock,
            secret=b'',
            identity=SimpleNamespace(zone=zone),
            make_channel_pool=lambda **_options: None,
        )
        builder = ManifestBuilder(context, sent.append)
        builder._chunk_client = origin
        for _ in range(5):
            builder.update([MANIFEST], ZONES, 'http://origin', 0)
            clock.advance(RETRY_SECONDS)
        return sent

    return run


def test_only_the_chosen_zone_reads_the_origin_and_reports_the_manifest(build):
    origin = Origin(
        FetchFailure(FetchOutcome.busy, '429'), FetchFailure(FetchOutcome.failed, 'cut')
    )
    expected = ManifestReport('quill-2', CHUNK_BYTES, MANIFEST.digest, [*MANIFEST.chunk_digests])
    assert build(origin) == [expected]
    assert origin.fetches == 2 + 4
    assert build(Origin(), zone=next(zone for zone in ZONES if zone != OWN)) == []


def test_content_that_differs_from_the_declared_digest_fails_the_release(build):
    (problem,) = build(Origin(content=lambda _chunk: b'x' * CHUNK_BYTES))
    assert isinstance(problem, ReleaseProblem)
    changed = Origin(*[FetchFailure(FetchOutcome.changed, 'another validator')] * 9)
    assert build(changed) == [ReleaseProblem('quill-2', 'another validator')]
    assert changed.fetches == 1
