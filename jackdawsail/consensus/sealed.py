"""Small files with a checksum: the vote, the disk id and the snapshot.

Each is replaced as a whole and durably, so a damaged one was damaged after it
had been written and is never guessed at.
"""

import struct
import zlib
from typing import Any

import cbor2
from returns.result import Failure, Result, Success

from jackdawsail.consensus.files import FileOperations, replace_durably

_MAGIC = b'JSSF'
_PREFIX = struct.Struct('>4sI')


def write_sealed(files: FileOperations, name: str, content: Any) -> None:
    """Replaces a sealed file durably; raises OSError."""
    body = cbor2.dumps(content)
    replace_durably(files, name, _PREFIX.pack(_MAGIC, zlib.crc32(body)) + body)


def read_sealed(files: FileOperations, name: str) -> Result[Any, str]:
    """Reads a sealed file, or says that it is damaged."""
    whole = files.read(name)
    body = whole[_PREFIX.size :]
    if whole[: _PREFIX.size] != _PREFIX.pack(_MAGIC, zlib.crc32(body)):
        return Failure(f'{name} at offset 0: checksum does not match')
    return Success(cbor2.loads(body))
