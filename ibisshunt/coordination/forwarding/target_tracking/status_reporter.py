"""Report an agent's target to the balancers."""

from ..messages import FLOWS_PER_MESSAGE, FlowLocations, Status
from .flow_table import FlowTable
from .local_target import LocalTarget
from .request_tracker import RequestTracker


class StatusReporter:
    """Build and number the statuses of one agent.

    ``agent_start_ms`` is the agent's start by its host's clock, in milliseconds.
    """

    def __init__(
        self,
        service: str,
        agent_start_ms: int,
        target: LocalTarget,
        flow_table: FlowTable,
        requests: RequestTracker,
    ) -> None:
        self._service = service
        self._agent_start_ms = agent_start_ms
        self._target = target
        self._flow_table = flow_table
        self._requests = requests
        self._sequence = 0

    def make_status(
        self, active_requests: int, configuration_version: int, now: float
    ) -> Status:
        """Return the next status."""
        self._sequence += 1
        heartbeat = self._target.current_heartbeat
        flows = len(self._flow_table.by_key)
        return Status(
            self._agent_start_ms,
            self._sequence,
            self._service,
            self._target.compute_reported_state(bool(flows), now),
            heartbeat.slots if heartbeat else 1,
            active_requests,
            flows,
            int(self._requests.mean_service_seconds * 1e6),
            self._target.compute_warmup_left_ms(now),
            configuration_version,
            round(100 * self._requests.estimate_failure_share(now)),
            self._target.incarnations.incarnation_id,
            self._target.is_confirmed(now),
        )

    def list_opened_before_heartbeat(self, address: str) -> list[FlowLocations]:
        """Return a message with the flows opened before the target's first heartbeat.

        Their checkpoints may name the previous incarnation, so a balancer that has
        restarted would reset them as ended. ``address`` is the agent's.
        """
        keys = self._flow_table.list_opened_before_heartbeat()[:FLOWS_PER_MESSAGE]
        return [FlowLocations(tuple((key, address) for key in keys))] if keys else []
