"""Record what clients, endpoints and operators observe, and check invariants."""

import threading
import time
from dataclasses import dataclass, field

# Time that a host has to reconnect after a fault: the platform allows 4 s, and a start
# on a busy host takes longer.
RECOVERY_SECONDS = 6.0


@dataclass
class Record:
    """Collect observations of all threads and the invariants they violate.

    ``checks_timing`` enables invariants that must hold within a time limit; on a busy
    host they may fail because the host is slow.
    """

    checks_timing: bool = True
    runs: dict = field(default_factory=dict)
    not_run: set = field(default_factory=set)
    answers: int = 0
    resets: int = 0
    timeouts: int = 0
    acked_version: int = 0
    violations: list = field(default_factory=list)
    last_fault_at: float = float("-inf")
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def report_violation(self, invariant, **observed):
        """Record a violated invariant with the values observed."""
        pairs = " ".join(f"{key}={value}" for key, value in observed.items())
        with self._lock:
            self.violations.append(f"{invariant}: {pairs}")

    def is_stable(self):
        """Return whether no fault that may break flows is active or recent."""
        return (
            self.checks_timing
            and time.monotonic() - self.last_fault_at > RECOVERY_SECONDS
        )

    def check_answer(self, service, name, body):
        """Check that an answer is complete and from the right service and request."""
        fields = body.split()
        if len(fields) != 3:
            self.report_violation("whole answers only", request=name, body=body)
        elif fields[0] != service:
            self.report_violation(
                "no wrong service", request=name, wanted=service, body=body
            )
        elif fields[1] != name:
            self.report_violation(
                "the answer to its own request", request=name, body=body
            )
        self.answers += 1

    def check_read(self, acked_version, version):
        """Check that a read is not older than the version acknowledged before it."""
        if version < acked_version:
            self.report_violation("never reverts", read=version, acked=acked_version)

    def check_runs(self):
        """Check at the end that no request ran twice or ran though reported not run."""
        for name, count in self.runs.items():
            if count > 1:
                self.report_violation("at most once", request=name, runs=count)
        for name in self.not_run & self.runs.keys():
            self.report_violation("not run is true", request=name)
