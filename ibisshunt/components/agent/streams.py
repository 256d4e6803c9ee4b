"""Take relayed TCP streams for the agent's own target."""

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
from ...protocol.preamble import Preamble, Verdict, receive_preamble, send_verdict
from ...settings import AgentSettings

PREAMBLE_SECONDS: Final = 2.0
CONNECT_SECONDS: Final = 2.0


class StreamIntake:
    """Own the stream socket of one agent."""

    def __init__(self, kernel: Kernel, settings: AgentSettings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._part: ServiceSlice | None = None
        self._admits = make_caller_check(())
        self._counts: Counter[str] = Counter()
        self._open = 0
        self._server = StreamServer(settings.streams.as_pair(), self._accept)
        self._server.start()

    def follow(self, configuration: Configuration) -> None:
        """Note the slice of the agent's own service."""
        target = self._settings.target
        for part in configuration.slices.values():
            service = part.service
            if (service.business, service.name) == (target.business, target.service):
                self._part = part
                self._admits = make_caller_check(service.callers)
                return
        self._part = None

    def _accept(self, connection: socket.socket, pair: tuple[str, int]) -> None:
        received = receive_preamble(connection, PREAMBLE_SECONDS)
        if isinstance(received, Failure):
            warn_event("preamble_refused", peer=pair, fault=received.failure())
            self._answer(connection, Verdict.MALFORMED)
            return
        preamble = received.unwrap()
        verdict = self._check(preamble)
        if verdict != Verdict.TAKEN:
            self._answer(connection, verdict)
            return
        self._open += 1
        try:
            self._serve(connection, preamble)
        finally:
            self._open -= 1

    def _check(self, preamble: Preamble) -> Verdict:
        """Check again what the balancer checked.

        A balancer with an old configuration may send a stream of another service to
        an address that has changed hands; its caller would get a wrong answer.
        """
        part = self._part
        if part is None or part.number != preamble.service_number:
            return Verdict.WRONG_SERVICE
        announcement = self._kernel.find("announcement")
        if announcement.incarnation != preamble.incarnation:
            return Verdict.WRONG_INCARNATION
        try:
            caller_ip = socket.inet_aton(preamble.caller.ip)
        except OSError:
            return Verdict.MALFORMED
        if not self._admits(caller_ip):
            return Verdict.CALLER_REFUSED
        if announcement.leaving or self._kernel.is_stopping():
            return Verdict.LEAVING
        return Verdict.TAKEN

    def _serve(self, connection: socket.socket, preamble: Preamble) -> None:
        if self._part.service.front == FrontKind.HTTP and self._kernel.has("front"):
            self._answer(connection, Verdict.TAKEN)
            self._kernel.find("front").handle(connection, preamble.caller)
            return
        address = self._settings.target.streams
        try:
            target = socket.create_connection(address.as_pair(), CONNECT_SECONDS)
        except OSError as error:
            warn_event("target_unreachable", peer=address, reason=error)
            self._answer(connection, Verdict.TARGET_UNREACHABLE)
            return
        target.settimeout(None)
        if self._answer(connection, Verdict.TAKEN):
            relay_streams(connection, target)
        else:
            target.close()

    def _answer(self, connection: socket.socket, verdict: Verdict) -> bool:
        self._counts[verdict.name.lower()] += 1
        try:
            send_verdict(connection, verdict)
        except OSError:
            reset_connection(connection)
            return False
        if verdict != Verdict.TAKEN:
            connection.close()
        return True

    def stop(self) -> None:
        """Take no new stream and wait for those that run, within the grace time."""
        self._server.close()
        with gevent.Timeout(STOP_GRACE_SECONDS, False):
            while self._open:
                gevent.sleep(0.02)
        if self._open:
            target = self._settings.target.name
            warn_event("streams_cut", target=target, count=self._open)

    def list_samples(self) -> Iterable[Sample]:
        """Return the counters for the metrics page."""
        yield Sample("ibisshunt_agent_streams_open", SampleKind.GAUGE, {}, self._open)
        for verdict, count in self._counts.items():
            yield Sample(
                "ibisshunt_agent_streams_total",
                SampleKind.COUNTER,
                {"verdict": verdict},
                count,
            )

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {"open": self._open, "verdicts": dict(self._counts)}


def setup(kernel: Kernel, settings: AgentSettings) -> StreamIntake:
    """Start the stream intake; register it as ``streams``."""
    intake = StreamIntake(kernel, settings)
    kernel.find("configuration").subscribe(intake.follow)
    kernel.find("metrics").collect(intake.list_samples)
    kernel.register("streams", intake, unload=intake.stop, dump=intake.dump)
    return intake
