"""Keep the records and tell every node of them."""

from collections.abc import Callable
from pathlib import Path

from ...core import Kernel
from ...helpers.logging import log_event
from ...protocol.messages import ANNOUNCE, APPLY, LIST, REPORT, STATUS, WATCH
from ...protocol.rpc import Server
from ...settings import ControlSettings
from .log import Journal, Log, StateMachine
from .server import ControlServer
from .state import ControlState

OpenLog = Callable[[ControlSettings, StateMachine], Log]


def open_journal(settings: ControlSettings, machine: StateMachine) -> Log:
    """Open the log of a control host that has no peers."""
    return Journal(settings.name, Path(settings.data_folder), machine)


def setup(
    kernel: Kernel, settings: ControlSettings, open_log: OpenLog = open_journal
) -> ControlServer:
    """Start a control host; register it as "control" and return it."""
    state = ControlState()
    log = open_log(settings, state.as_machine())
    control = ControlServer(settings, state, log)
    server = Server(
        settings.rpc,
        {
            APPLY: control.apply,
            LIST: control.list_records,
            WATCH: control.watch,
            ANNOUNCE: control.announce,
            REPORT: control.report,
            STATUS: control.tell_status,
        },
    )
    control.address = server.address

    def unload() -> None:
        control.stop()
        server.stop()
        log.stop()

    server.start()
    log_event("control_started", name=settings.name, rpc=server.address)
    kernel.register("control", control, unload=unload, dump=control.dump)
    return control
