"""The manifest of a release that was declared by its whole digest only."""

from types import SimpleNamespace

import pytest
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from jackdawsail.entry.first_read import RETRY_SECONDS, FirstReader
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
    """Answers each draw from a list of faults, then with the content."""

    def __init__(self, *ends, content=lambda chunk: bytes([chunk]) * CHUNK_BYTES):
        self.origin_url, self.ends, self.content, self.draws = '', list(ends), content, 0

    def fetch_unverified(self, _manifest, fetch):
        self.draws += 1
        if self.ends:
            return succeed(FetchedChunk(self.ends.pop(0), b'', 0))
        body = self.content(fetch.chunk)
        return succeed(FetchedChunk(None, body, len(body)))


@pytest.fixture
def read():
    def run(origin, zone=OWN):
        clock, told = Clock(), []
        context = SimpleNamespace(
            reactor=clock,
            secret=b'',
            identity=SimpleNamespace(zone=zone),
            make_http_agent=lambda _pool: None,
        )
        reader = FirstReader(context, told.append)
        reader._drawer = origin
        for _ in range(5):
            reader.follow([MANIFEST], ZONES, 'http://origin', 0)
            clock.advance(RETRY_SECONDS)
        return told

    return run


def test_one_zone_reads_once_and_reports(read):
    origin = Origin(
        FetchFailure(FetchOutcome.busy, '429'), FetchFailure(FetchOutcome.failed, 'cut')
    )
    expected = ManifestReport('quill-2', CHUNK_BYTES, MANIFEST.digest, [*MANIFEST.chunk_digests])
    assert read(origin) == [expected]
    assert origin.draws == 2 + 4
    assert read(Origin(), zone=next(zone for zone in ZONES if zone != OWN)) == []


def test_other_content_than_declared_fails_the_release(read):
    (problem,) = read(Origin(content=lambda _chunk: b'x' * CHUNK_BYTES))
    assert isinstance(problem, ReleaseProblem)
    changed = Origin(*[FetchFailure(FetchOutcome.changed, 'another validator')] * 9)
    assert read(changed) == [ReleaseProblem('quill-2', 'another validator')]
    assert changed.draws == 1
