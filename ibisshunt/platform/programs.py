"""Assemble the balancer, agent and control programs from the components."""

from collections.abc import Callable, Iterable
from itertools import chain

from ..components.directory.internal_socket import InternalSocket
from ..components.directory.node import NodeDirectory
from ..coordination.directory.messages import NodeRole
from ..core import Kernel
from ..exceptions import ConfigurationError
from ..helpers.imports import import_in_steps
from ..helpers.logging import warn_event
from ..helpers.samples import Sample
from ..model.address import Address
from ..model.node import NodeSettings
from .configuration import read_configuration
from .packet import CODEC

# Port of each process's metrics page; the deploy file names it for the platform.
METRICS_PORT = 9464
# Modules of the replicated log; each takes some milliseconds to import.
_REPLICATED_LOG_MODULES = (
    "..coordination.consensus.messages",
    "..coordination.consensus.dispatch",
    "..protocol.framed",
    "..components.consensus.driver",
    "..components.consensus.replicated_log",
    "..components.versions",
    "..components.web.wsgi",
)
# Name of the kernel service that is called with new seeds.
RELOAD_SERVICE = "reload"


def _serve_metrics(
    kernel: Kernel,
    settings: NodeSettings,
    *sources: Callable[[], Iterable[Sample]],
) -> None:
    """Serve the metrics page; the process runs without it when the port is in use."""
    from ..components.web.metrics import make_metrics_handler
    from ..components.web.minimal_server import MinimalHttpServer

    def collect() -> Iterable[Sample]:
        return chain.from_iterable(source() for source in sources)

    address = Address(settings.address, METRICS_PORT)
    server = MinimalHttpServer(address, make_metrics_handler(collect))
    try:
        server.start()
    except OSError as error:
        warn_event("metrics_not_shown", peer=address, error=error)
        return
    kernel.register("metrics-page", server, unload=server.stop)


def set_up_balancer(kernel: Kernel, settings: NodeSettings) -> None:
    """Start a balancer."""
    from ..components.forwarding.balancer import BalancerTask
    from ..components.forwarding.checkpoints import CheckpointTask
    from ..components.web.minimal_server import MinimalHttpServer
    from .readiness import make_readiness_handler

    internal_socket = InternalSocket(settings.internal_address)
    task = BalancerTask(settings, CODEC, internal_socket)

    def apply_configuration(body: bytes) -> int | None:
        try:
            routes = read_configuration(body)
        except ConfigurationError as error:
            # Unexpected, because control hosts validate configurations before they
            # distribute them. The previous configuration stays in effect.
            warn_event("configuration_refused", reason=error.fault.reason)
            return None
        task.update_routes(routes)
        return routes.version

    directory = NodeDirectory(
        internal_socket,
        NodeRole.BALANCER,
        settings.seeds,
        apply_configuration,
        task.add_agent,
        settings.failure_domain,
        task.apply_agent_list,
    )
    task.list_peers = lambda: directory.view.peers
    task.list_same_domain_agents = lambda: directory.view.same_domain_agents
    task.get_drained_domains = lambda: directory.drained_domains
    checkpoints = CheckpointTask(
        settings.address,
        task.balancer,
        internal_socket,
        directory.list_control_hosts,
        directory.list_recent_control_hosts,
        settings.fault_tolerance,
    )

    def is_ready() -> bool:
        return not kernel.is_stopping() and task.can_place_flows()

    server = MinimalHttpServer(settings.ready, make_readiness_handler(is_ready))
    server.start()

    def unload() -> None:
        task.drain_traffic()
        checkpoints.send()
        server.stop()

    kernel.spawn("inner", internal_socket.run)
    kernel.spawn("directory", directory.run)
    kernel.spawn("packets", task.run)
    kernel.spawn("sweep", task.run_tick)
    kernel.spawn("recollection", checkpoints.run_recovery)
    kernel.spawn("checkpoints", checkpoints.run_sending)
    kernel.register("directory", directory, dump=directory.dump)
    kernel.register("balancer", task, unload=unload, dump=task.dump)
    _serve_metrics(kernel, settings, task.list_samples, internal_socket.list_samples)
    kernel.register(RELOAD_SERVICE, directory.view.set_seeds)


