import gevent
import pytest

from ibisshunt.helpers.datagrams import PACKETS_PER_TURN, DatagramSocket
from ibisshunt.model.address import Address

LEASE_RENEWALS = 20
PACKET_BOUND = 200_000


def test_hazard_25_a_flood_does_not_keep_the_lease_from_being_renewed():
    """Each packet that is received brings two more: the socket is always ready.

    A receive that has data never waits, so that the task which renews the lease would
    not run again and a healthy node would look dead. The packet task must give way.
    """
    flooded = DatagramSocket(Address("127.0.0.1", 0))
    pair = flooded.address.as_pair()
    received = []
    renewals = []

    def handle(data, sender):
        received.append(len(renewals))
        assert len(received) < PACKET_BOUND, "the lease was not renewed in time"
        flooded.send_to(data, pair)
        flooded.send_to(data, pair)

    def renew():
        while len(renewals) < LEASE_RENEWALS:
            gevent.sleep(0.001)
            renewals.append(len(received))

    flooded.send_to(b"x", pair)
    flood = gevent.spawn(flooded.serve, handle)
    lease = gevent.spawn(renew)
    gevent.joinall([flood, lease], count=1)
    flood.kill()
    flooded.close()
    assert len(renewals) == LEASE_RENEWALS
    assert lease.successful()


def test_a_flooded_task_gives_way_after_each_turn():
    """A task that is ready to run gets its turn after a bounded number of packets."""
    flooded = DatagramSocket(Address("127.0.0.1", 0))
    for number in range(PACKETS_PER_TURN * 3):
        flooded.send_to(b"%d" % number, flooded.address.as_pair())
    turns = []
    received = []
    flood = gevent.spawn(flooded.serve, lambda data, sender: received.append(data))

    def take_turns():
        for _ in range(3):
            gevent.sleep(0)
            turns.append(len(received))

    gevent.spawn(take_turns).join()
    flood.kill()
    flooded.close()
    expected = [PACKETS_PER_TURN * turn for turn in (1, 2, 3)]
    assert turns == pytest.approx(expected, abs=PACKETS_PER_TURN)
    assert max(turns) <= PACKETS_PER_TURN * 3
