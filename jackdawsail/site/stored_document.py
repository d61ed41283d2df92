"""The site document as the control hosts keep it: compressed, beside its version and digest."""

import zlib
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoredDocument:
    """A document as the operator sent it, compressed; version 0 means that there is none yet."""

    version: int = 0
    digest: str = ''
    compressed: bytes = b''

    @property
    def body(self) -> bytes:
        """Returns the document byte for byte as the operator sent it."""
        return zlib.decompress(self.compressed) if self.compressed else b''


def store_document(version: int, digest: str, body: bytes) -> StoredDocument:
    """Makes a document from the bytes that the operator sent."""
    return StoredDocument(version, digest, zlib.compress(body) if body else b'')
