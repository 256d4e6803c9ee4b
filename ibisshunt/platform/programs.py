"""Assemble the three programs from the product's components."""

from collections.abc import Callable, Iterable
from itertools import chain

from ..components.directory.inner import InnerSocket
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

# Where each process shows its metrics; the deploy file names it to the platform.
METRICS_PORT = 9464
# What the replicated log needs, in parts that each take some milliseconds to load.
_LOG_MODULES = (
    "..coordination.consensus.messages",
    "..coordination.consensus.host",
    "..protocol.framed",
    "..components.consensus.driver",
    "..components.consensus.replicated_log",
    "..components.versions",
    "..components.web.wsgi",
)
# Name of the service that takes new seeds.
RELOAD = "reload"


def _show_metrics(
    kernel: Kernel,
    settings: NodeSettings,
    *sources: Callable[[], Iterable[Sample]],
) -> None:
    """Serve the metrics page; a process works without it when the port is taken."""
    from ..components.web.metrics import answer_metrics
    from ..components.web.small import SmallServer

    def collect() -> Iterable[Sample]:
        return chain.from_iterable(source() for source in sources)

    address = Address(settings.address, METRICS_PORT)
    server = SmallServer(address, answer_metrics(collect))
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
    from ..components.web.small import SmallServer
    from .probe import answer_probe

    inner = InnerSocket(settings.inner)
    task = BalancerTask(settings, CODEC, inner)

    def take(body: bytes) -> int | None:
        try:
            found = read_configuration(body)
        except ConfigurationError as error:
            # Control checked it; the former stays in force on this node.
            warn_event("configuration_refused", reason=error.fault.reason)
            return None
        task.take_routes(found)
        return found.version

    directory = NodeDirectory(
        inner,
        NodeRole.BALANCER,
        settings.seeds,
        take,
        task.meet,
        settings.failure_domain,
        task.finish_list,
    )
    task.list_peers = lambda: directory.contacts.peers
    task.list_near = lambda: directory.contacts.near
    task.find_drained = lambda: directory.drained
    checkpoints = CheckpointTask(
        settings.address,
        task.balancer,
        inner,
        directory.list_control,
        directory.list_heard,
        settings.losses,
    )

    def is_ready() -> bool:
        return not kernel.is_stopping() and task.is_usable()

    server = SmallServer(settings.ready, answer_probe(is_ready))
    server.start()

    def unload() -> None:
        task.wait_until_left()
        checkpoints.send()
        server.stop()

    kernel.spawn("inner", inner.run)
    kernel.spawn("directory", directory.run)
    kernel.spawn("packets", task.run)
    kernel.spawn("sweep", task.run_sweep)
    kernel.spawn("recollection", checkpoints.run_asking)
    kernel.spawn("checkpoints", checkpoints.run_sending)
    kernel.register("directory", directory, dump=directory.dump)
    kernel.register("balancer", task, unload=unload, dump=task.dump)
    _show_metrics(kernel, settings, task.list_samples, inner.list_samples)
    kernel.register(RELOAD, directory.contacts.take_seeds)


def set_up_agent(kernel: Kernel, settings: NodeSettings) -> None:
    """Start an agent."""
    from ..components.forwarding.agent import AgentTask
    from ..components.web.small import SmallServer
    from .endpoint import answer_endpoint

    inner = InnerSocket(settings.inner)
    directory: NodeDirectory
    task = AgentTask(settings, CODEC, inner, lambda: directory.contacts.list_nodes())

    def take(body: bytes) -> int | None:
        try:
            found = read_configuration(body)
        except ConfigurationError as error:
            warn_event("configuration_refused", reason=error.fault.reason)
            return None
        task.agent.take_routes(found)
        return found.version

    directory = NodeDirectory(
        inner,
        NodeRole.AGENT,
        settings.seeds,
        take,
        task.meet,
        settings.failure_domain,
        is_empty=task.has_lost_target,
        take_drained=task.take_drained,
    )
    kernel.spawn("inner", inner.run)
    kernel.spawn("directory", directory.run)
    kernel.spawn("outward", task.run)
    kernel.spawn("status", task.run_status)
    kernel.spawn("gathering", task.run_gathering)
    kernel.register("directory", directory, dump=directory.dump)
    server = SmallServer(settings.control, answer_endpoint(task))
    server.start()

    def unload() -> None:
        task.stop()
        if task.has_lost_target():
            directory.leave()
        server.stop()

    kernel.register("agent", task, unload=unload, dump=task.dump)
    _show_metrics(kernel, settings, task.list_samples, inner.list_samples)
    kernel.register(RELOAD, directory.contacts.take_seeds)


def set_up_control(kernel: Kernel, settings: NodeSettings) -> None:
    """Start a control host.

    What it has kept for the nodes is offered first: nothing is served without it after
    a power loss of the fleet, and the log takes two thirds of the start to load.
    """
    from ..components.directory.archive import ArchiveTask
    from ..components.directory.control import ControlDirectory
    from ..components.directory.known import open_files
    from ..coordination.versions import FleetState
    from ..helpers.threads import run_in_thread

    inner = InnerSocket(settings.inner)
    files = open_files(settings.data_folder)
    state = FleetState()
    directory = ControlDirectory(inner, state, tuple, files)
    archive = ArchiveTask(inner, files.files, run_in_thread)
    kernel.spawn("inner", inner.run)
    directory.greet()
    import_in_steps(_LOG_MODULES, __package__)
    from ..components import versions
    from ..components.web.wsgi import serve
    from .operator import answer_operator

    service = versions.setup(kernel, settings, state)
    directory.list_control = service.list_control
    kernel.spawn("directory", directory.run)
    kernel.spawn("directory-files", directory.run_saving)
    kernel.spawn("directory-drained", directory.run_drained)
    kernel.spawn("directory-confirm", directory.run_confirming, service.is_current)
    kernel.spawn("flow-archive", archive.run_saving)
    kernel.register("directory", directory, dump=directory.dump)
    server = serve(settings.control, answer_operator(service, settings.domains))
    kernel.register("calls", server, unload=lambda: server.stop(timeout=0))
    _show_metrics(kernel, settings, service.list_samples, inner.list_samples)
    kernel.register(RELOAD, service.take_seeds)


PROGRAMS = {
    "balancer": set_up_balancer,
    "agent": set_up_agent,
    "control": set_up_control,
}