def set_up_agent(kernel: Kernel, settings: NodeSettings) -> None:
    """Start an agent."""
    from ..components.forwarding.agent import AgentTask
    from ..components.web.minimal_server import MinimalHttpServer
    from .heartbeats import make_instance_handler

    internal_socket = InternalSocket(settings.internal_address)
    directory: NodeDirectory
    task = AgentTask(
        settings, CODEC, internal_socket, lambda: directory.view.list_nodes()
    )

    def apply_configuration(body: bytes) -> int | None:
        try:
            routes = read_configuration(body)
        except ConfigurationError as error:
            warn_event("configuration_refused", reason=error.fault.reason)
            return None
        task.agent.update_routes(routes)
        return routes.version

    directory = NodeDirectory(
        internal_socket,
        NodeRole.AGENT,
        settings.seeds,
        apply_configuration,
        task.send_initial_status,
        settings.failure_domain,
        is_empty=task.is_target_gone,
        on_drained_domains=task.update_drained_domains,
    )
    kernel.spawn("inner", internal_socket.run)
    kernel.spawn("directory", directory.run)
    kernel.spawn("outward", task.run)
    kernel.spawn("status", task.run_status)
    kernel.spawn("gathering", task.run_aggregation)
    kernel.register("directory", directory, dump=directory.dump)
    server = MinimalHttpServer(settings.control, make_instance_handler(task))
    server.start()

    def unload() -> None:
        task.stop()
        if task.is_target_gone():
            directory.leave()
        server.stop()

    kernel.register("agent", task, unload=unload, dump=task.dump)
    _serve_metrics(kernel, settings, task.list_samples, internal_socket.list_samples)
    kernel.register(RELOAD_SERVICE, directory.view.set_seeds)


def set_up_control(kernel: Kernel, settings: NodeSettings) -> None:
    """Start a control host.

    Nodes are notified of the saved configuration before the replicated log is imported:
    after a power loss of the whole fleet no flow is served without a configuration, and
    that import takes two thirds of the start-up time.
    """
    from ..components.directory.archive import ArchiveTask
    from ..components.directory.control import ControlDirectory
    from ..components.directory.saved_state import open_directory_files
    from ..coordination.versions import FleetState
    from ..helpers.threads import run_in_thread

    internal_socket = InternalSocket(settings.internal_address)
    files = open_directory_files(settings.data_folder)
    state = FleetState()
    directory = ControlDirectory(internal_socket, state, tuple, files)
    archive = ArchiveTask(internal_socket, files.files, run_in_thread)
    kernel.spawn("inner", internal_socket.run)
    directory.notify_saved_nodes()
    import_in_steps(_REPLICATED_LOG_MODULES, __package__)
    from ..components import versions
    from ..components.web.wsgi import start_wsgi_server
    from .operator import make_operator_handler

    service = versions.setup(kernel, settings, state)
    directory.list_control_hosts = service.list_control_hosts
    kernel.spawn("directory", directory.run)
    kernel.spawn("directory-files", directory.run_saving)
    kernel.spawn("directory-drained", directory.run_drained_domains)
    kernel.spawn("directory-confirm", directory.run_confirmation, service.is_current)
    kernel.spawn("flow-archive", archive.run_saving)
    kernel.register("directory", directory, dump=directory.dump)
    server = start_wsgi_server(
        settings.control, make_operator_handler(service, settings.failure_domains)
    )
    kernel.register("calls", server, unload=lambda: server.stop(timeout=0))
    _serve_metrics(kernel, settings, service.list_samples, internal_socket.list_samples)
    kernel.register(RELOAD_SERVICE, service.add_seeds)


PROGRAMS = {
    "balancer": set_up_balancer,
    "agent": set_up_agent,
    "control": set_up_control,
}
