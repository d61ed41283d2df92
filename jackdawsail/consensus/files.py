"""The file operations that consensus storage uses.

Tests replace them to crash before any operation or to simulate a full disk. Written
bytes are durable after ``sync``; a created, renamed or removed name is durable after
``sync_folder``.
"""

import os
from pathlib import Path
from typing import Protocol


class FileOperations(Protocol):
    """Operations on the files of one folder, by name; each may raise OSError."""

    def names(self) -> list[str]:
        """Lists the names in the folder."""

    def read(self, name: str) -> bytes:
        """Reads a whole file."""

    def write(self, name: str, body: bytes) -> None:
        """Creates or replaces a file, not yet durable."""

    def append(self, name: str, body: bytes) -> None:
        """Appends bytes to a file, not yet durable."""

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncates a file to a size, not yet durable."""

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""

    def rename(self, name: str, new_name: str) -> None:
        """Renames a file, replacing an existing one; not yet durable."""

    def remove(self, name: str) -> None:
        """Removes a file, not yet durable."""

    def sync_folder(self) -> None:
        """Makes the names in the folder durable."""

    def close(self) -> None:
        """Closes the files that are kept open."""


class FolderFiles:
    """Implements ``FileOperations`` on a real folder; keeps appended files open."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._descriptors: dict[str, int] = {}
        folder.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        """Lists the names in the folder."""
        return sorted(os.listdir(self._folder))

    def read(self, name: str) -> bytes:
        """Reads a whole file."""
        return (self._folder / name).read_bytes()

    def write(self, name: str, body: bytes) -> None:
        """Creates or replaces a file."""
        self._close(name)
        (self._folder / name).write_bytes(body)

    def append(self, name: str, body: bytes) -> None:
        """Appends bytes to a file, continuing after short writes."""
        descriptor = self._descriptor(name)
        rest = memoryview(body)
        while rest:
            written = os.write(descriptor, rest)
            rest = rest[written:]

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncates a file to a size."""
        os.truncate(self._folder / name, size_bytes)

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        os.fsync(self._descriptor(name))

    def rename(self, name: str, new_name: str) -> None:
        """Renames a file, replacing an existing one."""
        self._close(name)
        self._close(new_name)
        os.replace(self._folder / name, self._folder / new_name)

    def remove(self, name: str) -> None:
        """Removes a file."""
        self._close(name)
        os.remove(self._folder / name)

    def sync_folder(self) -> None:
        """Makes the names in the folder durable."""
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Closes the files that are kept open."""
        for name in list(self._descriptors):
            self._close(name)

    def _descriptor(self, name: str) -> int:
        if name not in self._descriptors:
            self._descriptors[name] = os.open(self._folder / name, os.O_WRONLY | os.O_APPEND)
        return self._descriptors[name]

    def _close(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def replace_durably(files: FileOperations, name: str, body: bytes) -> None:
    """Replaces a file atomically: after a crash it has either the old or the new content."""
    temporary = f'{name}.new'
    files.write(temporary, body)
    files.sync(temporary)
    files.rename(temporary, name)
    files.sync_folder()
