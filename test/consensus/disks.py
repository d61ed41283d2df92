"""A disk in memory that forgets what was not synced, and fails or crashes on demand."""

from dataclasses import dataclass, field


class Crash(BaseException):
    """The machine stops in the middle of a file operation."""


@dataclass
class Inode:
    current: bytes = b''
    durable: bytes = b''


@dataclass
class Disk:
    """Implements FileOperations; ``operations_left`` counts down to a crash or a failure."""

    content: dict[str, Inode] = field(default_factory=dict)
    durable_names: dict[str, Inode] = field(default_factory=dict)
    operations: int = 0
    operations_left: int = -1
    error: BaseException | None = None

    def fail_at(self, operation: int, error: BaseException):
        """Raises at the given operation from now (0: the next one)."""
        self.operations_left = operation
        self.error = error

    def names(self):
        return sorted(self.content)

    def read(self, name):
        return self.content[name].current

    def write(self, name, body):
        # The name may reach the disk before any byte of the content does.
        inode = self.content.setdefault(name, Inode())
        inode.current = b''
        self._count(lambda: self._put(inode, body), partial=lambda: self._put(inode, body[:7]))

    def append(self, name, body):
        inode = self.content[name]
        whole = inode.current + body
        half = inode.current + body[: len(body) // 2]
        self._count(lambda: self._put(inode, whole), partial=lambda: self._put(inode, half))

    def truncate(self, name, size_bytes):
        inode = self.content[name]
        self._count(lambda: self._put(inode, inode.current[:size_bytes]))

    def sync(self, name):
        inode = self.content[name]
        self._count(lambda: setattr(inode, 'durable', inode.current))

    def rename(self, name, new_name):
        self._count(lambda: self.content.__setitem__(new_name, self.content.pop(name)))

    def remove(self, name):
        self._count(lambda: self.content.pop(name))

    def sync_folder(self):
        self._count(lambda: setattr(self, 'durable_names', dict(self.content)))

    def close(self):
        pass

    def lose_power(self, rng):
        """Keeps what was synced, and any part of the rest."""
        names = dict(self.durable_names)
        for name in sorted(self.content.keys() | names.keys()):
            if self.content.get(name) is not names.get(name) and rng.random() < 0.5:
                self._settle_name(names, name)
        for inode in {id(inode): inode for inode in names.values()}.values():
            inode.current = _survivor(inode, rng)
            inode.durable = inode.current
        self.content = names
        self.durable_names = dict(names)
        self.operations_left = -1

    def kill_process(self):
        """Keeps all that was written, synced or not; nothing becomes durable by it."""
        self.operations_left = -1

    def _settle_name(self, names, name):
        if name in self.content:
            names[name] = self.content[name]
        else:
            names.pop(name)

    def _put(self, inode, body):
        inode.current = body

    def _count(self, action, partial=None):
        self.operations += 1
        if self.operations_left == 0:
            if partial is not None:
                partial()
            raise self.error
        self.operations_left -= 1
        action()


def _survivor(inode, rng):
    current, durable = inode.current, inode.durable
    if not current.startswith(durable):
        return rng.choice([current, durable])
    kept = current[: rng.randint(len(durable), len(current))]
    if len(kept) > len(durable) and rng.random() < 0.3:
        # A block of the unsynced part never reached the disk.
        hole = rng.randint(len(durable), len(kept) - 1)
        kept = kept[:hole] + bytes(min(16, len(kept) - hole)) + kept[hole + 16 :]
    return kept
