"""The three programs as separate processes on loopback, with stand-ins around them."""

import re
import signal

import pytest

from soak.standin import (
    APP,
    CONTROL,
    INNER,
    METRICS,
    OUTWARD,
    PACKETS,
    PLACE,
    READY,
    SERVICE,
    ZONES,
    Client,
    Endpoint,
    Process,
    call,
    wait_for,
)

CORE = "127.7.0.1"
FRONTS = ("127.7.1.1", "127.7.1.2")
LATE_FRONT = "127.7.1.3"
SIDES = ("127.7.2.1", "127.7.2.2")
CLIENT = "127.7.9.1"
SEEDS = [f"{CORE}:{CONTROL}"]
CONFIG = {
    "Version": 3,
    "Routes": [
        {
            "Name": "r-1",
            "Hostname": PLACE[0],
            "PathPrefix": f"/{PLACE[1]}/",
            "Type": "idempotent",
            "TimeoutMs": 1000,
            "Service": SERVICE,
        }
    ],
    "Services": [{"Name": SERVICE}],
}


class System:
    """Own all processes and stand-ins of one test."""

    def __init__(self, folder):
        self.folder = folder
        control = {"Control": f"{CORE}:{CONTROL}"}
        self.core = Process(
            folder,
            "control",
            CORE,
            SEEDS,
            control,
            DataDir=str(folder / "data"),
            Bootstrap=True,
        )
        self.fronts = []
        for ip in FRONTS:
            self.add_front(ip)
        self.sides = [
            Process(
                folder,
                "agent",
                ip,
                SEEDS,
                {
                    "UdpAddr": f"{ip}:{PACKETS}",
                    "outbound": f"{ip}:{OUTWARD}",
                    "Control": f"{ip}:{CONTROL}",
                },
                zone=zone,
                app=f"{ip}:{APP}",
                Service=SERVICE,
                HeartbeatMs=5000,
            )
            for ip, zone in zip(SIDES, ZONES, strict=True)
        ]
        self.endpoints = [
            Endpoint(ip, number) for number, ip in enumerate(SIDES, start=1)
        ]
        self.client = Client(CLIENT)

    def add_front(self, ip):
        """Start a balancer."""
        listen = {"UdpAddr": f"{ip}:{PACKETS}", "ReadyAddr": f"{ip}:{READY}"}
        self.fronts.append(Process(self.folder, "balancer", ip, SEEDS, listen))

    def put(self, config=CONFIG):
        """Send a configuration until it is acknowledged."""
        path = "/-/config/put"
        wait_for(
            lambda: call(f"{CORE}:{CONTROL}", path, config)[0] == 200,
            "an acknowledgement",
        )

    def wait_until_ready(self):
        """Wait until all balancers can place flows."""
        for ip in FRONTS:
            wait_for(lambda ip=ip: call(f"{ip}:{READY}", "/-/ready")[0] == 200, "ready")

    def wait_until_known(self):
        """Wait until each balancer has heard that each target is open."""
        for front in self.fronts:
            for ip in SIDES:
                learned = re.compile(f"target_learned peer={ip} .* state=0 ")
                wait_for(
                    lambda front=front, learned=learned: learned.search(
                        front.read_log()
                    ),
                    "a target that is open",
                )

    def show_logs(self):
        """Print what each process has written last; shown when the test fails."""
        for process in (self.core, *self.fronts, *self.sides):
            print(f"--- {process.log.name}, exit code {process.process.poll()}")
            print(process.read_log()[-1500:])

    def stop(self):
        """End everything."""
        self.show_logs()
        self.client.close()
        for endpoint in self.endpoints:
            endpoint.stop()
        for process in (self.core, *self.fronts, *self.sides):
            process.stop()


@pytest.fixture
def system(tmp_path):
    found = System(tmp_path)
    yield found
    found.stop()


def ask(system, front, port, opened):
    answer = system.client.ask(front, port, opened)
    assert answer is not None
    assert not answer.resets
    return answer.data.rpartition(b" ")[2].decode()


