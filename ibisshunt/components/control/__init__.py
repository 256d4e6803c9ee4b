"""Keep the records and tell every node of them."""

from dataclasses import dataclass, replace
from typing import Any, Final

from ...core import Kernel
from ...helpers.logging import log_event, warn_event
from ...helpers.tls import make_channel_credentials, make_server_credentials
from ...model.address import Address
from ...protocol.messages import ANNOUNCE, APPLY, LIST, REPORT, STATUS, WATCH
from ...protocol.records import HISTORY
from ...protocol.rpc import Channel, Server
from ...settings import ControlSettings
from .. import consensus
from ..consensus import Options
from .host import Host
from .leases import LeaseHandler
from .records import RecordHandler
from .reports import ReportHandler
from .state import ControlState
from .watches import WatchHandler

# Each stream holds one worker, which is a greenlet.
MAX_STREAMS: Final = 2_048


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


def make_options(settings: ControlSettings) -> Options:
    """Return the options of the log: the hosts talk to each other under TLS too."""
    credentials = make_channel_credentials(settings.tls)
    return Options(make_channel=lambda address: Channel(address, credentials))


def leave_out_self(settings: ControlSettings) -> ControlSettings:
    """Return the settings with the other hosts alone as peers.

    Operators like to give all hosts one list. A host that is its own peer would count
    twice, and three hosts would need three for a quorum.
    """
    others = {
        name: address
        for name, address in settings.peers.items()
        if name != settings.name
    }
    return replace(settings, peers=others)


def setup(
    kernel: Kernel, settings: ControlSettings, options: Options | None = None
) -> Control:
    """Start a control host; register it as "control" and return it.

    ``options`` of the replicated log are for tests and embedders.
    """
    if not settings.admin_token_hash:
        warn_event("control_open", reason="no admin_token_hash: anyone may change all")
    settings = leave_out_self(settings)
    state = ControlState()
    log = consensus.setup(
        kernel, settings, state.as_machine(), options or make_options(settings)
    )
    host = Host(settings, state, log)
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
        **consensus.make_handlers(log),
    }
    credentials = make_server_credentials(settings.tls)
    server = Server(settings.rpc, handlers, MAX_STREAMS, credentials)
    control = Control(server.address, host, leases, watches, reports)
    task = kernel.spawn("leases", leases.run)

    def unload() -> None:
        task.kill()
        watches.stop()
        # Before the server: the successor must be able to answer while it takes over.
        log.stop()
        server.stop()

    server.start()
    log.start()
    log_event("control_started", name=settings.name, rpc=server.address)
    kernel.register("control", control, unload=unload, dump=control.dump)
    return control
