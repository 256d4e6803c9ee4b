"""Run callers and an operator against the system while faults are injected."""

import json
import random
import threading
import time

from .standin import CONTROL_PORT, SERVICE, VIP, Client, call

OTHER_SERVICE = "wuno96b"
OTHER_VIP = ("198.18.0.2", 8443)
SERVICES = ((SERVICE, VIP), (OTHER_SERVICE, OTHER_VIP))
PUT_PATH, GET_PATH = "/-/config/put", "/-/config/get"
MAX_ATTEMPTS = 3


def make_config(version):
    """Return a configuration whose number of routes depends on its version."""
    routed_vips = [(service, *vip) for service, vip in SERVICES]
    routed_vips += [
        (SERVICE, "198.18.1.1", 1000 + extra) for extra in range(version % 50)
    ]
    routes = [
        {
            "Name": f"r-{number}",
            "Hostname": host,
            "PathPrefix": f"/{port}/",
            "Type": "non_idempotent",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 500,
            "Service": service,
        }
        for number, (service, host, port) in enumerate(routed_vips)
    ]
    names = [{"Name": service} for service, _ in SERVICES]
    return {"Version": version, "Routes": routes, "Services": names}


class Actor(threading.Thread):
    """Repeat one action until stopped."""

    def __init__(self, seed, record):
        super().__init__(daemon=True)
        self.random = random.Random(seed)
        self.record = record
        self.stopping = threading.Event()

    def run(self):
        """Repeat the action."""
        while not self.stopping.is_set():
            self.act()

    def stop(self):
        """Stop and wait for the current action to finish."""
        self.stopping.set()
        self.join()


class Caller(Actor):
    """Open a flow, send requests over it through any balancer, and check answers."""

    def __init__(self, seed, record, ip, balancers):
        super().__init__(seed, record)
        self._client = Client(ip, timeout_seconds=0.4)
        self._balancers = balancers
        self._port = 20_000
        self._request_count = 0

    def act(self):
        """Open one flow and send requests over it."""
        self._port += 1
        service, vip = self.random.choice(SERVICES)
        name = self._make_request_id()
        syn_ack = self._open(vip)
        if syn_ack is None or syn_ack.is_rst:
            self.record.not_run.add(name)
            time.sleep(0.05)
            return
        sent_bytes = received_bytes = 0
        for _ in range(self.random.randint(1, 12)):
            answer, size = self._ask(syn_ack, name, vip, sent_bytes, received_bytes)
            if answer is None or answer.is_rst:
                self._record_lost_flow(answer, service)
                return
            self.record.check_answer(service, name, _read_body(answer))
            sent_bytes, received_bytes = (
                sent_bytes + size,
                received_bytes + len(answer.data),
            )
            name = self._make_request_id()
            time.sleep(self.random.uniform(0.0, 0.1))
            if self.stopping.is_set():
                return

    def stop(self):
        """Stop and close the socket."""
        super().stop()
        self._client.close()

    def _make_request_id(self):
        self._request_count += 1
        return f"{self._client.ip}-{self._request_count}"

    def _open(self, vip):
        for _ in range(MAX_ATTEMPTS):
            balancer = self.random.choice(self._balancers)
            syn_ack = self._client.open(balancer, self._port, vip)
            if syn_ack is not None:
                return syn_ack
        return None

    def _ask(self, syn_ack, name, vip, sent_bytes, received_bytes):
        size = len(f"GET / HTTP/1.1\r\nX-Request-Id: {name}\r\n\r\n")
        for _ in range(MAX_ATTEMPTS * 2):
            balancer = self.random.choice(self._balancers)
            answer = self._client.ask(
                balancer, self._port, syn_ack, name, vip, sent_bytes, received_bytes
            )
            if answer is not None and not answer.is_syn:
                return answer, size
        return None, size

    def _record_lost_flow(self, answer, service):
        if answer is None:
            self.record.timeouts += 1
            return
        self.record.resets += 1
        if self.record.is_stable():
            self.record.report_violation(
                "planned change breaks no flow", port=self._port, service=service
            )


class Operator(Actor):
    """Put new, old and invalid configuration versions, and read them back."""

    def __init__(self, seed, record, control_hosts):
        super().__init__(seed, record)
        self._control_hosts = control_hosts
        self._version = 3

    def act(self):
        """Put one new version, at times an old or invalid one, and read once."""
        self._version += self.random.randint(1, 3)
        if self._put(make_config(self._version)):
            self.record.acked_version = max(self.record.acked_version, self._version)
        if self.random.random() < 0.3:
            self._put(make_config(max(1, self._version - 5)))
        if self.random.random() < 0.3:
            invalid = {**make_config(self._version + 100), "Services": []}
            if self._put(invalid):
                self.record.report_violation(
                    "invalid is refused", version=self._version + 100
                )
        self.read()
        time.sleep(self.random.uniform(0.1, 0.6))

    def read(self):
        """Read the configuration from any control host; return its version or 0."""
        acked_version = self.record.acked_version
        status, body = call(self._choose_control_host(), GET_PATH)
        if status != 200:
            return 0
        version = json.loads(body)["Version"]
        self.record.check_read(acked_version, version)
        return version

    def _put(self, config):
        return call(self._choose_control_host(), PUT_PATH, config)[0] == 200

    def _choose_control_host(self):
        return f"{self.random.choice(self._control_hosts)}:{CONTROL_PORT}"


def _read_body(answer):
    return answer.data.rpartition(b"\r\n\r\n")[2].decode()
