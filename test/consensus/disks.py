"""A simulated disk that loses unsynced data and injects failures and crashes."""

from dataclasses import dataclass, field


class Crash(BaseException):
    """A simulated machine crash in the middle of a file operation."""


@dataclass
class Inode:
    current: bytes = b''
    durable: bytes = b''


@dataclass
class Disk:
    """Implements FileOperations; ``error`` is raised after ``operations_left`` more operations.

    -1 operations left: no error is injected.
    """

    content: dict[str, Inode] = field(default_factory=dict)
    durable_names: dict[str, Inode] = field(default_factory=dict)
    operations: int = 0
    operations_left: int = -1
    error: BaseException | None = None

    def fail_at(self, operation: int, error: BaseException):
        """Raises ``error`` in a later operation (0: in the next one)."""
        self.operations_left = operation
        self.error = error

    def names(self):
        return sorted(self.content)

    def read(self, name):
        return self.content[name].current

    def write(self, name, body):
        # The file name may become durable before any byte of the content.
        inode = self.content.setdefault(name, Inode())
        inode.current = b''
        self._run_operation(
            lambda: self._put(inode, body), partial=lambda: self._put(inode, body[:7])
        )

    def append(self, name, body):
        inode = self.content[name]
        complete = inode.current + body
        half = inode.current + body[: len(body) // 2]
        self._run_operation(
            lambda: self._put(inode, complete), partial=lambda: self._put(inode, half)
        )

    def truncate(self, name, size_bytes):
        inode = self.content[name]
        self._run_operation(lambda: self._put(inode, inode.current[:size_bytes]))

    def sync(self, name):
        inode = self.content[name]
        self._run_operation(lambda: setattr(inode, 'durable', inode.current))

    def rename(self, name, new_name):
        self._run_operation(lambda: self.content.__setitem__(new_name, self.content.pop(name)))

    def remove(self, name):
        self._run_operation(lambda: self.content.pop(name))

    def sync_folder(self):
        self._run_operation(lambda: setattr(self, 'durable_names', dict(self.content)))

    def close(self):
        pass

    def lose_power(self, rng):
        """Keeps all synced data and a random part of the unsynced data."""
        names = dict(self.durable_names)
        for name in sorted(self.content.keys() | names.keys()):
            if self.content.get(name) is not names.get(name) and rng.random() < 0.5:
                self._apply_name_change(names, name)
        for inode in {id(inode): inode for inode in names.values()}.values():
            inode.current = _survivor(inode, rng)
            inode.durable = inode.current
        self.content = names
        self.durable_names = dict(names)
        self.operations_left = -1

    def kill_process(self):
        """Keeps all written data, synced or not; unsynced data does not become durable."""
        self.operations_left = -1

    def _apply_name_change(self, names, name):
        if name in self.content:
            names[name] = self.content[name]
        else:
            names.pop(name)

    def _put(self, inode, body):
        inode.current = body

    def _run_operation(self, action, partial=None):
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
    surviving = current[: rng.randint(len(durable), len(current))]
    if len(surviving) > len(durable) and rng.random() < 0.3:
        # One block of the unsynced part was not written; it reads as zeros.
        zeros_start = rng.randint(len(durable), len(surviving) - 1)
        surviving = (
            surviving[:zeros_start]
            + bytes(min(16, len(surviving) - zeros_start))
            + surviving[zeros_start + 16 :]
        )
    return surviving
