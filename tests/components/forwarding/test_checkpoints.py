"""Flow entries outlive as many lost disks as the settings say."""

import pytest

from ibisshunt.components.forwarding.checkpoints import CheckpointTask
from ibisshunt.coordination.forwarding.balancer import Balancer
from ibisshunt.coordination.forwarding.messages import Noted
from tests.components.directory.test_control import FakeInner

CONTROL = [f"10.0.3.{number}" for number in range(1, 6)]


class Inner(FakeInner):
    """Keep who was sent what, also to many at once."""

    def send_all(self, peers, message):
        self.sent += [(peer, message) for peer in peers]


@pytest.mark.parametrize("losses", [0, 1, 2])
def test_an_entry_is_kept_by_one_control_host_more_than_disks_may_be_lost(losses):
    # Guards against callers that use flows which ended in a power loss, because all
    # disks that held a note of them were lost with it.
    inner, balancer = Inner(), Balancer(lambda: 0.5)
    balancer.state.checkpoint.take = iter([b"entries", b""]).__next__
    task = CheckpointTask(
        "10.0.1.1", balancer, inner, lambda: CONTROL, lambda: list(CONTROL), losses
    )
    task.send()
    keepers = {peer for peer, message in inner.sent if isinstance(message, Noted)}
    assert len(keepers) == losses + 1
