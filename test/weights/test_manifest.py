"""Digests of a file do not depend on how its bytes are split; invalid records fail."""

import dataclasses
import hashlib

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from jackdawsail.weights.bitmap import pack_chunks, unpack_chunks
from jackdawsail.weights.manifest import digest_pieces, manifest_from_record
from test.weights.zone_sim import make_manifest


@settings(derandomize=True, deadline=None)
@given(st.lists(st.binary(max_size=50), min_size=1), st.integers(1, 40))
def test_digests_do_not_depend_on_the_split_into_pieces(pieces, chunk_bytes):
    joined = b''.join(pieces)
    digests = digest_pieces(pieces, chunk_bytes)
    chunks = [joined[at : at + chunk_bytes] for at in range(0, len(joined), chunk_bytes)]
    assert digests.digest == hashlib.sha256(joined).hexdigest()
    assert digests.size_bytes == len(joined)
    assert list(digests.chunk_digests) == [hashlib.sha256(chunk).hexdigest() for chunk in chunks]


def test_record_with_missing_chunks_or_fields_is_invalid():
    record = dataclasses.asdict(make_manifest(4))
    assert isinstance(manifest_from_record('quill-2', record), Success)
    short = {**record, 'chunk_digests': record['chunk_digests'][:3]}
    assert isinstance(manifest_from_record('quill-2', short), Failure)
    assert isinstance(manifest_from_record('quill-2', {'backend': 'quill'}), Failure)


@settings(derandomize=True, deadline=None)
@given(st.sets(st.integers(0, 99)))
def test_bitmap_round_trip(chunks):
    assert unpack_chunks(pack_chunks(chunks, 100), 100) == chunks
