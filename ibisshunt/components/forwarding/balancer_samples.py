"""Provide the counters of a balancer as samples for the metrics page."""

from collections.abc import Iterator

from ...coordination.forwarding.balancer import Balancer
from ...helpers.decisions import DecisionLog
from ...helpers.samples import LatencyHistogram, Sample, SampleKind

COUNTER, GAUGE = SampleKind.COUNTER, SampleKind.GAUGE


def list_balancer_samples(
    balancer: Balancer, log: DecisionLog, queue_time_histogram: LatencyHistogram
) -> Iterator[Sample]:
    """Yield the counters of a balancer and the queueing times of SYNs."""
    counters = balancer.state.counters
    for outcome, value in (
        ("placed", counters.placed),
        ("refused", counters.refused),
        ("no_route", counters.unroutable),
    ):
        labels = {"outcome": outcome}
        yield Sample("ibisshunt_openings_total", COUNTER, labels, value)
    for outcome, value in (
        ("started", counters.searched),
        ("found", counters.found),
        ("reset", counters.reset),
    ):
        labels = {"outcome": outcome}
        yield Sample("ibisshunt_searches_total", COUNTER, labels, value)
    yield Sample("ibisshunt_packets_returned_total", COUNTER, {}, counters.returned)
    yield Sample("ibisshunt_known_flows", GAUGE, {}, len(balancer.flows))
    yield Sample("ibisshunt_held_openings", GAUGE, {}, len(balancer.state.pending_syns))
    yield Sample("ibisshunt_known_targets", GAUGE, {}, len(balancer.targets))
    version = balancer.routes.version
    yield Sample("ibisshunt_configuration_version", GAUGE, {}, version)
    yield Sample("ibisshunt_lines_left_out_total", COUNTER, {}, log.suppressed_count)
    yield from queue_time_histogram.list_samples()
