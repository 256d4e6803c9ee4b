"""Tell balancers of the target beside an agent."""

from ..messages import FLOWS_PER_MESSAGE, Known, Status
from .held_flows import HeldFlows
from .own_target import OwnTarget
from .requests import RequestLog


class Reporter:
    """Own the numbers of one agent's statuses.

    ``start`` is the agent's start by its host's clock, in milliseconds.
    """

    def __init__(
        self,
        service: str,
        start: int,
        target: OwnTarget,
        held: HeldFlows,
        requests: RequestLog,
    ) -> None:
        self._service = service
        self._start = start
        self._target = target
        self._held = held
        self._requests = requests
        self._number = 0

    def report(self, load: int, version: int, now: float) -> Status:
        """Return the next status; ``load`` counts requests, ``version`` is in force."""
        self._number += 1
        found = self._target.present
        flows = len(self._held.by_key)
        return Status(
            self._start,
            self._number,
            self._service,
            self._target.find_told_state(bool(flows), now),
            found.slots if found else 1,
            load,
            flows,
            int(self._requests.mean_seconds * 1e6),
            self._target.find_warm_left(now),
            version,
            round(100 * self._requests.estimate_failing(now)),
            self._target.incarnations.tag,
        )

    def list_early(self, address: str) -> list[Known]:
        """Return the word of flows that the target took before its first heartbeat.

        They may have been noted as its predecessor's: a balancer that has restarted
        would reset them as ended. ``address`` is the agent's.
        """
        early = self._held.list_early()[:FLOWS_PER_MESSAGE]
        return [Known(tuple((key, address) for key in early))] if early else []
