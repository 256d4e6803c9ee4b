"""Set up the components of each program."""

from .components import admin, control as control_component, node, requests
from .components.agent import packets as agent_packets, streams as agent_streams
from .components.balancer import (
    packets as balancer_packets,
    streams as balancer_streams,
)
from .core import Kernel
from .helpers.metrics import Metrics
from .helpers.tls import make_channel_credentials
from .settings import (
    AgentSettings,
    BalancerSettings,
    ControlSettings,
    StandaloneSettings,
)


def set_up_control(kernel: Kernel, settings: ControlSettings) -> None:
    """Set up a control host."""
    kernel.register("metrics", Metrics())
    control_component.setup(kernel, settings)
    admin.setup(kernel, settings.admin)


def set_up_balancer(kernel: Kernel, settings: BalancerSettings) -> None:
    """Set up a balancer."""
    kernel.register("metrics", Metrics())
    credentials = make_channel_credentials(settings.tls)
    node.setup_configuration(
        kernel, settings.name, "balancer", settings.control, credentials=credentials
    )
    balancer_packets.setup(kernel, settings)
    if settings.streams:
        balancer_streams.setup(kernel, settings)
    admin.setup(kernel, settings.admin)


def set_up_agent(kernel: Kernel, settings: AgentSettings) -> None:
    """Set up an agent, which runs on the host of its target."""
    kernel.register("metrics", Metrics())
    credentials = make_channel_credentials(settings.tls)
    service = f"{settings.target.business}/{settings.target.service}"
    node.setup_configuration(
        kernel, settings.name, "agent", settings.control, (service,), credentials
    )
    announcer = node.setup_announcement(kernel, settings, credentials)
    agent_packets.setup(kernel, settings)
    agent_streams.setup(kernel, settings)
    requests.setup(kernel, settings)
    admin.setup(kernel, settings.admin)
    # Registered last, so that it is unloaded first: the control hosts must be notified
    # that the target leaves before the agent stops accepting work. Otherwise new flows
    # would be refused in the meantime.
    kernel.register("departure", announcer, unload=announcer.leave)


def set_up_standalone(kernel: Kernel, settings: StandaloneSettings) -> None:
    """Set up control hosts, balancers and agents in one process."""
    for control in settings.control:
        set_up_control(kernel.make_child(f"control.{control.name}"), control)
    for balancer in settings.balancers:
        set_up_balancer(kernel.make_child(f"balancer.{balancer.name}"), balancer)
    for agent in settings.agents:
        set_up_agent(kernel.make_child(f"agent.{agent.name}"), agent)