def read_page(ip, version):
    """Return the metrics page of a process that has a version in force, or None."""
    page = call(f"{ip}:{METRICS}", "/metrics")[1].decode()
    wanted = f"ibisshunt_configuration_version {version}"
    return page if wanted in page.splitlines() else None


def test_flows_go_on_through_any_balancer_restarts_and_signals(system):
    # A flow opens through one balancer and goes on through the other. Then settings
    # are signalled to every process, the agents are stopped as planned and start again
    # beside living endpoints, and control is lost: each time the same endpoint answers.
    assert call(f"{FRONTS[0]}:{READY}", "/-/ready")[0] != 200
    system.put()
    system.wait_until_ready()
    opened = wait_for(lambda: system.client.open(FRONTS[0], 40_001), "a flow")
    home = ask(system, FRONTS[0], 40_001, opened)
    assert ask(system, FRONTS[1], 40_001, opened) == home

    # Agents may learn the version a moment after the balancers that are ready.
    shown = [
        wait_for(lambda ip=ip: read_page(ip, version=3), f"version 3 at {ip}")
        for ip in (CORE, *FRONTS, *SIDES)
    ]
    assert any("ibisshunt_answer_seconds_count 1" in page for page in shown)
    assert any('ibisshunt_openings_total{outcome="placed"} 1' in page for page in shown)

    for process in (system.core, *system.fronts, *system.sides):
        process.send(signal.SIGHUP)
    wait_for(
        lambda: all(
            "settings_unchanged" in process.read_log()
            for process in (system.core, *system.fronts, *system.sides)
        ),
        "a look at the settings",
    )
    assert ask(system, FRONTS[1], 40_001, opened) == home

    for side in system.sides:
        side.send(signal.SIGTERM)
        assert side.process.wait(timeout=20) == 0
        side.start()
    system.core.send(signal.SIGKILL)
    system.core.process.wait()
    found = wait_for(
        lambda: system.client.ask(FRONTS[1], 40_001, opened), "an answer again"
    )
    assert found.data.endswith(home.encode())


def test_no_caller_hears_the_reset_of_an_endpoint_that_never_held_its_flow(system):
    # Agents are killed and start again beside living endpoints, and another balancer
    # takes over that knows no flow: it lets the agents probe. Endpoints answer probes
    # of flows that they do not hold with resets. Handed on, these would end callers'
    # flows, which are open at the other endpoint.
    system.put()
    system.wait_until_ready()
    system.wait_until_known()
    ports = range(40_001, 40_009)
    opened, homes = {}, {}
    for port in ports:
        opened[port] = wait_for(
            lambda port=port: system.client.open(FRONTS[0], port), "a flow"
        )
        homes[port] = ask(system, FRONTS[0], port, opened[port])
    for endpoint in system.endpoints:
        endpoint.resets_strays = True
    for process in (*system.sides, *system.fronts):
        process.send(signal.SIGKILL)
        process.wait_for_end()
    for side in system.sides:
        side.start()
    system.add_front(LATE_FRONT)
    for port in ports:
        found = wait_for(
            lambda port=port: system.client.ask(LATE_FRONT, port, opened[port]),
            "an answer",
        )
        assert not found.resets
        assert found.data.endswith(homes[port].encode())
    assert sum(endpoint.bounced for endpoint in system.endpoints)


def test_a_draining_endpoint_keeps_its_flows_and_gets_no_new_one(system):
    # An endpoint says that it leaves. From the acknowledgement on no new flow may
    # reach it, through any balancer; its open flows go on.
    system.put()
    system.wait_until_ready()
    system.wait_until_known()
    opened = wait_for(lambda: system.client.open(FRONTS[0], 40_001), "a flow")
    home = ask(system, FRONTS[0], 40_001, opened)
    leaving = next(found for found in system.endpoints if found.name == home)
    leaving.state = "draining"
    assert leaving.beat() == 200
    flows = len(leaving.flows)
    for port in range(41_001, 41_021):
        answer = system.client.open(FRONTS[port % 2], port)
        assert answer is not None
        assert answer.opens
    assert len(leaving.flows) == flows
    assert ask(system, FRONTS[1], 40_001, opened) == home


