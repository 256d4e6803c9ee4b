"""Provide the counters of an agent as samples for the metrics page.

Separate from a balancer's: otherwise the start of an agent would import all of a
balancer's modules.
"""

from collections.abc import Iterator

from ...coordination.forwarding.agent import Agent
from ...helpers.decisions import DecisionLog
from ...helpers.samples import LatencyHistogram, Sample, SampleKind

COUNTER, GAUGE = SampleKind.COUNTER, SampleKind.GAUGE


def list_agent_samples(
    agent: Agent,
    log: DecisionLog,
    service_histogram: LatencyHistogram,
    rejected_messages: int,
) -> Iterator[Sample]:
    """Yield the counters of an agent and the response times of its target."""
    yield Sample("ibisshunt_held_flows", GAUGE, {}, len(agent.flows))
    yield Sample(
        "ibisshunt_active_requests", GAUGE, {}, agent.request_tracker.active_count
    )
    finished = agent.request_tracker.answered_count
    yield Sample("ibisshunt_answered_requests_total", COUNTER, {}, finished)
    yield Sample(
        "ibisshunt_packets_delivered_total", COUNTER, {}, agent.delivered_count
    )
    yield Sample("ibisshunt_packets_sent_back_total", COUNTER, {}, agent.rejected_count)
    yield Sample("ibisshunt_target_state", GAUGE, {}, int(agent.state))
    yield Sample("ibisshunt_configuration_version", GAUGE, {}, agent.routes.version)
    yield Sample(
        "ibisshunt_contested_heartbeats_total", COUNTER, {}, agent.contested_heartbeats
    )
    drained = int(agent.target.is_drained is not False)
    yield Sample("ibisshunt_own_domain_drained", GAUGE, {}, drained)
    yield Sample("ibisshunt_refused_words_total", COUNTER, {}, rejected_messages)
    yield Sample("ibisshunt_lines_left_out_total", COUNTER, {}, log.suppressed_count)
    yield from service_histogram.list_samples()
