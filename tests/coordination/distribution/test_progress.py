from ibisshunt.coordination.distribution.progress import evaluate_rollout
from ibisshunt.protocol.messages import NodeStatus


def test_a_silent_node_with_an_older_revision_keeps_a_rollout_incomplete():
    # A balancer that is partitioned from control serves with its old configuration. If
    # it were left out, the revision would wrongly be reported as active everywhere.
    reports = [
        NodeStatus("b1", "balancer", 7, 60.0),
        NodeStatus("b2", "balancer", 6, 0.5),
        NodeStatus("b3", "balancer", 6, 60.0),
    ]
    progress = evaluate_rollout(reports, 7)
    assert (progress.up_to_date, progress.lagging) == (("b1",), ("b2",))
    assert progress.silent == ("b3",)
    assert not progress.is_complete
    assert evaluate_rollout(reports, 6).is_complete
