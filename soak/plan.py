"""Draw a plan of faults from a seed."""

import random
from dataclasses import dataclass

# Kinds that break no established flow by themselves.
PLANNED = ("term_balancer", "term_agent", "hup_all", "drain_endpoint", "change_seeds")
UNPLANNED = (
    "kill_balancer",
    "kill_agent",
    "freeze_balancer",
    "freeze_agent",
    "kill_control",
    "freeze_control",
    "kill_all_control",
    "crash_endpoint",
    "kill_all",
)
LONGEST_FREEZE_SECONDS = 3.0
LONGEST_GAP_SECONDS = 1.5


@dataclass(frozen=True)
class Fault:
    """Hold one fault: seconds from the start, kind, which process, how long."""

    at: float
    kind: str
    index: int
    lasts: float

    def __str__(self):
        return f"{self.at:6.2f} s {self.kind} #{self.index} for {self.lasts:.1f} s"


def draw_plan(seed, seconds, planned_only=False):
    """Return the faults of a run; the same seed gives the same plan."""
    draw = random.Random(seed)
    kinds = PLANNED if planned_only else PLANNED + UNPLANNED
    faults, now = [], 1.0
    while now < seconds:
        lasts = draw.uniform(0.3, LONGEST_FREEZE_SECONDS)
        faults.append(Fault(now, draw.choice(kinds), draw.randrange(1000), lasts))
        now += draw.uniform(0.2, LONGEST_GAP_SECONDS)
    return tuple(faults)
