"""Replicate one log over all control hosts (Raft).

Usage, in the component that owns the state machine::

    machine = StateMachine(apply=apply, take_snapshot=take, restore=restore)
    log = setup(kernel, settings, machine)          # reads the data folder
    server = Server(settings.rpc, {**handlers, **make_handlers(log)})
    server.start()
    log.start()                                     # after the server has started
    result = log.propose(command, timeout=5.0)      # any host; Result[bytes, Fault]
    result = log.read_barrier(timeout=5.0)          # Result[int, Fault]; then read
    log.get_leader_name(), log.find_leader_address(), log.is_leading()
    log.stop()                                      # before the server stops

``apply(index, command) -> bytes`` must be deterministic and must not raise; it runs in
the event loop of the log, so it must not block. After a restart ``restore`` gets the
newest snapshot during ``setup``, and ``apply`` then gets each later entry again. A
fault of ``propose`` is ``NotAccepted`` (no effect, safe to retry) or ``OutcomeUnknown``
(resend with the same operation id); ``read_barrier`` fails with ``NotConfirmed``. A
host without peers is a single-host cluster. Registered as "replicated-log".
"""

import secrets
from dataclasses import replace
from pathlib import Path

import gevent

from ...core import Kernel
from ...exceptions import Fault, StorageError
from ...helpers.threads import run_in_thread
from ...model.settings import ControlSettings
from ..storage.files import DiskFiles
from ..storage.store import LogStore, RecoveredState
from .diagnostics import dump_log, list_samples
from .driver import StateMachine
from .handlers import make_handlers
from .replicated_log import ReplicatedLog, ReplicatedLogOptions

__all__ = [
    "ReplicatedLogOptions",
    "ReplicatedLog",
    "StateMachine",
    "make_handlers",
    "setup",
]

SERVICE_NAME = "replicated-log"
DISK_ID_BYTES = 8


def setup(
    kernel: Kernel,
    settings: ControlSettings,
    machine: StateMachine,
    options: ReplicatedLogOptions | None = None,
) -> ReplicatedLog:
    """Recover the log from the data folder; raise StorageError if it is damaged."""
    # A host that lists itself as a peer would count twice towards the quorum.
    other_hosts = {
        peer: address
        for peer, address in settings.peers.items()
        if peer != settings.name
    }
    settings = replace(settings, peers=other_hosts)
    folder = Path(settings.data_folder)
    options = options or ReplicatedLogOptions()
    pause = gevent.sleep if options.wait_for_disk_space else None
    store = LogStore(DiskFiles(folder, run_in_thread, pause))
    recovered = _recover(store, folder, settings.name)
    log = ReplicatedLog(settings, machine, store, recovered, kernel.spawn, options)
    name = (
        f"{SERVICE_NAME}-{settings.name}"
        if SERVICE_NAME in kernel.list_names()
        else SERVICE_NAME
    )
    kernel.register(name, log, log.stop, lambda: dump_log(log))
    if "metrics" in kernel.list_names():
        kernel.find("metrics").collect(lambda: list_samples(log))
    return log


def _recover(store: LogStore, folder: Path, name: str) -> RecoveredState:
    try:
        return store.recover(name, lambda: secrets.token_hex(DISK_ID_BYTES))
    except StorageError as error:
        store.close()
        # Several control hosts may run in one process, so the error names the folder.
        fault = error.fault
        peer = str(folder / fault.peer)
        raise StorageError(Fault(fault.step, peer, fault.reason)) from error
