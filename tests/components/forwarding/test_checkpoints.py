"""Checkpoint entries survive as many lost disks as the settings allow."""

import pytest

from ibisshunt.components.forwarding.checkpoints import CheckpointTask
from ibisshunt.coordination.forwarding.balancer import Balancer
from ibisshunt.coordination.forwarding.messages import CheckpointEntries
from tests.components.directory.test_control import FakeInternalSocket

CONTROL = [f"10.0.3.{number}" for number in range(1, 6)]


class RecordingSocket(FakeInternalSocket):
    """Record the receivers of messages, also of those to many at once."""

    def send_all(self, peers, message):
        self.sent += [(peer, message) for peer in peers]


@pytest.mark.parametrize("losses", [0, 1, 2])
def test_an_entry_is_stored_by_one_more_control_host_than_lost_disks_tolerated(losses):
    # Guards against callers that use flows which ended in a power loss, because all
    # disks with an entry of them were lost with it.
    socket, balancer = RecordingSocket(), Balancer(lambda: 0.5)
    balancer.state.checkpoint.pop_batch = iter([b"entries", b""]).__next__
    task = CheckpointTask(
        "10.0.1.1", balancer, socket, lambda: CONTROL, lambda: list(CONTROL), losses
    )
    task.send()
    replicas = {
        peer for peer, message in socket.sent if isinstance(message, CheckpointEntries)
    }
    assert len(replicas) == losses + 1
