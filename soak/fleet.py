"""Start the programs and stand-ins of one run, and inject faults."""

import signal
import threading
import time

from .actors import (
    GET_PATH,
    OTHER_SERVICE,
    PUT_PATH,
    SERVICE,
    Caller,
    Operator,
    make_config,
)
from .invariants import Record
from .standin import (
    APP_PORT,
    CONTROL_PORT,
    OUTBOUND_PORT,
    PACKET_PORT,
    READY_PORT,
    Endpoint,
    Process,
    call,
    wait_for,
)

CONTROL_HOSTS = ("127.8.0.1", "127.8.0.2", "127.8.0.3")
BALANCERS = ("127.8.1.1", "127.8.1.2", "127.8.1.3")
AGENTS = ("127.8.2.1", "127.8.2.2", "127.8.2.3", "127.8.2.4")
CALLERS = tuple(f"127.8.9.{number}" for number in range(1, 7))
SEEDS = [f"{ip}:{CONTROL_PORT}" for ip in CONTROL_HOSTS]
RESTART_DELAY_SECONDS = 0.5


class Fleet:
    """Own every process and thread of one run."""

    def __init__(self, folder, seed, checks_timing=True):
        self.record = Record(checks_timing)
        self.folder = folder
        self.fault_threads = []
        self.is_stopping = False
        self.control_hosts = [self._start_control_host(ip) for ip in CONTROL_HOSTS]
        self.balancers = [self._start_balancer(ip) for ip in BALANCERS]
        self.agents = [self._start_agent(index) for index in range(len(AGENTS))]
        self.endpoint_count = 0
        self.endpoints = [self._start_endpoint(index) for index in range(len(AGENTS))]
        control_host = f"{CONTROL_HOSTS[0]}:{CONTROL_PORT}"
        wait_for(
            lambda: call(control_host, PUT_PATH, make_config(3))[0] == 200,
            "a first ack",
        )
        self.wait_until_ready()
        self.supervisor = threading.Thread(target=self._supervise, daemon=True)
        self.supervisor.start()
        self.operator = Operator(seed, self.record, CONTROL_HOSTS)
        self.callers = [
            Caller(seed + number, self.record, ip, BALANCERS)
            for number, ip in enumerate(CALLERS)
        ]
        for actor in (self.operator, *self.callers):
            actor.start()

    def wait_until_ready(self):
        """Wait until each balancer can place flows."""
        for ip in BALANCERS:
            address = f"{ip}:{READY_PORT}"
            wait_for(
                lambda address=address: call(address, "/-/ready")[0] == 200, "ready"
            )

    def inject(self, fault):
        """Inject a fault; a fault with a duration runs in a thread of its own."""
        kind, _, target = fault.kind.partition("_")
        if kind not in ("term", "hup", "drain", "change"):
            # Flows may break until the processes that the fault stopped are back.
            end = time.monotonic() + fault.duration + RESTART_DELAY_SECONDS
            self.record.last_fault_at = max(self.record.last_fault_at, end)
        if kind == "hup":
            for process in self.list_processes():
                process.send_signal(signal.SIGHUP)
        elif kind == "change":
            for process in (*self.balancers, *self.agents):
                process.write(seeds=SEEDS[fault.index % 3 :])
        elif target == "endpoint":
            self._run_in_thread(self._replace_endpoint, fault, kind == "drain")
        else:
            for process in self._choose(target, fault.index):
                self._run_in_thread(self._stop_and_start, process, kind, fault.duration)

    def finish(self):
        """Wait for all faults and actors to end, and check the final state."""
        for thread in self.fault_threads:
            thread.join()
        for actor in (self.operator, *self.callers):
            actor.stop()
        self.wait_until_ready()
        version = wait_for(self._read_version, "a read at the end")
        self.record.check_read(self.record.acked_version, version)
        self.record.check_runs()
        if not self.record.answers:
            self.record.report_violation("something is served", answers=0)

    def stop(self):
        """Stop every thread, endpoint and process of this run."""
        self.is_stopping = True
        self.supervisor.join()
        for actor in (self.operator, *self.callers):
            if actor.is_alive():
                actor.stop()
        for endpoint in self.endpoints:
            endpoint.stop()
        for process in self.list_processes():
            process.send_signal(signal.SIGCONT)
            process.stop()

    def list_processes(self):
        """Return all processes."""
        return (*self.control_hosts, *self.balancers, *self.agents)

    def _supervise(self):
        """Restart programs that have exited, as the platform does.

        SIGHUP ends a process if it arrives before the interpreter runs the program's
        first line; the program cannot prevent that.
        """
        while not self.is_stopping:
            time.sleep(RESTART_DELAY_SECONDS / 2)
            for process in self.list_processes():
                if not process.lock.acquire(blocking=False):
                    continue
                try:
                    if not self.is_stopping and process.has_exited():
                        process.start()
                finally:
                    process.lock.release()

    def _read_version(self):
        status, _ = call(f"{CONTROL_HOSTS[0]}:{CONTROL_PORT}", GET_PATH)
        return self.operator.read() if status == 200 else 0

    def _choose(self, target, index):
        if target == "all":
            return self.list_processes()
        if target == "all_control":
            return self.control_hosts
        groups = {
            "balancer": self.balancers,
            "agent": self.agents,
            "control": self.control_hosts,
        }
        processes = groups[target]
        return (processes[index % len(processes)],)

    def _stop_and_start(self, process, kind, duration):
        with process.lock:
            if kind == "freeze":
                process.send_signal(signal.SIGSTOP)
                time.sleep(duration)
                process.send_signal(signal.SIGCONT)
                return
            process.send_signal(signal.SIGTERM if kind == "term" else signal.SIGKILL)
            process.wait_for_exit()
            time.sleep(RESTART_DELAY_SECONDS)
            process.write(more={**process.fields["more"], "Bootstrap": False})
            process.start()

    def _replace_endpoint(self, fault, with_drain):
        index = fault.index % len(AGENTS)
        with self.agents[index].lock:
            old = self.endpoints[index]
            if with_drain:
                old.state = "draining"
                old.send_heartbeat()
                time.sleep(fault.duration)
                # Flows continue until the endpoint stops; it then breaks the open ones.
                self.record.last_fault_at = time.monotonic()
                path = f"/-/instances/{old.name}/deregister"
                call(f"{old.ip}:{CONTROL_PORT}", path, {})
            old.stop()
            self.endpoints[index] = self._start_endpoint(index)

    def _run_in_thread(self, function, *arguments):
        thread = threading.Thread(target=function, args=arguments, daemon=True)
        self.fault_threads.append(thread)
        thread.start()

    def _start_control_host(self, ip):
        data_folder = str(self.folder / f"data-{ip}")
        listen = {"Control": f"{ip}:{CONTROL_PORT}"}
        return Process(
            self.folder,
            "control",
            ip,
            SEEDS,
            listen,
            {"Machines": 1},
            DataDir=data_folder,
            Bootstrap=True,
        )

    def _start_balancer(self, ip):
        listen = {"UdpAddr": f"{ip}:{PACKET_PORT}", "ReadyAddr": f"{ip}:{READY_PORT}"}
        return Process(self.folder, "balancer", ip, SEEDS, listen)

    def _start_agent(self, index):
        ip = AGENTS[index]
        listen = {
            "UdpAddr": f"{ip}:{PACKET_PORT}",
            "outbound": f"{ip}:{OUTBOUND_PORT}",
            "Control": f"{ip}:{CONTROL_PORT}",
        }
        return Process(
            self.folder,
            "agent",
            ip,
            SEEDS,
            listen,
            app=f"{ip}:{APP_PORT}",
            Service=_choose_service(index),
            HeartbeatMs=1000,
        )

    def _start_endpoint(self, index):
        self.endpoint_count += 1
        service = _choose_service(index)
        return Endpoint(AGENTS[index], self.endpoint_count, service, self.record.runs)


def _choose_service(index):
    return (SERVICE, OTHER_SERVICE)[index % 2]
