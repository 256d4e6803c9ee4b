"""Relay TCP streams from the addresses of services to agents."""

from collections import Counter
from collections.abc import Iterable
from functools import lru_cache
from typing import Any, Final

import gevent
from gevent import socket
from gevent.server import StreamServer

from ...const import STOP_GRACE_SECONDS
from ...coordination.flows.callers import make_caller_check
from ...coordination.flows.ranking import find_bucket
from ...coordination.flows.table import ServiceTable
from ...core import Kernel
from ...helpers.clock import read_wall_clock
from ...helpers.logging import log_event, warn_event
from ...helpers.metrics import Metrics, Sample, SampleKind
from ...helpers.relay import relay_streams, reset_connection
from ...model.address import Address
from ...model.configuration import Configuration, ServiceSlice
from ...model.flow import Protocol
from ...model.target import Target
from ...protocol.preamble import (
    Preamble,
    PreambleStatus,
    receive_verdict,
    send_preamble,
)
from ...settings import BalancerSettings

CONNECT_TIMEOUT_SECONDS: Final = 2.0
MAX_ATTEMPTS: Final = 3
LISTEN_RETRY_SECONDS: Final = 1.0
MAX_CACHED_CALLER_CHECKS: Final = 2_048

_get_caller_check = lru_cache(MAX_CACHED_CALLER_CHECKS)(make_caller_check)


