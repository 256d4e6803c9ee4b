"""Keep the records and tell every node of them."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from ...core import Kernel
from ...helpers.logging import log_event, warn_event
from ...helpers.tls import make_server_credentials
from ...model.address import Address
from ...protocol.messages import ANNOUNCE, APPLY, LIST, REPORT, STATUS, WATCH
from ...protocol.records import HISTORY
from ...protocol.rpc import Server
from ...settings import ControlSettings
from .host import Host
from .leases import LeaseHandler
from .log import Journal, Log, StateMachine
from .records import RecordHandler
from .reports import ReportHandler
from .state import ControlState
from .watches import WatchHandler

# Each stream holds one worker, which is a greenlet.
MAX_STREAMS: Final = 2_048

OpenLog = Callable[[ControlSettings, StateMachine], Log]


@dataclass(frozen=True, slots=True)
class Control:
    """Hold the parts of one control host; ``address`` is where it serves."""

    address: Address
    host: Host
    leases: LeaseHandler
    watches: WatchHandler
    reports: ReportHandler

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        store = self.host.state.store
        return {
            "leader": self.host.log.leader(),
            "revision": store.revision,
            "records": len(store.draft.records),
            "targets": [
                {
                    "service": f"{target.announcement.business}"
                    f"/{target.announcement.service}",
                    "name": target.name,
                    "incarnation": target.incarnation,
                    "state": self.leases.describe(target),
                }
                for target in store.list_targets()
            ],
            "streams": self.watches.streams,
            "nodes": {
                node: found.revision for node, found in self.reports.reports.items()
            },
        }


def open_journal(settings: ControlSettings, machine: StateMachine) -> Log:
    """Open the log of a control host that has no peers."""
    return Journal(settings.name, Path(settings.data_folder), machine)


def setup(
    kernel: Kernel, settings: ControlSettings, open_log: OpenLog = open_journal
) -> Control:
    """Start a control host; register it as "control" and return it."""
    if not settings.admin_token_hash:
        warn_event("control_open", reason="no admin_token_hash: anyone may change all")
    state = ControlState()
    host = Host(settings, state, open_log(settings, state.as_machine()))
    records, watches, leases = (
        RecordHandler(host),
        WatchHandler(host),
        LeaseHandler(host),
    )
    reports = ReportHandler(host, leases)
    handlers = {
        APPLY: records.apply,
        LIST: records.list_records,
        HISTORY: records.list_history,
        WATCH: watches.watch,
        ANNOUNCE: leases.announce,
        REPORT: reports.report,
        STATUS: reports.tell_status,
    }
    credentials = make_server_credentials(settings.tls)
    server = Server(settings.rpc, handlers, MAX_STREAMS, credentials)
    control = Control(server.address, host, leases, watches, reports)
    task = kernel.spawn("leases", leases.run)

    def unload() -> None:
        task.kill()
        watches.stop()
        server.stop()
        host.log.stop()

    server.start()
    log_event("control_started", name=settings.name, rpc=server.address)
    kernel.register("control", control, unload=unload, dump=control.dump)
    return control
