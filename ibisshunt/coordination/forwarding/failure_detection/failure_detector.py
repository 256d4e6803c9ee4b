"""Detect, at one balancer, which agents have failed."""

from ..messages import SendMessage
from ..placement.target import PING_AFTER_SECONDS, Target
from ..state import BalancerState
from .suspect_pinger import REFERENCE_AGENTS, SuspectPinger


class FailureDetector:
    """Suspect silent agents, and mark those that do not respond."""

    def __init__(self, state: BalancerState) -> None:
        self.state = state
        self.suspect_pinger = SuspectPinger()

    def suspect(self, target: Target, now: float) -> None:
        """Start to ping the agent of a target, if its silence may mean a failure."""
        if not self.suspect_pinger.has_capacity() or not target.can_be_suspected(now):
            return
        others = [
            other.address
            for other in self.state.targets.values()
            if other is not target and other.can_relay(now)
        ]
        if not others:
            return
        first = int(self.state.random_fraction() * len(others))
        reference_agents = (others[first:] + others[:first])[:REFERENCE_AGENTS]
        target.is_suspected = True
        self.suspect_pinger.add_suspect(target.address, reference_agents, now)
        self.state.log_event(
            "target_doubted",
            peer=target.address,
            silent_ms=int(1000 * (now - target.last_status_at)),
        )

    def handle_pong(self, address: str, sequence: int, now: float) -> None:
        """Handle the answer to a ping."""
        is_cleared = self.suspect_pinger.handle_pong(address, sequence, now)
        if is_cleared and address in self.state.targets:
            self.state.targets[address].is_suspected = False

    def detect_unresponsive(self, now: float) -> list[Target]:
        """Suspect agents with late statuses; return the targets that do not respond."""
        for target in self.state.targets.values():
            if (
                now - target.last_status_at >= PING_AFTER_SECONDS
                and not target.is_silent(now)
            ):
                self.suspect(target, now)
        unresponsive: list[Target] = []
        for verdict in self.suspect_pinger.pop_verdicts(now):
            target = self.state.targets.get(verdict.address)
            if target is None:
                continue
            target.is_suspected = False
            if verdict.is_unresponsive:
                self._mark_unresponsive(target, now)
                unresponsive.append(target)
        return unresponsive

    def make_pings(self, now: float) -> list[SendMessage]:
        """Return the pings that are due."""
        return [
            SendMessage(peer, ping)
            for peer, ping in self.suspect_pinger.make_pings(now)
        ]

    def _mark_unresponsive(self, target: Target, now: float) -> None:
        target.is_unresponsive = True
        self.state.log_event(
            "target_deaf",
            peer=target.address,
            silent_ms=int(1000 * (now - target.last_status_at)),
        )
