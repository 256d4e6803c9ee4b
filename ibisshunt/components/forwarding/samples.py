"""Give the counters of balancers and agents as samples for the metrics page."""

from collections.abc import Iterator

from ...coordination.forwarding.agent import Agent
from ...coordination.forwarding.balancer import Balancer
from ...helpers.decisions import DecisionLog
from ...helpers.samples import LatencyHistogram, Sample, SampleKind

COUNTER, GAUGE = SampleKind.COUNTER, SampleKind.GAUGE


def list_balancer_samples(
    balancer: Balancer, log: DecisionLog, held: LatencyHistogram
) -> Iterator[Sample]:
    """Yield what a balancer counted, and how long searches and openings took."""
    counters = balancer.counters
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
    yield Sample("ibisshunt_held_openings", GAUGE, {}, len(balancer.openings))
    yield Sample("ibisshunt_known_targets", GAUGE, {}, len(balancer.targets))
    version = balancer.routes.version
    yield Sample("ibisshunt_configuration_version", GAUGE, {}, version)
    yield Sample("ibisshunt_lines_left_out_total", COUNTER, {}, log.left_out)
    yield from held.list_samples()


def list_agent_samples(
    agent: Agent, log: DecisionLog, service: LatencyHistogram, refused_words: int
) -> Iterator[Sample]:
    """Yield what an agent counted, and how long its target took to answer."""
    yield Sample("ibisshunt_held_flows", GAUGE, {}, len(agent.flows))
    yield Sample("ibisshunt_active_requests", GAUGE, {}, agent.requests.active)
    finished = agent.requests.finished
    yield Sample("ibisshunt_answered_requests_total", COUNTER, {}, finished)
    yield Sample("ibisshunt_packets_delivered_total", COUNTER, {}, agent.delivered)
    yield Sample("ibisshunt_packets_sent_back_total", COUNTER, {}, agent.returned)
    yield Sample("ibisshunt_target_state", GAUGE, {}, int(agent.state))
    yield Sample("ibisshunt_configuration_version", GAUGE, {}, agent.routes.version)
    yield Sample("ibisshunt_refused_words_total", COUNTER, {}, refused_words)
    yield Sample("ibisshunt_lines_left_out_total", COUNTER, {}, log.left_out)
    yield from service.list_samples()
