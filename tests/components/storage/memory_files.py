"""A folder in memory that loses what was not synced, and fails where it is told."""

import random

from ibisshunt.exceptions import Fault, StorageError


class CrashError(Exception):
    """The process dies at this operation."""


class MemoryFiles:
    def __init__(self, random_source=None):
        self.random = random_source or random.Random(0)
        self.contents = {}  # name -> bytes as the process sees them
        self.synced = {}  # file object id -> bytes that last
        self.names = {}  # names that last -> file object id
        self.live = {}  # name -> file object id
        self.next_id = 0
        self.crash_after = None
        self.room = None
        self.operations = 0

    def _step(self):
        self.operations += 1
        if self.crash_after is None:
            return
        self.crash_after -= 1
        if self.crash_after < 0:
            raise CrashError

    def list(self):
        return sorted(self.live)

    def read(self, name):
        return self.contents[self.live[name]]

    def append(self, name, data):
        self._step()
        if self.room is not None and len(data) > self.room:
            raise StorageError(Fault("write file", name, "disk full"))
        if name not in self.live:
            self.next_id += 1
            self.live[name] = self.next_id
            self.contents[self.next_id] = b""
            self.synced[self.next_id] = b""
        self.contents[self.live[name]] += data

    def truncate(self, name, size):
        self._step()
        self.contents[self.live[name]] = self.contents[self.live[name]][:size]

    def sync(self, name):
        self._step()
        self.synced[self.live[name]] = self.contents[self.live[name]]

    def sync_folder(self):
        self._step()
        self.names = dict(self.live)

    def rename(self, old, new):
        self._step()
        self.live[new] = self.live.pop(old)

    def remove(self, name):
        self._step()
        self.live.pop(name)

    def free_bytes(self):
        return 1 << 40 if self.room is None else self.room

    def close(self):
        pass

    def crash(self):
        """Lose a random part of what was not synced; names may last or not."""
        self.crash_after = None
        if self.random.random() < 0.5:
            self.names = dict(self.live)
        self.live = dict(self.names)
        for file in set(self.live.values()):
            self.contents[file] = self.synced[file] = self._tear(file)

    def _tear(self, file):
        synced, seen = self.synced[file], self.contents[file]
        if not seen.startswith(synced):
            return self.random.choice((synced, seen))
        lost = seen[len(synced) :]
        kept = lost[: self.random.randint(0, len(lost))]
        # Some file systems keep the length and lose the bytes.
        if kept and self.random.random() < 0.3:
            kept = bytes(len(kept))
        return synced + kept