def open_many(system, first_port, count=12):
    """Open flows through both balancers; return how many each endpoint got."""
    before = [len(endpoint.flows) for endpoint in system.endpoints]
    for port in range(first_port, first_port + count):
        front = FRONTS[port % 2]
        wait_for(lambda f=front, p=port: system.client.open(f, p), "a flow")
    after = [len(endpoint.flows) for endpoint in system.endpoints]
    return [new - old for new, old in zip(after, before, strict=True)]


def test_a_drained_domain_gets_no_new_flow_whatever_restarts(system):
    # Guards against an acknowledged order that is lost with processes: control is
    # killed right after its acknowledgement, then the domain's agent and a balancer.
    core = f"{CORE}:{CONTROL}"
    system.put()
    system.wait_until_ready()
    system.wait_until_known()
    opened = wait_for(lambda: system.client.open(FRONTS[0], 40_001), "a flow")
    home = ask(system, FRONTS[0], 40_001, opened)
    drained = ZONES[[endpoint.name for endpoint in system.endpoints].index(home)]
    number = ZONES.index(drained)
    assert call(core, "/-/evacuate/nowhere/start", {})[0] == 404
    assert call(core, f"/-/evacuate/{drained}/start", {})[0] == 200
    system.core.send(signal.SIGKILL)
    system.core.wait_for_end()
    system.core.write(more={**system.core.fields["more"], "Bootstrap": False})
    system.core.start()
    side = system.sides[number]
    wait_for(lambda: "state=drained" in side.read_log(), "the order at the agent")
    assert open_many(system, 41_001)[number] == 0
    assert ask(system, FRONTS[1], 40_001, opened) == home

    for process in (side, system.fronts[0]):
        process.send(signal.SIGKILL)
        process.wait_for_end()
        process.start()
    system.wait_until_ready()
    assert open_many(system, 42_001)[number] == 0

    wait_for(lambda: call(core, f"/-/evacuate/{drained}/end", {})[0] == 200, "the end")
    wait_for(
        lambda: re.search(
            "own_domain_state .*state=open revision=[1-9]", side.read_log()
        ),
        "the end at the agent",
    )
    wait_for(lambda: open_many(system, 43_001)[number], "new flows in the domain")


def test_configurations_never_revert_and_invalid_ones_are_refused(system):
    # An older version, other content under the version that is held, and an invalid
    # one arrive after version 3; then control loses power and starts again. What is
    # read is version 3 as it was sent.
    system.put()
    put, get = "/-/config/put", "/-/config/get"
    core = f"{CORE}:{CONTROL}"
    assert call(core, put, {**CONFIG, "Version": 2})[0] == 200
    assert call(core, put, {**CONFIG, "Routes": []})[0] == 200
    invalid = {**CONFIG, "Version": 9, "Services": []}
    assert call(core, put, invalid)[0] == 400
    status, body = call(core, get)
    assert status == 200
    system.core.send(signal.SIGKILL)
    system.core.process.wait()
    system.core.write(more={**system.core.fields["more"], "Bootstrap": False})
    system.core.start()
    wait_for(lambda: call(core, get)[0] == 200, "a read")
    assert call(core, get) == (200, body)
    assert b'"Version": 3' in body


def test_a_process_without_its_settings_says_what_is_missing(tmp_path):
    process = Process(tmp_path, "balancer", FRONTS[0], ["nowhere"], {})
    assert process.process.wait(timeout=20) == 2
    assert "Seeds" in process.read_log()
    process.stop()


def test_the_inner_port_is_one_for_all():
    assert INNER not in (PACKETS, OUTWARD, APP, CONTROL, READY)
