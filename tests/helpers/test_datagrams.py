import gevent
import pytest

from ibisshunt.helpers.datagrams import PACKETS_PER_TURN, DatagramSocket
from ibisshunt.model.address import Address

LEASE_RENEWALS = 20
MAX_PACKETS = 200_000


def test_hazard_25_the_lease_is_renewed_during_a_flood():
    """Guard against a flood of packets that starves the task that renews the lease.

    Each received packet triggers two more, so that the socket is always readable. A
    receive with data does not yield: unless the packet task does so itself, a healthy
    node appears dead.
    """
    flooded = DatagramSocket(Address("127.0.0.1", 0))
    address = flooded.address.as_pair()
    received = []
    renewals = []

    def handle(data, sender):
        received.append(len(renewals))
        assert len(received) < MAX_PACKETS, "the lease was not renewed in time"
        flooded.send_to(data, address)
        flooded.send_to(data, address)

    def renew():
        while len(renewals) < LEASE_RENEWALS:
            gevent.sleep(0.001)
            renewals.append(len(received))

    flooded.send_to(b"x", address)
    flood = gevent.spawn(flooded.serve, handle)
    lease = gevent.spawn(renew)
    gevent.joinall([flood, lease], count=1)
    flood.kill()
    flooded.close()
    assert len(renewals) == LEASE_RENEWALS
    assert lease.successful()


def test_a_flooded_task_yields_after_each_turn():
    """Another runnable task gets a turn after a bounded number of packets."""
    flooded = DatagramSocket(Address("127.0.0.1", 0))
    for number in range(PACKETS_PER_TURN * 3):
        flooded.send_to(b"%d" % number, flooded.address.as_pair())
    turns = []
    received = []
    flood = gevent.spawn(flooded.serve, lambda data, sender: received.append(data))

    def record_turns():
        for _ in range(3):
            gevent.sleep(0)
            turns.append(len(received))

    gevent.spawn(record_turns).join()
    flood.kill()
    flooded.close()
    expected = [PACKETS_PER_TURN * turn for turn in (1, 2, 3)]
    assert turns == pytest.approx(expected, abs=PACKETS_PER_TURN)
    assert max(turns) <= PACKETS_PER_TURN * 3
