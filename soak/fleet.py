"""Start the programs and stand-ins of one run, and bring faults about."""

import signal
import threading
import time

from .actors import GET, OTHER_SERVICE, PUT, SERVICE, Caller, Operator, make_config
from .promises import Record
from .standin import (
    APP,
    CONTROL,
    OUTWARD,
    PACKETS,
    READY,
    Endpoint,
    Process,
    call,
    wait_for,
)

CORES = ("127.8.0.1", "127.8.0.2", "127.8.0.3")
FRONTS = ("127.8.1.1", "127.8.1.2", "127.8.1.3")
SIDES = ("127.8.2.1", "127.8.2.2", "127.8.2.3", "127.8.2.4")
CALLERS = tuple(f"127.8.9.{number}" for number in range(1, 7))
SEEDS = [f"{ip}:{CONTROL}" for ip in CORES]
RESTART_SECONDS = 0.5


class Fleet:
    """Own every process and thread of one run."""

    def __init__(self, folder, seed, timed=True):
        self.record = Record(timed)
        self.folder = folder
        self.timers = []
        self.is_over = False
        self.cores = [self._start_core(ip) for ip in CORES]
        self.fronts = [self._start_front(ip) for ip in FRONTS]
        self.sides = [self._start_side(place) for place in range(len(SIDES))]
        self.number = 0
        self.endpoints = [self._start_endpoint(place) for place in range(len(SIDES))]
        core = f"{CORES[0]}:{CONTROL}"
        wait_for(lambda: call(core, PUT, make_config(3))[0] == 200, "a first ack")
        self.wait_until_ready()
        self.keeper = threading.Thread(target=self._keep, daemon=True)
        self.keeper.start()
        self.operator = Operator(seed, self.record, CORES)
        self.callers = [
            Caller(seed + number, self.record, ip, FRONTS)
            for number, ip in enumerate(CALLERS)
        ]
        for actor in (self.operator, *self.callers):
            actor.start()

    def wait_until_ready(self):
        """Wait until each balancer can place flows."""
        for ip in FRONTS:
            where = f"{ip}:{READY}"
            wait_for(lambda where=where: call(where, "/-/ready")[0] == 200, "ready")

    def bring(self, fault):
        """Bring a fault about; what ends later ends in a thread of its own."""
        kind, _, what = fault.kind.partition("_")
        if kind not in ("term", "hup", "drain", "change"):
            # The fault lasts, and what it stopped starts again afterwards.
            end = time.monotonic() + fault.lasts + RESTART_SECONDS
            self.record.unplanned_at = max(self.record.unplanned_at, end)
        if kind == "hup":
            for process in self.list_processes():
                process.send(signal.SIGHUP)
        elif kind == "change":
            for process in (*self.fronts, *self.sides):
                process.write(seeds=SEEDS[fault.index % 3 :])
        elif what == "endpoint":
            self._spawn(self._replace_endpoint, fault, kind == "drain")
        else:
            for process in self._choose(what, fault.index):
                self._spawn(self._stop_and_start, process, kind, fault.lasts)

    def finish(self):
        """Let all faults end, check the final state, and end every process."""
        for timer in self.timers:
            timer.join()
        for actor in (self.operator, *self.callers):
            actor.end()
        self.wait_until_ready()
        version = wait_for(self._read_newest, "a read at the end")
        self.record.check_read(self.record.acked, version)
        self.record.check_runs()
        if not self.record.answers:
            self.record.report("something is served", answers=0)

    def stop(self):
        """End everything that this run started."""
        self.is_over = True
        self.keeper.join()
        for actor in (self.operator, *self.callers):
            if actor.is_alive():
                actor.end()
        for endpoint in self.endpoints:
            endpoint.stop()
        for process in self.list_processes():
            process.send(signal.SIGCONT)
            process.stop()

    def list_processes(self):
        """Return all processes."""
        return (*self.cores, *self.fronts, *self.sides)

    def _keep(self):
        """Start programs again that ended by themselves, as the platform does.

        A hang-up signal that arrives before the interpreter runs our first line ends a
        process; nothing in the program can prevent that.
        """
        while not self.is_over:
            time.sleep(RESTART_SECONDS / 2)
            for process in self.list_processes():
                if not process.lock.acquire(blocking=False):
                    continue
                try:
                    if not self.is_over and process.has_ended():
                        process.start()
                finally:
                    process.lock.release()

    def _read_newest(self):
        status, _ = call(f"{CORES[0]}:{CONTROL}", GET)
        return self.operator.read() if status == 200 else 0

    def _choose(self, what, index):
        if what == "all":
            return self.list_processes()
        if what == "all_control":
            return self.cores
        group = {"balancer": self.fronts, "agent": self.sides, "control": self.cores}
        found = group[what]
        return (found[index % len(found)],)

    def _stop_and_start(self, process, kind, lasts):
        with process.lock:
            if kind == "freeze":
                process.send(signal.SIGSTOP)
                time.sleep(lasts)
                process.send(signal.SIGCONT)
                return
            process.send(signal.SIGTERM if kind == "term" else signal.SIGKILL)
            process.wait_for_end()
            time.sleep(RESTART_SECONDS)
            process.write(more={**process.fields["more"], "Bootstrap": False})
            process.start()

    def _replace_endpoint(self, fault, drains):
        place = fault.index % len(SIDES)
        with self.sides[place].lock:
            old = self.endpoints[place]
            if drains:
                old.state = "draining"
                old.beat()
                time.sleep(fault.lasts)
                # Its flows go on until it ends; what ends then is planned by callers.
                self.record.unplanned_at = time.monotonic()
                path = f"/-/instances/{old.name}/deregister"
                call(f"{old.ip}:{CONTROL}", path, {})
            old.stop()
            self.endpoints[place] = self._start_endpoint(place)

    def _spawn(self, run, *arguments):
        thread = threading.Thread(target=run, args=arguments, daemon=True)
        self.timers.append(thread)
        thread.start()

    def _start_core(self, ip):
        folder = str(self.folder / f"data-{ip}")
        listen = {"Control": f"{ip}:{CONTROL}"}
        return Process(
            self.folder,
            "control",
            ip,
            SEEDS,
            listen,
            {"Machines": 1},
            DataDir=folder,
            Bootstrap=True,
        )

    def _start_front(self, ip):
        listen = {"UdpAddr": f"{ip}:{PACKETS}", "ReadyAddr": f"{ip}:{READY}"}
        return Process(self.folder, "balancer", ip, SEEDS, listen)

    def _start_side(self, place):
        ip = SIDES[place]
        listen = {
            "UdpAddr": f"{ip}:{PACKETS}",
            "outbound": f"{ip}:{OUTWARD}",
            "Control": f"{ip}:{CONTROL}",
        }
        return Process(
            self.folder,
            "agent",
            ip,
            SEEDS,
            listen,
            app=f"{ip}:{APP}",
            Service=_choose_service(place),
            HeartbeatMs=1000,
        )

    def _start_endpoint(self, place):
        self.number += 1
        service = _choose_service(place)
        return Endpoint(SIDES[place], self.number, service, self.record.runs)


def _choose_service(place):
    return (SERVICE, OTHER_SERVICE)[place % 2]