class StreamRelay:
    """Manage the listeners of one balancer, one for each TCP service."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._configuration = Configuration()
        self._tables: dict[int, ServiceTable] = {}
        self._listeners: dict[Address, tuple[int, StreamServer]] = {}
        self._outcome_counts: Counter[tuple[str, str]] = Counter()
        self._open_streams = 0
        self._stopping = False
        self._listen_retry: gevent.Greenlet | None = None

    def update_configuration(self, configuration: Configuration) -> None:
        """Open and close listeners as services are added, removed and moved."""
        # A configuration that arrives while the balancer stops would reopen the
        # listeners, and the streams that they accept would be reset when it exits.
        if self._stopping:
            return
        self._configuration = configuration
        for number in self._tables.keys() - configuration.slices.keys():
            del self._tables[number]
        required_listeners = {
            Address(slice_.service.address, slice_.service.port): slice_.number
            for slice_ in configuration.slices.values()
            if slice_.service.protocol == Protocol.TCP
        }
        for address, (number, _) in list(self._listeners.items()):
            if required_listeners.get(address) != number:
                self._close(address)
        for address, number in required_listeners.items():
            if address not in self._listeners:
                self._listen(address, number)

    def _listen(self, address: Address, number: int) -> None:
        def accept(connection: socket.socket, pair: tuple[str, int]) -> None:
            # Counted before an agent accepts the stream: a stop must also wait for
            # streams that are still being offered to agents.
            self._open_streams += 1
            try:
                self._relay(number, connection, Address(*pair))
            finally:
                self._open_streams -= 1

        listener = StreamServer(address.as_pair(), accept)
        try:
            listener.start()
        except OSError as error:
            warn_event("listen_failed", address=address, reason=error)
            self._schedule_listen_retry()
            return
        self._listeners[address] = (number, listener)
        log_event("stream_listener_opened", balancer=self._name, address=address)

    def _schedule_listen_retry(self) -> None:
        """Schedule another attempt to open the listeners.

        An address that another process still uses is released without any change of
        the configuration; until the next change the service would be unreachable here.
        """
        if self._listen_retry is None or self._listen_retry.ready():
            self._listen_retry = gevent.spawn_later(
                LISTEN_RETRY_SECONDS, self._retry_listening
            )

    def _retry_listening(self) -> None:
        self._listen_retry = None
        self.update_configuration(self._configuration)

    def _close(self, address: Address) -> None:
        _, listener = self._listeners.pop(address)
        # Only close the listener: open streams continue until they end.
        listener.close()
        log_event("stream_listener_closed", balancer=self._name, address=address)

    def _relay(self, number: int, connection: socket.socket, caller: Address) -> None:
        slice_ = self._configuration.slices.get(number)
        if slice_ is None:
            self._refuse(connection, "?", "unknown_service")
            return
        name = f"{slice_.service.business}/{slice_.service.name}"
        if not _get_caller_check(slice_.service.callers)(socket.inet_aton(caller.ip)):
            self._refuse(connection, name, "caller_not_allowed")
            return
        agent = self._connect_to_agent(slice_, caller)
        if agent is None:
            self._refuse(connection, name, "no_target")
            return
        self._outcome_counts[name, "relayed"] += 1
        relay_streams(connection, agent)

    def _refuse(self, connection: socket.socket, service: str, reason: str) -> None:
        self._outcome_counts[service, reason] += 1
        warn_event("stream_refused", service=service, reason=reason)
        reset_connection(connection)

    def _connect_to_agent(
        self, slice_: ServiceSlice, caller: Address
    ) -> socket.socket | None:
        for target in self._rank_targets(slice_, caller)[:MAX_ATTEMPTS]:
            preamble = Preamble(
                slice_.number, target.incarnation, slice_.revision, caller
            )
            if agent := self._offer_stream(target, preamble):
                return agent
        return None

    def _rank_targets(self, slice_: ServiceSlice, caller: Address) -> list[Target]:
        """Return the targets that accept new flows, best first for this caller."""
        table = self._tables.get(slice_.number)
        now = read_wall_clock()
        if table is None or table.slice != slice_ or table.is_outdated(now):
            table = self._tables[slice_.number] = ServiceTable(slice_, now)
        candidates = table.find_chain(find_bucket(str(caller).encode()))
        return [target for target in candidates if table.accepts_new_flows(target)]

    def _offer_stream(self, target: Target, preamble: Preamble) -> socket.socket | None:
        """Offer the stream to one agent; return the connection if it accepts.

        After a refusal another agent may be tried, because no data of the caller has
        been sent yet.
        """
        address = target.announcement.streams
        try:
            agent = socket.create_connection(address.as_pair(), CONNECT_TIMEOUT_SECONDS)
        except OSError as error:
            warn_event("agent_unreachable", peer=address, reason=error)
            return None
        try:
            send_preamble(agent, preamble)
        except OSError:
            agent.close()
            return None
        verdict = receive_verdict(agent, 2 * CONNECT_TIMEOUT_SECONDS)
        if verdict.value_or(None) != PreambleStatus.TAKEN:
            warn_event("agent_refused", peer=address, verdict=verdict)
            agent.close()
            return None
        agent.settimeout(None)
        return agent

    def stop(self) -> None:
        """Stop accepting streams; wait for open ones, up to the grace period."""
        self._stopping = True
        for address in list(self._listeners):
            self._close(address)
        with gevent.Timeout(STOP_GRACE_SECONDS, False):
            while self._open_streams:
                gevent.sleep(0.02)
        if self._open_streams:
            warn_event("streams_cut", balancer=self._name, count=self._open_streams)

    def list_samples(self) -> Iterable[Sample]:
        """Return the counters for the metrics page."""
        yield Sample("ibisshunt_streams_open", SampleKind.GAUGE, {}, self._open_streams)
        for (service, outcome), count in self._outcome_counts.items():
            labels = {"service": service, "outcome": outcome}
            yield Sample("ibisshunt_streams_total", SampleKind.COUNTER, labels, count)

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "listeners": sorted(str(address) for address in self._listeners),
            "open": self._open_streams,
            "outcomes": {
                f"{service} {outcome}": count
                for (service, outcome), count in self._outcome_counts.items()
            },
        }


def setup(kernel: Kernel, settings: BalancerSettings) -> StreamRelay:
    """Start the stream relay of a balancer; register it as ``streams``."""
    relay = StreamRelay(settings.name)
    kernel.find("configuration").subscribe(relay.update_configuration)
    metrics: Metrics = kernel.find("metrics")
    metrics.collect(relay.list_samples)
    kernel.register("streams", relay, unload=relay.stop, dump=relay.dump)
    return relay
