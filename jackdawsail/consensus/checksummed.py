"""Files with a checksum: the vote, the disk id, the commit index and the snapshot.

Each is replaced atomically and durably, so a wrong checksum means
damage after the write; damaged content is never used.
"""

import struct
import zlib
from typing import Any

import cbor2
from returns.result import Failure, Result, Success

from jackdawsail.consensus.files import FileOperations, replace_durably

_MAGIC = b'JSSF'
_PREFIX = struct.Struct('>4sI')


def write_checksummed(files: FileOperations, name: str, content: Any) -> None:
    """Replaces a file durably with CBOR content and its checksum; raises OSError."""
    body = cbor2.dumps(content)
    replace_durably(files, name, _PREFIX.pack(_MAGIC, zlib.crc32(body)) + body)


def read_checksummed(files: FileOperations, name: str) -> Result[Any, str]:
    """Returns the content of a file, or a failure that names the damaged file."""
    file_bytes = files.read(name)
    body = file_bytes[_PREFIX.size :]
    if file_bytes[: _PREFIX.size] != _PREFIX.pack(_MAGIC, zlib.crc32(body)):
        return Failure(f'{name} at offset 0: checksum does not match')
    return Success(cbor2.loads(body))
