"""The three programs run as processes on loopback, with fake targets and callers."""

import re
import signal

import pytest

from soak.standin import (
    APP_PORT,
    CONTROL_PORT,
    INTERNAL_PORT,
    METRICS_PORT,
    OUTBOUND_PORT,
    PACKET_PORT,
    READY_PORT,
    SERVICE,
    VIP,
    ZONES,
    Client,
    Endpoint,
    Process,
    call,
    wait_for,
)

CONTROL_IP = "127.7.0.1"
BALANCER_IPS = ("127.7.1.1", "127.7.1.2")
LATE_BALANCER_IP = "127.7.1.3"
AGENT_IPS = ("127.7.2.1", "127.7.2.2")
CALLER_IP = "127.7.9.1"
SEEDS = [f"{CONTROL_IP}:{CONTROL_PORT}"]
CONFIG = {
    "Version": 3,
    "Routes": [
        {
            "Name": "r-1",
            "Hostname": VIP[0],
            "PathPrefix": f"/{VIP[1]}/",
            "Type": "idempotent",
            "TimeoutMs": 1000,
            "Service": SERVICE,
        }
    ],
    "Services": [{"Name": SERVICE}],
}


class System:
    """Run the processes, fake targets and fake caller of one test."""

    def __init__(self, folder):
        self.folder = folder
        control = {"Control": f"{CONTROL_IP}:{CONTROL_PORT}"}
        self.control = Process(
            folder,
            "control",
            CONTROL_IP,
            SEEDS,
            control,
            DataDir=str(folder / "data"),
            Bootstrap=True,
        )
        self.balancers = []
        for ip in BALANCER_IPS:
            self.add_balancer(ip)
        self.agents = [
            Process(
                folder,
                "agent",
                ip,
                SEEDS,
                {
                    "UdpAddr": f"{ip}:{PACKET_PORT}",
                    "outbound": f"{ip}:{OUTBOUND_PORT}",
                    "Control": f"{ip}:{CONTROL_PORT}",
                },
                zone=zone,
                app=f"{ip}:{APP_PORT}",
                Service=SERVICE,
                HeartbeatMs=5000,
            )
            for ip, zone in zip(AGENT_IPS, ZONES, strict=True)
        ]
        self.endpoints = [
            Endpoint(ip, number) for number, ip in enumerate(AGENT_IPS, start=1)
        ]
        self.client = Client(CALLER_IP)

    def add_balancer(self, ip):
        """Start a balancer."""
        listen = {"UdpAddr": f"{ip}:{PACKET_PORT}", "ReadyAddr": f"{ip}:{READY_PORT}"}
        self.balancers.append(Process(self.folder, "balancer", ip, SEEDS, listen))

    def put_configuration(self, config=CONFIG):
        """Send a configuration until it is acknowledged."""
        path = "/-/config/put"
        wait_for(
            lambda: call(f"{CONTROL_IP}:{CONTROL_PORT}", path, config)[0] == 200,
            "an acknowledgement",
        )

    def wait_until_ready(self):
        """Wait until all balancers can place flows."""
        for ip in BALANCER_IPS:
            wait_for(
                lambda ip=ip: call(f"{ip}:{READY_PORT}", "/-/ready")[0] == 200, "ready"
            )

    def wait_until_known(self):
        """Wait until each balancer has logged that each target is open."""
        for balancer in self.balancers:
            for ip in AGENT_IPS:
                learned = re.compile(f"target_learned peer={ip} .* state=0 ")
                wait_for(
                    lambda balancer=balancer, learned=learned: learned.search(
                        balancer.read_log()
                    ),
                    "a target that is open",
                )

    def show_logs(self):
        """Print the end of each process's log; shown when the test fails."""
        for process in (self.control, *self.balancers, *self.agents):
            print(f"--- {process.log.name}, exit code {process.process.poll()}")
            print(process.read_log()[-1500:])

    def stop(self):
        """Stop all processes and fakes."""
        self.show_logs()
        self.client.close()
        for endpoint in self.endpoints:
            endpoint.stop()
        for process in (self.control, *self.balancers, *self.agents):
            process.stop()


@pytest.fixture
def system(tmp_path):
    found = System(tmp_path)
    yield found
    found.stop()


def find_holder(system, balancer, port, syn_ack):
    """Send a request on a flow; return the name of the target that answered."""
    answer = system.client.ask(balancer, port, syn_ack)
    assert answer is not None
    assert not answer.is_rst
    return answer.data.rpartition(b" ")[2].decode()


def read_metrics(ip, version):
    """Return a process's metrics page, or None while it has another version."""
    page = call(f"{ip}:{METRICS_PORT}", "/metrics")[1].decode()
    sample = f"ibisshunt_configuration_version {version}"
    return page if sample in page.splitlines() else None


