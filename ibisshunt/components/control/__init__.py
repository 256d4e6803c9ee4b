"""Store the records and distribute the configuration to all nodes."""

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
from ..consensus import ReplicatedLogOptions
from .host import ControlHost
from .leases import LeaseHandler
from .records import RecordHandler
from .reports import ReportHandler
from .state import ControlState
from .watches import WatchHandler

# Each watch stream occupies one worker, which is a greenlet.
MAX_STREAMS: Final = 2_048


@dataclass(frozen=True, slots=True)
class Control:
    """Parts of one control host; ``address`` is its RPC address."""

    address: Address
    host: ControlHost
    leases: LeaseHandler
    watches: WatchHandler
    reports: ReportHandler

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        store = self.host.state.store
        return {
            "leader": self.host.log.get_leader_name(),
            "revision": store.revision,
            "records": len(store.record_set.records),
            "targets": [
                {
                    "service": f"{target.announcement.business}"
                    f"/{target.announcement.service}",
                    "name": target.name,
                    "incarnation": target.incarnation,
                    "state": self.leases.get_state_text(target),
                }
                for target in store.list_targets()
            ],
            "streams": self.watches.stream_count,
            "nodes": {
                node: report.revision for node, report in self.reports.reports.items()
            },
        }


def make_log_options(settings: ControlSettings) -> ReplicatedLogOptions:
    """Return the log options; traffic between control hosts uses TLS too."""
    credentials = make_channel_credentials(settings.tls)
    return ReplicatedLogOptions(
        make_channel=lambda address: Channel(address, credentials)
    )


def exclude_self_from_peers(settings: ControlSettings) -> ControlSettings:
    """Return the settings without this host among its peers.

    Operators may give all hosts the same list. A host that is its own peer would count
    twice, and three hosts would need three for a quorum.
    """
    other_hosts = {
        name: address
        for name, address in settings.peers.items()
        if name != settings.name
    }
    return replace(settings, peers=other_hosts)


def setup(
    kernel: Kernel,
    settings: ControlSettings,
    options: ReplicatedLogOptions | None = None,
) -> Control:
    """Start a control host; register it as "control" and return it.

    ``options`` configure the replicated log, for tests and embedders.
    """
    if not settings.admin_token_hash:
        warn_event(
            "control_open", reason="no admin_token_hash: anyone may change any record"
        )
    settings = exclude_self_from_peers(settings)
    state = ControlState()
    log = consensus.setup(
        kernel,
        settings,
        state.make_state_machine(),
        options or make_log_options(settings),
    )
    host = ControlHost(settings, state, log)
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
        ANNOUNCE: leases.handle_announce,
        REPORT: reports.record_report,
        STATUS: reports.get_status,
        **consensus.make_handlers(log),
    }
    credentials = make_server_credentials(settings.tls)
    server = Server(settings.rpc, handlers, MAX_STREAMS, credentials)
    control = Control(server.address, host, leases, watches, reports)
    task = kernel.spawn("leases", leases.run)

    def unload() -> None:
        task.kill()
        watches.stop()
        # Before the server stops: the next leader must still be able to reach this host
        # while leadership is transferred.
        log.stop()
        server.stop()

    server.start()
    log.start()
    log_event("control_started", name=settings.name, rpc=server.address)
    kernel.register("control", control, unload=unload, dump=control.dump)
    return control
