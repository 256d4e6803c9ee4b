from tests.components.consensus.hosts import Hosts


def make_hosts(count, **options):
    hosts = Hosts(count, **options)
    hosts.found()
    hosts.run(4.0)
    assert hosts.find_leader() is not None
    return hosts


def test_one_host_alone_accepts():
    hosts = make_hosts(1)
    assert hosts.propose(hosts.hosts[0]) in hosts.acked


def test_three_hosts_accept_and_survive_a_crash_of_all():
    hosts = make_hosts(3)
    for _ in range(30):
        hosts.propose(hosts.find_leader())
        hosts.run(0.2)
    assert len(hosts.acked) == 30
    for host in hosts.hosts:
        host.crash()
    hosts.settle()
    assert len(hosts.acked) == 31