def test_flows_go_on_through_any_balancer_restarts_and_signals(system):
    # A flow opens through one balancer and goes on through the other. Then each process
    # gets SIGHUP, the agents are stopped gracefully and started again while their
    # targets run on, and the control host is killed: the same target answers each time.
    assert call(f"{BALANCER_IPS[0]}:{READY_PORT}", "/-/ready")[0] != 200
    system.put_configuration()
    system.wait_until_ready()
    syn_ack = wait_for(lambda: system.client.open(BALANCER_IPS[0], 40_001), "a flow")
    holder = find_holder(system, BALANCER_IPS[0], 40_001, syn_ack)
    assert find_holder(system, BALANCER_IPS[1], 40_001, syn_ack) == holder

    # Agents may get the version a moment after the balancers are ready.
    pages = [
        wait_for(lambda ip=ip: read_metrics(ip, version=3), f"version 3 at {ip}")
        for ip in (CONTROL_IP, *BALANCER_IPS, *AGENT_IPS)
    ]
    assert any("ibisshunt_answer_seconds_count 1" in page for page in pages)
    assert any('ibisshunt_openings_total{outcome="placed"} 1' in page for page in pages)

    for process in (system.control, *system.balancers, *system.agents):
        process.send_signal(signal.SIGHUP)
    wait_for(
        lambda: all(
            "settings_unchanged" in process.read_log()
            for process in (system.control, *system.balancers, *system.agents)
        ),
        "a check of the settings",
    )
    assert find_holder(system, BALANCER_IPS[1], 40_001, syn_ack) == holder

    for agent in system.agents:
        agent.send_signal(signal.SIGTERM)
        assert agent.process.wait(timeout=20) == 0
        agent.start()
    system.control.send_signal(signal.SIGKILL)
    system.control.process.wait()
    answer = wait_for(
        lambda: system.client.ask(BALANCER_IPS[1], 40_001, syn_ack), "an answer again"
    )
    assert answer.data.endswith(holder.encode())


def test_no_caller_hears_the_reset_of_an_endpoint_that_never_held_its_flow(system):
    # Agents are killed and started again while their targets run on, and the flows move
    # to a new balancer that knows none of them: it has the agents probe their targets.
    # A target answers a probe of a flow that it does not hold with a reset. Forwarded,
    # the reset would end the caller's flow, which is open at the other target.
    system.put_configuration()
    system.wait_until_ready()
    system.wait_until_known()
    ports = range(40_001, 40_009)
    syn_acks, holders = {}, {}
    for port in ports:
        syn_acks[port] = wait_for(
            lambda port=port: system.client.open(BALANCER_IPS[0], port), "a flow"
        )
        holders[port] = find_holder(system, BALANCER_IPS[0], port, syn_acks[port])
    for endpoint in system.endpoints:
        endpoint.resets_unknown_flows = True
    for process in (*system.agents, *system.balancers):
        process.send_signal(signal.SIGKILL)
        process.wait_for_exit()
    for agent in system.agents:
        agent.start()
    system.add_balancer(LATE_BALANCER_IP)
    for port in ports:
        answer = wait_for(
            lambda port=port: system.client.ask(LATE_BALANCER_IP, port, syn_acks[port]),
            "an answer",
        )
        assert not answer.is_rst
        assert answer.data.endswith(holders[port].encode())
    assert sum(endpoint.bounced for endpoint in system.endpoints)


def test_a_draining_endpoint_keeps_its_flows_and_gets_no_new_one(system):
    # A target reports that it is draining. Once that is acknowledged, no balancer may
    # send it a new flow; its open flows go on.
    system.put_configuration()
    system.wait_until_ready()
    system.wait_until_known()
    syn_ack = wait_for(lambda: system.client.open(BALANCER_IPS[0], 40_001), "a flow")
    holder = find_holder(system, BALANCER_IPS[0], 40_001, syn_ack)
    draining = next(target for target in system.endpoints if target.name == holder)
    draining.state = "draining"
    assert draining.send_heartbeat() == 200
    flows = len(draining.flows)
    for port in range(41_001, 41_021):
        answer = system.client.open(BALANCER_IPS[port % 2], port)
        assert answer is not None
        assert answer.is_syn
    assert len(draining.flows) == flows
    assert find_holder(system, BALANCER_IPS[1], 40_001, syn_ack) == holder


def send_late_heartbeat(ip, sequence):
    """Send the heartbeat of a target that crashed before its agent heard it."""
    body = {
        "Service": SERVICE,
        "Address": f"{ip}:{APP_PORT}",
        "Zone": "a",
        "Version": "v1",
        "Slots": 4,
        "State": "ready",
        "WarmupLeftMs": 0,
        "Seq": sequence,
    }
    return call(f"{ip}:{CONTROL_PORT}", "/-/instances/i-late/heartbeat", body)[0]


