"""Accept TCP streams relayed by balancers for the local target."""

from collections import Counter
from collections.abc import Iterable
from typing import Any, Final

import gevent
from gevent import socket
from gevent.server import StreamServer
from returns.result import Failure

from ...const import STOP_GRACE_SECONDS
from ...coordination.flows.callers import make_caller_check
from ...core import Kernel
from ...helpers.logging import warn_event
from ...helpers.metrics import Sample, SampleKind
from ...helpers.relay import relay_streams, reset_connection
from ...model.configuration import Configuration, ServiceSlice
from ...model.record import FrontKind
from ...protocol.preamble import (
    Preamble,
    PreambleStatus,
    receive_preamble,
    send_verdict,
)
from ...settings import AgentSettings

PREAMBLE_TIMEOUT_SECONDS: Final = 2.0
CONNECT_TIMEOUT_SECONDS: Final = 2.0


class AgentStreamServer:
    """Accept the streams that balancers relay to one agent."""

    def __init__(self, kernel: Kernel, settings: AgentSettings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._slice: ServiceSlice | None = None
        self._is_caller_allowed = make_caller_check(())
        self._verdict_counts: Counter[str] = Counter()
        self._open_streams = 0
        self._server = StreamServer(settings.streams.as_pair(), self._accept)
        self._server.start()

    def update_configuration(self, configuration: Configuration) -> None:
        """Store the slice of the agent's service from a new configuration."""
        target = self._settings.target
        for slice_ in configuration.slices.values():
            service = slice_.service
            if (service.business, service.name) == (target.business, target.service):
                self._slice = slice_
                self._is_caller_allowed = make_caller_check(service.callers)
                return
        self._slice = None

    def _accept(self, connection: socket.socket, pair: tuple[str, int]) -> None:
        received = receive_preamble(connection, PREAMBLE_TIMEOUT_SECONDS)
        if isinstance(received, Failure):
            warn_event("preamble_refused", peer=pair, fault=received.failure())
            self._send_verdict(connection, PreambleStatus.MALFORMED)
            return
        preamble = received.unwrap()
        verdict = self._check_preamble(preamble)
        if verdict != PreambleStatus.TAKEN:
            self._send_verdict(connection, verdict)
            return
        self._open_streams += 1
        try:
            self._serve_stream(connection, preamble)
        finally:
            self._open_streams -= 1

    def _check_preamble(self, preamble: Preamble) -> PreambleStatus:
        """Repeat the balancer's checks with the agent's own configuration.

        A balancer with an outdated configuration may send a stream of another service
        to an address that was reassigned; its caller would get a wrong answer.
        """
        slice_ = self._slice
        if slice_ is None or slice_.number != preamble.service_number:
            return PreambleStatus.WRONG_SERVICE
        announcement = self._kernel.find("announcement")
        if announcement.incarnation != preamble.incarnation:
            return PreambleStatus.WRONG_INCARNATION
        try:
            caller_ip = socket.inet_aton(preamble.caller.ip)
        except OSError:
            return PreambleStatus.MALFORMED
        if not self._is_caller_allowed(caller_ip):
            return PreambleStatus.CALLER_REFUSED
        if announcement.leaving or self._kernel.is_stopping():
            return PreambleStatus.LEAVING
        return PreambleStatus.TAKEN

    def _serve_stream(self, connection: socket.socket, preamble: Preamble) -> None:
        if self._slice.service.front == FrontKind.HTTP and self._kernel.has("front"):
            self._send_verdict(connection, PreambleStatus.TAKEN)
            self._kernel.find("front").handle(connection, preamble.caller)
            return
        address = self._settings.target.streams
        try:
            target = socket.create_connection(
                address.as_pair(), CONNECT_TIMEOUT_SECONDS
            )
        except OSError as error:
            warn_event("target_unreachable", peer=address, reason=error)
            self._send_verdict(connection, PreambleStatus.TARGET_UNREACHABLE)
            return
        target.settimeout(None)
        if self._send_verdict(connection, PreambleStatus.TAKEN):
            relay_streams(connection, target)
        else:
            target.close()

    def _send_verdict(self, connection: socket.socket, verdict: PreambleStatus) -> bool:
        self._verdict_counts[verdict.name.lower()] += 1
        try:
            send_verdict(connection, verdict)
        except OSError:
            reset_connection(connection)
            return False
        if verdict != PreambleStatus.TAKEN:
            connection.close()
        return True

    def stop(self) -> None:
        """Stop accepting streams; wait for open ones, up to the grace period."""
        self._server.close()
        with gevent.Timeout(STOP_GRACE_SECONDS, False):
            while self._open_streams:
                gevent.sleep(0.02)
        if self._open_streams:
            target = self._settings.target.name
            warn_event("streams_cut", target=target, count=self._open_streams)

    def list_samples(self) -> Iterable[Sample]:
        """Return the counters for the metrics page."""
        yield Sample(
            "ibisshunt_agent_streams_open", SampleKind.GAUGE, {}, self._open_streams
        )
        for verdict, count in self._verdict_counts.items():
            yield Sample(
                "ibisshunt_agent_streams_total",
                SampleKind.COUNTER,
                {"verdict": verdict},
                count,
            )

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {"open": self._open_streams, "verdicts": dict(self._verdict_counts)}


def setup(kernel: Kernel, settings: AgentSettings) -> AgentStreamServer:
    """Start the stream server of an agent; register it as ``streams``."""
    server = AgentStreamServer(kernel, settings)
    kernel.find("configuration").subscribe(server.update_configuration)
    kernel.find("metrics").collect(server.list_samples)
    kernel.register("streams", server, unload=server.stop, dump=server.dump)
    return server
