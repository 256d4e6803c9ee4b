"""Record what clients, endpoints and operators see, and find broken promises."""

import threading
import time
from dataclasses import dataclass, field

# What a machine gets to be in touch again after a fault. Unit: seconds. Source: the
# platform's bound for contact (4 s) and a start on a busy machine.
CALM_SECONDS = 6.0


@dataclass
class Record:
    """Own all that was seen; threads add to it.

    ``timed`` is whether promises that hold within a time are checked; on a busy machine
    their verdict would hang on the clock.
    """

    timed: bool = True
    runs: dict = field(default_factory=dict)
    not_run: set = field(default_factory=set)
    answers: int = 0
    resets: int = 0
    silences: int = 0
    acked: int = 0
    broken: list = field(default_factory=list)
    unplanned_at: float = float("-inf")
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def report(self, promise, **seen):
        """Note a broken promise with what was seen."""
        pairs = " ".join(f"{key}={found}" for key, found in seen.items())
        with self._lock:
            self.broken.append(f"{promise}: {pairs}")

    def is_calm(self):
        """Tell whether no unplanned fault is near."""
        return self.timed and time.monotonic() - self.unplanned_at > CALM_SECONDS

    def check_answer(self, service, name, body):
        """Check that an answer is whole, of the service, and of this request."""
        words = body.split()
        if len(words) != 3:
            self.report("whole answers only", request=name, body=body)
        elif words[0] != service:
            self.report("no wrong service", request=name, wanted=service, body=body)
        elif words[1] != name:
            self.report("the answer to its own request", request=name, body=body)
        self.answers += 1

    def check_read(self, floor, version):
        """Check a read of the configuration that began when ``floor`` was acked."""
        if version < floor:
            self.report("never reverts", read=version, acked=floor)

    def check_runs(self):
        """Check, at the end, what ran and how often."""
        for name, count in self.runs.items():
            if count > 1:
                self.report("at most once", request=name, runs=count)
        for name in self.not_run & self.runs.keys():
            self.report("not run is true", request=name)
