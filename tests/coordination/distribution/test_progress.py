from ibisshunt.coordination.distribution.progress import judge_progress
from ibisshunt.protocol.messages import NodeStatus


def test_a_silent_node_with_an_older_revision_is_not_passed_over():
    # A balancer is cut off from control and goes on to serve with what it has. Its
    # silence must not be taken for consent.
    reports = [
        NodeStatus("b1", "balancer", 7, 60.0),
        NodeStatus("b2", "balancer", 6, 0.5),
        NodeStatus("b3", "balancer", 6, 60.0),
    ]
    progress = judge_progress(reports, 7)
    assert (progress.level, progress.lagging) == (("b1",), ("b2",))
    assert progress.silent == ("b3",)
    assert not progress.is_complete
    assert judge_progress(reports, 6).is_complete
