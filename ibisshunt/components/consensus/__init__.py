"""Offer one log that all control hosts agree on.

Usage, in the component that owns the state machine::

    machine = StateMachine(apply=apply, take_snapshot=take, restore=restore)
    log = setup(kernel, settings, machine)          # reads the data folder
    server = Server(settings.rpc, {**own, **make_handlers(log)})
    server.start()
    log.start()                                     # after the handlers are served
    result = log.propose(command, timeout=5.0)      # any host; Result[bytes, Fault]
    result = log.read_barrier(timeout=5.0)          # Result[int, Fault]; then read
    log.leader(), log.leader_address(), log.is_leading()
    log.stop()                                      # before the server stops

``apply(index, command) -> bytes`` must be deterministic and must not raise; it runs in
the task of the log, so it must not wait. After a restart ``restore`` gets the newest
snapshot during ``setup`` and then ``apply`` each later entry again. A fault is
``NotAccepted`` (no effect, try again) or ``OutcomeUnknown`` (resend with the same
operation id); ``read_barrier`` fails with ``NotConfirmed``. One host without peers is
a cluster of its own. Registered as "replicated-log".
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
from ..storage.store import Recovered, Store
from .driver import StateMachine
from .replicated_log import Options, ReplicatedLog
from .report import dump_log, list_samples
from .serving import make_handlers

__all__ = ["Options", "ReplicatedLog", "StateMachine", "make_handlers", "setup"]

SERVICE = "replicated-log"
DISK_ID_BYTES = 8


def setup(
    kernel: Kernel,
    settings: ControlSettings,
    machine: StateMachine,
    options: Options | None = None,
) -> ReplicatedLog:
    """Recover the log from the data folder; raise StorageError when it is damaged."""
    # A host that is its own peer would count twice for a quorum.
    others = {n: found for n, found in settings.peers.items() if n != settings.name}
    settings = replace(settings, peers=others)
    folder = Path(settings.data_folder)
    options = options or Options()
    pause = gevent.sleep if options.wait_for_room else None
    store = Store(DiskFiles(folder, run_in_thread, pause))
    recovered = _recover(store, folder, settings.name)
    log = ReplicatedLog(settings, machine, store, recovered, kernel.spawn, options)
    name = f"{SERVICE}-{settings.name}" if SERVICE in kernel.names() else SERVICE
    kernel.register(name, log, log.stop, lambda: dump_log(log))
    if "metrics" in kernel.names():
        kernel.find("metrics").collect(lambda: list_samples(log))
    return log


def _recover(store: Store, folder: Path, name: str) -> Recovered:
    try:
        return store.recover(name, lambda: secrets.token_hex(DISK_ID_BYTES))
    except StorageError as error:
        store.close()
        # Several control hosts may run in one process: name the folder as well.
        fault = error.fault
        peer = str(folder / fault.peer)
        raise StorageError(Fault(fault.step, peer, fault.reason)) from error
