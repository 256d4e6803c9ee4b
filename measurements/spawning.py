"""Run the programs as separate processes on loopback for measurements."""

import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

import gevent
from gevent import socket

from ibisshunt.model.address import Address

UNKNOWN_EXIT = -1
ROOT = Path(__file__).resolve().parent.parent


def reserve_addresses(count: int, kind: int) -> list[Address]:
    """Return addresses that were free a moment ago."""
    held = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for probe in held:
        probe.bind(("127.0.0.1", 0))
    addresses = [Address(*probe.getsockname()) for probe in held]
    for probe in held:
        probe.close()
    return addresses


class Program:
    """Own one process of the system; it may be stopped, killed and started again."""

    def __init__(self, kind: str, settings: dict[str, Any], folder: Path) -> None:
        self.name = settings["name"]
        self.settings = settings
        self._kind = kind
        self._log = folder / f"{kind}-{self.name}.log"
        self._path = folder / f"{kind}-{self.name}.json"
        self.pid = 0

    def start(self) -> None:
        """Start the process.

        Spawned and not forked: gevent's and gRPC's handlers in a forked child hang it
        now and then before it has become the program.
        """
        self._path.write_text(json.dumps(self.settings))
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        command = [sys.executable, "-m", f"ibisshunt.cli.{self._kind}"]
        command += ["--settings", str(self._path)]
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        actions = [
            (os.POSIX_SPAWN_OPEN, 1, str(self._log), flags, 0o600),
            (os.POSIX_SPAWN_DUP2, 1, 2),
        ]
        self.pid = os.posix_spawn(
            sys.executable, command, environment, file_actions=actions
        )

    def send(self, number: int) -> None:
        """Send a signal."""
        os.kill(self.pid, number)

    def stop(self, timeout: float = 40.0) -> int:
        """Ask the process to stop; return its exit code."""
        self.send(signal.SIGTERM)
        return self._wait(timeout)

    def kill(self) -> None:
        """End the process without a word, as a host that fails does."""
        if not self.pid:
            return
        self.send(signal.SIGKILL)
        self._wait(10.0)

    def _wait(self, timeout: float) -> int:
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            try:
                found, status = os.waitpid(self.pid, os.WNOHANG)
            except ChildProcessError:
                # gevent's loop has taken the exit code already.
                self.pid = 0
                return UNKNOWN_EXIT
            if found:
                self.pid = 0
                return os.waitstatus_to_exitcode(status)
            gevent.sleep(0.02)
        raise TimeoutError(f"{self.name} did not stop: {self.read_log()}")

    def read_log(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text()