def test_flows_go_on_after_late_heartbeats_of_a_target_that_was_never_heard(system):
    # Guards against the reset of open flows by heartbeats that arrive after their
    # sender has crashed: while the next target serves, and as the first ones that the
    # restarted agent hears, while a balancer recovers its flows.
    system.put_configuration()
    system.wait_until_ready()
    system.wait_until_known()
    syn_ack = wait_for(lambda: system.client.open(BALANCER_IPS[0], 40_001), "a flow")
    holder = find_holder(system, BALANCER_IPS[0], 40_001, syn_ack)
    number = [endpoint.name for endpoint in system.endpoints].index(holder)
    ip, agent = AGENT_IPS[number], system.agents[number]
    for sequence in (1, 7):
        assert send_late_heartbeat(ip, sequence) == 200
    wait_for(lambda: "target_contested" in agent.read_log(), "a contested target")
    for balancer in BALANCER_IPS:
        assert find_holder(system, balancer, 40_001, syn_ack) == holder

    agent.send_signal(signal.SIGTERM)
    assert agent.process.wait(timeout=20) == 0
    system.balancers[0].send_signal(signal.SIGKILL)
    system.balancers[0].wait_for_exit()
    agent.start()
    wait_for(lambda: send_late_heartbeat(ip, 1) == 200, "the restarted agent")
    system.balancers[0].start()
    system.wait_until_ready()
    for balancer in BALANCER_IPS:
        assert find_holder(system, balancer, 40_001, syn_ack) == holder


def open_flows(system, first_port, count=12):
    """Open flows through both balancers; return how many each target got."""
    before = [len(endpoint.flows) for endpoint in system.endpoints]
    for port in range(first_port, first_port + count):
        balancer = BALANCER_IPS[port % 2]
        wait_for(lambda ip=balancer, port=port: system.client.open(ip, port), "a flow")
    after = [len(endpoint.flows) for endpoint in system.endpoints]
    return [new - old for new, old in zip(after, before, strict=True)]


def test_a_drained_domain_gets_no_new_flow_whatever_restarts(system):
    # Guards against losing an acknowledged drain when processes end: the control host
    # is killed right after it has acknowledged, then the domain's agent and a balancer.
    control_address = f"{CONTROL_IP}:{CONTROL_PORT}"
    system.put_configuration()
    system.wait_until_ready()
    system.wait_until_known()
    syn_ack = wait_for(lambda: system.client.open(BALANCER_IPS[0], 40_001), "a flow")
    holder = find_holder(system, BALANCER_IPS[0], 40_001, syn_ack)
    drained = ZONES[[endpoint.name for endpoint in system.endpoints].index(holder)]
    number = ZONES.index(drained)
    assert call(control_address, "/-/evacuate/nowhere/start", {})[0] == 404
    assert call(control_address, f"/-/evacuate/{drained}/start", {})[0] == 200
    system.control.send_signal(signal.SIGKILL)
    system.control.wait_for_exit()
    system.control.write(more={**system.control.fields["more"], "Bootstrap": False})
    system.control.start()
    agent = system.agents[number]
    wait_for(lambda: "state=drained" in agent.read_log(), "the drain at the agent")
    assert open_flows(system, 41_001)[number] == 0
    assert find_holder(system, BALANCER_IPS[1], 40_001, syn_ack) == holder

    for process in (agent, system.balancers[0]):
        process.send_signal(signal.SIGKILL)
        process.wait_for_exit()
        process.start()
    system.wait_until_ready()
    assert open_flows(system, 42_001)[number] == 0

    wait_for(
        lambda: call(control_address, f"/-/evacuate/{drained}/end", {})[0] == 200,
        "the end of the drain",
    )
    wait_for(
        lambda: re.search(
            "own_domain_state .*state=open revision=[1-9]", agent.read_log()
        ),
        "the end of the drain at the agent",
    )
    wait_for(lambda: open_flows(system, 43_001)[number], "new flows in the domain")


def test_configurations_never_revert_and_invalid_ones_are_refused(system):
    # After version 3 arrive an older version, other content under version 3 and an
    # invalid version; then the control host is killed and started again. The stored
    # configuration is version 3 as it was first sent.
    system.put_configuration()
    put_path, get_path = "/-/config/put", "/-/config/get"
    control_address = f"{CONTROL_IP}:{CONTROL_PORT}"
    assert call(control_address, put_path, {**CONFIG, "Version": 2})[0] == 200
    assert call(control_address, put_path, {**CONFIG, "Routes": []})[0] == 200
    invalid = {**CONFIG, "Version": 9, "Services": []}
    assert call(control_address, put_path, invalid)[0] == 400
    status, body = call(control_address, get_path)
    assert status == 200
    system.control.send_signal(signal.SIGKILL)
    system.control.process.wait()
    system.control.write(more={**system.control.fields["more"], "Bootstrap": False})
    system.control.start()
    wait_for(lambda: call(control_address, get_path)[0] == 200, "a read")
    assert call(control_address, get_path) == (200, body)
    assert b'"Version": 3' in body


def test_a_process_without_its_settings_says_what_is_missing(tmp_path):
    process = Process(tmp_path, "balancer", BALANCER_IPS[0], ["nowhere"], {})
    assert process.process.wait(timeout=20) == 2
    assert "Seeds" in process.read_log()
    process.stop()


def test_the_internal_port_differs_from_every_other_port():
    assert INTERNAL_PORT not in (
        PACKET_PORT,
        OUTBOUND_PORT,
        APP_PORT,
        CONTROL_PORT,
        READY_PORT,
    )
