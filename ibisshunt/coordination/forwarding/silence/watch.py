"""Watch, at one balancer, which agents have fallen silent."""

from ..messages import Send
from ..placing.placement import QUIET_SECONDS, Target
from ..state import BalancerState
from .suspicion import CONTROLS, Suspicions


class SilenceWatch:
    """Own the doubts of one balancer about its targets' agents."""

    def __init__(self, state: BalancerState) -> None:
        self.state = state
        self.suspicions = Suspicions()

    def doubt(self, target: Target, now: float) -> None:
        """Ping the agent of a target whose caller has got no answer."""
        if not self.suspicions.has_room() or not target.may_be_doubted(now):
            return
        others = [
            found.address
            for found in self.state.targets.values()
            if found is not target and found.may_relay(now)
        ]
        if not others:
            return
        first = int(self.state.draw() * len(others))
        controls = (others[first:] + others[:first])[:CONTROLS]
        target.is_doubted = True
        self.suspicions.begin(target.address, controls, now)
        self.state.tell_event(
            "target_doubted",
            peer=target.address,
            silent_ms=int(1000 * (now - target.heard_at)),
        )

    def take_pong(self, address: str, number: int, now: float) -> None:
        """Take the answer to a ping."""
        is_back = self.suspicions.take_pong(address, number, now)
        if is_back and address in self.state.targets:
            self.state.targets[address].is_doubted = False

    def find_silent(self, now: float) -> list[Target]:
        """Doubt agents that are late, and return those now proved to be silent."""
        for target in self.state.targets.values():
            if now - target.heard_at >= QUIET_SECONDS and not target.is_silent(now):
                self.doubt(target, now)
        silent: list[Target] = []
        for verdict in self.suspicions.judge(now):
            target = self.state.targets.get(verdict.address)
            if target is None:
                continue
            target.is_doubted = False
            if verdict.is_silent:
                self._take_for_silent(target, now)
                silent.append(target)
        return silent

    def ping(self, now: float) -> list[Send]:
        """Return the pings that are due."""
        return [Send(peer, ping) for peer, ping in self.suspicions.ping(now)]

    def _take_for_silent(self, target: Target, now: float) -> None:
        target.is_deaf = True
        self.state.tell_event(
            "target_deaf",
            peer=target.address,
            silent_ms=int(1000 * (now - target.heard_at)),
        )
