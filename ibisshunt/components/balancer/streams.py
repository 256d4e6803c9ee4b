"""Relay TCP streams that callers open at a service's address."""

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
from ...helpers.clock import read_shared_clock
from ...helpers.logging import log_event, warn_event
from ...helpers.metrics import Metrics, Sample, SampleKind
from ...helpers.relay import relay_streams, reset_connection
from ...model.address import Address
from ...model.configuration import Configuration, ServiceSlice
from ...model.flow import Protocol
from ...model.target import Target
from ...protocol.preamble import Preamble, Verdict, receive_verdict, send_preamble
from ...settings import BalancerSettings

CONNECT_SECONDS: Final = 2.0
MAX_ATTEMPTS: Final = 3
RETRY_SECONDS: Final = 1.0
MAX_KEPT_CHECKS: Final = 2_048

_find_check = lru_cache(MAX_KEPT_CHECKS)(make_caller_check)


class StreamRelay:
    """Own the listeners of one balancer, one for each TCP service."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._configuration = Configuration()
        self._tables: dict[int, ServiceTable] = {}
        self._listeners: dict[Address, tuple[int, StreamServer]] = {}
        self._counts: Counter[tuple[str, str]] = Counter()
        self._open = 0
        self._stopping = False
        self._retry: gevent.Greenlet | None = None

    def follow(self, configuration: Configuration) -> None:
        """Open and close listeners as services come, go and move."""
        # A configuration that arrives while the balancer stops would open the
        # listeners anew, and the streams that they take would be cut at its end.
        if self._stopping:
            return
        self._configuration = configuration
        for number in self._tables.keys() - configuration.slices.keys():
            del self._tables[number]
        wanted = {
            Address(part.service.address, part.service.port): part.number
            for part in configuration.slices.values()
            if part.service.protocol == Protocol.TCP
        }
        for address, (number, _) in list(self._listeners.items()):
            if wanted.get(address) != number:
                self._close(address)
        for address, number in wanted.items():
            if address not in self._listeners:
                self._listen(address, number)

    def _listen(self, address: Address, number: int) -> None:
        def accept(connection: socket.socket, pair: tuple[str, int]) -> None:
            # Counted from here on: a stop that waited only for streams that an agent
            # has taken would cut those that are being introduced.
            self._open += 1
            try:
                self._relay(number, connection, Address(*pair))
            finally:
                self._open -= 1

        listener = StreamServer(address.as_pair(), accept)
        try:
            listener.start()
        except OSError as error:
            warn_event("listen_failed", address=address, reason=error)
            self._retry_later()
            return
        self._listeners[address] = (number, listener)
        log_event("stream_listener_opened", balancer=self._name, address=address)

    def _retry_later(self) -> None:
        """Look at the configuration again soon.

        An address that another process still holds is given free without any change
        of the configuration; the service would stay out of reach here until the next.
        """
        if self._retry is None or self._retry.ready():
            self._retry = gevent.spawn_later(RETRY_SECONDS, self._follow_again)

    def _follow_again(self) -> None:
        self._retry = None
        self.follow(self._configuration)

    def _close(self, address: Address) -> None:
        _, listener = self._listeners.pop(address)
        # Only the listener ends: streams that run go on to their own end.
        listener.close()
        log_event("stream_listener_closed", balancer=self._name, address=address)

    def _relay(self, number: int, connection: socket.socket, caller: Address) -> None:
        part = self._configuration.slices.get(number)
        if part is None:
            self._refuse(connection, "?", "unknown_service")
            return
        name = f"{part.service.business}/{part.service.name}"
        if not _find_check(part.service.callers)(socket.inet_aton(caller.ip)):
            self._refuse(connection, name, "caller_not_allowed")
            return
        agent = self._open_to_agent(part, caller)
        if agent is None:
            self._refuse(connection, name, "no_target")
            return
        self._counts[name, "relayed"] += 1
        relay_streams(connection, agent)

    def _refuse(self, connection: socket.socket, service: str, reason: str) -> None:
        self._counts[service, reason] += 1
        warn_event("stream_refused", service=service, reason=reason)
        reset_connection(connection)

    def _open_to_agent(
        self, part: ServiceSlice, caller: Address
    ) -> socket.socket | None:
        for target in self._rank_targets(part, caller)[:MAX_ATTEMPTS]:
            preamble = Preamble(part.number, target.incarnation, part.revision, caller)
            if agent := self._introduce(target, preamble):
                return agent
        return None

    def _rank_targets(self, part: ServiceSlice, caller: Address) -> list[Target]:
        """Return the targets that take new work, best first for this caller."""
        table = self._tables.get(part.number)
        now = read_shared_clock()
        if table is None or table.slice != part or table.is_old(now):
            table = self._tables[part.number] = ServiceTable(part, now)
        chain = table.find_chain(find_bucket(str(caller).encode()))
        return [target for target in chain if table.is_taker(target)]

    def _introduce(self, target: Target, preamble: Preamble) -> socket.socket | None:
        """Offer the stream to one agent; return the connection when it takes it.

        Another agent may be tried after a refusal because no byte of the caller's
        has been sent by then.
        """
        address = target.announcement.streams
        try:
            agent = socket.create_connection(address.as_pair(), CONNECT_SECONDS)
        except OSError as error:
            warn_event("agent_unreachable", peer=address, reason=error)
            return None
        try:
            send_preamble(agent, preamble)
        except OSError:
            agent.close()
            return None
        verdict = receive_verdict(agent, 2 * CONNECT_SECONDS)
        if verdict.value_or(None) != Verdict.TAKEN:
            warn_event("agent_refused", peer=address, verdict=verdict)
            agent.close()
            return None
        agent.settimeout(None)
        return agent

    def stop(self) -> None:
        """Take no new stream and wait for those that run, within the grace time."""
        self._stopping = True
        for address in list(self._listeners):
            self._close(address)
        with gevent.Timeout(STOP_GRACE_SECONDS, False):
            while self._open:
                gevent.sleep(0.02)
        if self._open:
            warn_event("streams_cut", balancer=self._name, count=self._open)

    def list_samples(self) -> Iterable[Sample]:
        """Return the counters for the metrics page."""
        yield Sample("ibisshunt_streams_open", SampleKind.GAUGE, {}, self._open)
        for (service, outcome), count in self._counts.items():
            labels = {"service": service, "outcome": outcome}
            yield Sample("ibisshunt_streams_total", SampleKind.COUNTER, labels, count)

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "listeners": sorted(str(address) for address in self._listeners),
            "open": self._open,
            "outcomes": {f"{s} {o}": n for (s, o), n in self._counts.items()},
        }


def setup(kernel: Kernel, settings: BalancerSettings) -> StreamRelay:
    """Start the stream intake; register it as ``streams``."""
    relay = StreamRelay(settings.name)
    kernel.find("configuration").subscribe(relay.follow)
    metrics: Metrics = kernel.find("metrics")
    metrics.collect(relay.list_samples)
    kernel.register("streams", relay, unload=relay.stop, dump=relay.dump)
    return relay
