"""On-disk format of the log: segment headers and checksummed records.

A record is ``magic, length, crc32, body``; the checksum covers length and body.
The body starts with the number of its write batch and a flag that marks the last record
of a batch. A batch is synced before the next one is written, so an invalid record
that is followed by a later batch was damaged after it had been synced.
"""

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

from jackdawsail.consensus.log import Entry, EntryKind

FORMAT_VERSION = 1
_RECORD_MAGIC = b'JSRC'
_SEGMENT_MAGIC = b'JSLG'
_PREFIX = struct.Struct('>4sII')
_BODY = struct.Struct('>QBQQB')
_HEADER = struct.Struct('>4sHBQ')
_CHECKSUM = struct.Struct('>I')
_LENGTH = struct.Struct('>I')
HEADER_BYTES = _HEADER.size + _CHECKSUM.size
_KINDS = tuple(EntryKind)
_KIND_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}


@dataclass(frozen=True, slots=True)
class SegmentHeader:
    """The header of a segment; with ``restart`` all earlier segments are ignored."""

    first_index: int
    restart: bool


@dataclass(frozen=True, slots=True)
class Record:
    """A decoded record; ``end_offset`` is the byte after it in the segment."""

    entry: Entry
    batch: int
    ends_batch: bool
    end_offset: int


def encode_header(header: SegmentHeader) -> bytes:
    """Encodes a segment header, followed by its checksum."""
    body = _HEADER.pack(_SEGMENT_MAGIC, FORMAT_VERSION, header.restart, header.first_index)
    return body + _CHECKSUM.pack(zlib.crc32(body))


def decode_header(segment: bytes) -> SegmentHeader | None:
    """Decodes a segment header; None if it is damaged or of another format version."""
    body = segment[: _HEADER.size]
    checksum = segment[_HEADER.size : HEADER_BYTES]
    if len(checksum) < _CHECKSUM.size or checksum != _CHECKSUM.pack(zlib.crc32(body)):
        return None
    magic, version, restart, first_index = _HEADER.unpack(body)
    if magic != _SEGMENT_MAGIC or version != FORMAT_VERSION:
        return None
    return SegmentHeader(first_index, bool(restart))


def encode_batch(entries: list[Entry], batch: int) -> bytes:
    """Encodes entries as the records of one write batch."""
    last = len(entries) - 1
    return b''.join(
        _encode_record(entry, batch, position == last) for position, entry in enumerate(entries)
    )


def read_records(segment: bytes, offset: int) -> Iterator[Record]:
    """Yields the records from an offset on, up to the first incomplete or damaged one."""
    while True:
        record = _decode_record(segment, offset)
        if record is None:
            return
        yield record
        offset = record.end_offset


def latest_batch_after(segment: bytes, offset: int) -> int:
    """Returns the highest batch number of any intact record after an offset, or 0."""
    latest = 0
    position = segment.find(_RECORD_MAGIC, offset)
    while position >= 0:
        record = _decode_record(segment, position)
        if record is not None:
            latest = max(latest, record.batch)
        position = segment.find(_RECORD_MAGIC, position + 1)
    return latest


def _encode_record(entry: Entry, batch: int, ends_batch: bool) -> bytes:
    kind = _KIND_NUMBERS[entry.kind]
    body = _BODY.pack(batch, ends_batch, entry.index, entry.term, kind) + entry.body
    length = _LENGTH.pack(len(body))
    checksum = zlib.crc32(body, zlib.crc32(length))
    return _PREFIX.pack(_RECORD_MAGIC, len(body), checksum) + body


def _decode_record(segment: bytes, offset: int) -> Record | None:
    body = _read_body(segment, offset)
    if body is None:
        return None
    batch, ends_batch, index, term, kind = _BODY.unpack_from(body)
    entry = Entry(index, term, _KINDS[kind], body[_BODY.size :])
    return Record(entry, batch, bool(ends_batch), offset + _PREFIX.size + len(body))


def _read_body(segment: bytes, offset: int) -> bytes | None:
    start = offset + _PREFIX.size
    if start > len(segment):
        return None
    magic, length, checksum = _PREFIX.unpack_from(segment, offset)
    if magic != _RECORD_MAGIC or length < _BODY.size:
        return None
    body = segment[start : start + length]
    is_complete = len(body) == length
    if is_complete and zlib.crc32(body, zlib.crc32(_LENGTH.pack(length))) == checksum:
        return body
    return None
