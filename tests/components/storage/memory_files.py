"""Fake folder in memory that loses unsynced data and crashes on demand."""

import random

from ibisshunt.exceptions import Fault, StorageError


class CrashError(Exception):
    """The simulated process crashes at this operation."""


class MemoryFiles:
    def __init__(self, random_source=None):
        self.random = random_source or random.Random(0)
        self.contents = {}  # file id -> content as the process sees it
        self.synced = {}  # file id -> durable content
        self.synced_names = {}  # durable names -> file id
        self.current_names = {}  # name -> file id
        self.next_id = 0
        self.crash_after = None
        self.free_space = None
        self.operations = 0

    def _step(self):
        self.operations += 1
        if self.crash_after is None:
            return
        self.crash_after -= 1
        if self.crash_after < 0:
            raise CrashError

    def list(self):
        return sorted(self.current_names)

    def read(self, name):
        return self.contents[self.current_names[name]]

    def append(self, name, data):
        self._step()
        if self.free_space is not None and len(data) > self.free_space:
            raise StorageError(Fault("write file", name, "disk full"))
        if name not in self.current_names:
            self.next_id += 1
            self.current_names[name] = self.next_id
            self.contents[self.next_id] = b""
            self.synced[self.next_id] = b""
        self.contents[self.current_names[name]] += data

    def truncate(self, name, size):
        self._step()
        self.contents[self.current_names[name]] = self.contents[
            self.current_names[name]
        ][:size]

    def sync(self, name):
        self._step()
        self.synced[self.current_names[name]] = self.contents[self.current_names[name]]

    def sync_folder(self):
        self._step()
        self.synced_names = dict(self.current_names)

    def rename(self, old, new):
        self._step()
        self.current_names[new] = self.current_names.pop(old)

    def remove(self, name):
        self._step()
        self.current_names.pop(name)

    def count_free_bytes(self):
        return 1 << 40 if self.free_space is None else self.free_space

    def close(self):
        pass

    def crash(self):
        """Lose a random part of the unsynced content, and unsynced names at random."""
        self.crash_after = None
        if self.random.random() < 0.5:
            self.synced_names = dict(self.current_names)
        self.current_names = dict(self.synced_names)
        for file_id in set(self.current_names.values()):
            self.contents[file_id] = self.synced[file_id] = self._tear(file_id)

    def _tear(self, file_id):
        synced, current = self.synced[file_id], self.contents[file_id]
        if not current.startswith(synced):
            return self.random.choice((synced, current))
        unsynced = current[len(synced) :]
        kept = unsynced[: self.random.randint(0, len(unsynced))]
        # Some file systems keep the length and lose the content.
        if kept and self.random.random() < 0.3:
            kept = bytes(len(kept))
        return synced + kept
