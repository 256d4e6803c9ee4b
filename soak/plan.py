"""Generate a schedule of faults from a seed."""

import random
from dataclasses import dataclass

# Planned operations; by themselves they break no established flow.
PLANNED_KINDS = (
    "term_balancer",
    "term_agent",
    "hup_all",
    "drain_endpoint",
    "change_seeds",
)
UNPLANNED_KINDS = (
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
MAX_DURATION_SECONDS = 3.0
MAX_GAP_SECONDS = 1.5


@dataclass(frozen=True)
class Fault:
    """Describe one fault.

    ``starts_at`` is in seconds from the start of the run, ``duration`` in seconds;
    ``index`` selects the process, modulo the number of processes.
    """

    starts_at: float
    kind: str
    index: int
    duration: float

    def __str__(self):
        return (
            f"{self.starts_at:6.2f} s {self.kind} #{self.index} "
            f"for {self.duration:.1f} s"
        )


def generate_plan(seed, seconds, planned_only=False):
    """Return the faults of a run; the same seed gives the same schedule."""
    rng = random.Random(seed)
    kinds = PLANNED_KINDS if planned_only else PLANNED_KINDS + UNPLANNED_KINDS
    faults, now = [], 1.0
    while now < seconds:
        duration = rng.uniform(0.3, MAX_DURATION_SECONDS)
        faults.append(Fault(now, rng.choice(kinds), rng.randrange(1000), duration))
        now += rng.uniform(0.2, MAX_GAP_SECONDS)
    return tuple(faults)
