"""Take, keep and give out what operators order of a fleet, on a control host."""

from collections.abc import Iterator

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from ...coordination.consensus import ConsensusSettings, NotAccepted
from ...coordination.consensus.membership import list_voters, name_of
from ...coordination.versions import (
    DomainOutcome,
    FleetState,
    Outcome,
    decode_domain_outcome,
    decode_outcome,
    encode_domain_command,
    encode_put,
)
from ...core import Kernel
from ...exceptions import Fault
from ...helpers.clock import read_clock
from ...helpers.logging import log_event
from ...helpers.samples import LatencyHistogram, Sample, SampleKind
from ...model.address import Address
from ...model.node import NodeSettings
from ...model.settings import ControlSettings
from ...protocol.framed import FramedChannel, FramedServer
from .. import consensus
from ..consensus import Options, ReplicatedLog, StateMachine
from ..consensus.report import list_samples

# How long a change or a read may take: callers then go to another host.
ANSWER_SECONDS = 0.9
# How often the leader speaks, and how long it may be silent before others stand (up to
# twice that).
HEARTBEAT_SECONDS = 0.15
ELECTION_SECONDS = 0.6
# How long a host that has just started waits before it stands (up to twice that): the
# others of its fleet start meanwhile.
FIRST_ELECTION_SECONDS = 0.1
# Bytes that stay free on the disk, so that entries of other leaders still fit.
RESERVED_BYTES = 8 * 1024 * 1024


class VersionService:
    """Offer configuration and drained domains to the other services here."""

    def __init__(
        self, state: FleetState, log: ReplicatedLog, wanted_voters: int
    ) -> None:
        self.state = state
        self._log = log
        self._wanted = wanted_voters
        self.puts = LatencyHistogram("ibisshunt_accept_seconds")
        self.orders = LatencyHistogram("ibisshunt_domain_order_seconds")

    def put(self, version: int, body: bytes) -> Result[Outcome, Fault]:
        """Return once the version is accepted or known to be overtaken."""
        if fault := self._find_obstacle("put configuration"):
            return Failure(fault)
        began = read_clock()
        result = self._log.propose(encode_put(version, body), ANSWER_SECONDS)
        self.puts.observe(read_clock() - began)
        outcome = result.map(decode_outcome)
        log_event(
            "configuration_put",
            version=version,
            bytes=len(body),
            outcome=outcome.value_or(None) or outcome.failure(),
        )
        return outcome

    def get(self) -> Result[bytes, Fault]:
        """Return the newest accepted configuration; fail when that is not sure."""
        passed = self._log.read_barrier(ANSWER_SECONDS)
        return passed.bind(lambda index: Success(self.state.versions.body))

    def order(self, domain: str, is_drained: bool) -> Result[DomainOutcome, Fault]:
        """Return once a failure domain is drained, or open again, by the log."""
        if fault := self._find_obstacle("order domain"):
            return Failure(fault)
        known = self.state.domains.find_revision(domain)
        command = encode_domain_command(domain, is_drained, known)
        began = read_clock()
        result = self._log.propose(command, ANSWER_SECONDS)
        self.orders.observe(read_clock() - began)
        outcome = result.map(decode_domain_outcome)
        log_event(
            "domain_ordered",
            domain=domain,
            drained=is_drained,
            known=known,
            outcome=outcome.value_or(None) or outcome.failure(),
        )
        return outcome

    def is_current(self) -> bool:
        """Tell whether this host holds all that was accepted before the call."""
        return is_successful(self._log.read_barrier(ANSWER_SECONDS))

    def take_seeds(self, seeds: tuple[str, ...]) -> None:
        """Ask these hosts for admission too, if this one has yet to be admitted."""
        port = self._log.settings.rpc.port
        self._log.joiner.add_peers({seed: Address(seed, port) for seed in seeds})

    def list_samples(self) -> Iterator[Sample]:
        """Yield the samples of the metrics page."""
        yield from list_samples(self._log)
        version = self.state.versions.version
        yield Sample("ibisshunt_configuration_version", SampleKind.GAUGE, {}, version)
        drained = len(self.state.domains.list_drained().domains)
        yield Sample("ibisshunt_drained_domains", SampleKind.GAUGE, {}, drained)
        yield from self.puts.list_samples()
        yield from self.orders.list_samples()

    def list_control(self) -> tuple[str, ...]:
        """Return the addresses of the control hosts."""
        members = self._log.driver.state.log.membership.members
        return tuple(sorted({name_of(member.host) for member in members}))

    def _find_obstacle(self, step: str) -> Fault | None:
        voters = list_voters(self._log.driver.state.log.membership)
        if len(voters) >= self._wanted:
            return None
        # With fewer voters the losses that must be borne could take what was
        # accepted with them.
        reason = f"{len(voters)} voters, {self._wanted} wanted"
        return NotAccepted(step, "", reason)


def setup(kernel: Kernel, settings: NodeSettings, state: FleetState) -> VersionService:
    """Start the replicated log that drives ``state``; register it as "versions".

    Hosts go by their addresses: a replaced host comes with a new one, and the log
    itself tells who is a member.
    """
    machine = StateMachine(state.apply, state.take_snapshot, state.restore)
    port = settings.inner_calls.port
    peers = {seed: Address(seed, port) for seed in settings.seeds}
    control = ControlSettings(
        name=settings.address,
        failure_domain=settings.failure_domain,
        rpc=settings.inner_calls,
        admin=settings.inner_calls,
        data_folder=settings.data_folder,
        peers=peers,
    )
    wanted = 2 * settings.losses + 1
    options = Options(
        consensus=ConsensusSettings(
            heartbeat_seconds=HEARTBEAT_SECONDS,
            election_seconds=ELECTION_SECONDS,
            first_election_seconds=FIRST_ELECTION_SECONDS,
            kept_voters=wanted,
        ),
        make_channel=FramedChannel,
        reserved_bytes=RESERVED_BYTES,
        may_found=settings.is_first_start and settings.address in settings.seeds,
        admit_unknown=True,
        wait_for_room=True,
    )
    log = consensus.setup(kernel, control, machine, options)
    server = FramedServer(settings.inner_calls, consensus.make_handlers(log))
    server.start()
    log.start()
    service = VersionService(state, log, wanted)

    def unload() -> None:
        log.stop()
        server.stop()

    kernel.register("versions", service, unload=unload)
    return service
