"""Store a fleet's configuration and drained domains in the replicated log."""

from collections.abc import Iterator

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from ...coordination.consensus import ConsensusSettings, NotAccepted
from ...coordination.consensus.membership import get_host_name, list_voters
from ...coordination.versions import (
    DomainOutcome,
    FleetState,
    PutOutcome,
    decode_domain_outcome,
    decode_put_outcome,
    encode_domain_command,
    encode_put,
)
from ...core import Kernel
from ...exceptions import Fault
from ...helpers.clock import read_monotonic_clock
from ...helpers.logging import log_event
from ...helpers.samples import LatencyHistogram, Sample, SampleKind
from ...model.address import Address
from ...model.node import NodeSettings
from ...model.settings import ControlSettings
from ...protocol.framed import FramedChannel, FramedServer
from .. import consensus
from ..consensus import ReplicatedLog, ReplicatedLogOptions, StateMachine
from ..consensus.diagnostics import list_samples

# Timeout of a change or read; the client then tries another control host.
REQUEST_TIMEOUT_SECONDS = 0.9
# Heartbeat interval of the leader, and the time without one after which the others
# start an election (randomized up to twice this).
HEARTBEAT_SECONDS = 0.15
ELECTION_TIMEOUT_SECONDS = 0.6
# How long a host that has just started waits before it starts an election (randomized
# up to twice this); the other hosts of its fleet start meanwhile.
FIRST_ELECTION_TIMEOUT_SECONDS = 0.1
# Disk space kept free, so that entries replicated by other leaders still fit.
RESERVED_DISK_BYTES = 8 * 1024 * 1024


class FleetStateService:
    """Provide the fleet's configuration and drained domains to local services."""

    def __init__(
        self, state: FleetState, log: ReplicatedLog, required_voters: int
    ) -> None:
        self.state = state
        self._log = log
        self._required_voters = required_voters
        self.put_latency = LatencyHistogram("ibisshunt_accept_seconds")
        self.domain_change_latency = LatencyHistogram("ibisshunt_domain_order_seconds")

    def put_configuration(self, version: int, body: bytes) -> Result[PutOutcome, Fault]:
        """Return once the version is accepted or known to be superseded."""
        if fault := self._find_refusal("put configuration"):
            return Failure(fault)
        started_at = read_monotonic_clock()
        result = self._log.propose(encode_put(version, body), REQUEST_TIMEOUT_SECONDS)
        self.put_latency.observe(read_monotonic_clock() - started_at)
        outcome = result.map(decode_put_outcome)
        log_event(
            "configuration_put",
            version=version,
            bytes=len(body),
            outcome=outcome.value_or(None) or outcome.failure(),
        )
        return outcome

    def get_configuration(self) -> Result[bytes, Fault]:
        """Return the newest accepted configuration; fail if no quorum confirms it."""
        barrier = self._log.read_barrier(REQUEST_TIMEOUT_SECONDS)
        return barrier.bind(lambda index: Success(self.state.versions.body))

    def set_domain_drained(
        self, domain: str, is_drained: bool
    ) -> Result[DomainOutcome, Fault]:
        """Return once the log has drained or reopened a failure domain."""
        if fault := self._find_refusal("order domain"):
            return Failure(fault)
        known_revision = self.state.domains.find_revision(domain)
        command = encode_domain_command(domain, is_drained, known_revision)
        started_at = read_monotonic_clock()
        result = self._log.propose(command, REQUEST_TIMEOUT_SECONDS)
        self.domain_change_latency.observe(read_monotonic_clock() - started_at)
        outcome = result.map(decode_domain_outcome)
        log_event(
            "domain_ordered",
            domain=domain,
            drained=is_drained,
            known=known_revision,
            outcome=outcome.value_or(None) or outcome.failure(),
        )
        return outcome

    def is_current(self) -> bool:
        """Return whether a quorum confirms that this host is up to date.

        Blocks for up to REQUEST_TIMEOUT_SECONDS.
        """
        return is_successful(self._log.read_barrier(REQUEST_TIMEOUT_SECONDS))

    def add_seeds(self, seeds: tuple[str, ...]) -> None:
        """Send hello requests to these hosts too if this host is not a member yet."""
        port = self._log.settings.rpc.port
        self._log.joiner.add_peers({seed: Address(seed, port) for seed in seeds})

    def list_samples(self) -> Iterator[Sample]:
        """Yield the samples of the metrics page."""
        yield from list_samples(self._log)
        version = self.state.versions.version
        yield Sample("ibisshunt_configuration_version", SampleKind.GAUGE, {}, version)
        drained = len(self.state.domains.list_drained().domains)
        yield Sample("ibisshunt_drained_domains", SampleKind.GAUGE, {}, drained)
        yield from self.put_latency.list_samples()
        yield from self.domain_change_latency.list_samples()

    def list_control_hosts(self) -> tuple[str, ...]:
        """Return the addresses of the control hosts."""
        members = self._log.driver.state.log.membership.members
        return tuple(sorted({get_host_name(member.host) for member in members}))

    def _find_refusal(self, step: str) -> Fault | None:
        voters = list_voters(self._log.driver.state.log.membership)
        if len(voters) >= self._required_voters:
            return None
        # With fewer voters, the number of host losses that the fleet must survive could
        # lose accepted changes.
        reason = f"{len(voters)} voters, {self._required_voters} wanted"
        return NotAccepted(step, "", reason)


def setup(
    kernel: Kernel, settings: NodeSettings, state: FleetState
) -> FleetStateService:
    """Start the replicated log that applies changes to ``state``.

    Registered as "versions". Hosts are named by their addresses: a replacement host
    has a new address, and the membership in the log defines who is a member.
    """
    machine = StateMachine(state.apply, state.take_snapshot, state.restore)
    port = settings.internal_rpc_address.port
    peers = {seed: Address(seed, port) for seed in settings.seeds}
    control = ControlSettings(
        name=settings.address,
        failure_domain=settings.failure_domain,
        rpc=settings.internal_rpc_address,
        admin=settings.internal_rpc_address,
        data_folder=settings.data_folder,
        peers=peers,
    )
    required_voters = 2 * settings.fault_tolerance + 1
    options = ReplicatedLogOptions(
        consensus=ConsensusSettings(
            heartbeat_seconds=HEARTBEAT_SECONDS,
            election_seconds=ELECTION_TIMEOUT_SECONDS,
            first_election_seconds=FIRST_ELECTION_TIMEOUT_SECONDS,
            min_voters=required_voters,
        ),
        make_channel=FramedChannel,
        reserved_bytes=RESERVED_DISK_BYTES,
        may_bootstrap=settings.may_bootstrap and settings.address in settings.seeds,
        admit_unlisted_hosts=True,
        wait_for_disk_space=True,
    )
    log = consensus.setup(kernel, control, machine, options)
    server = FramedServer(settings.internal_rpc_address, consensus.make_handlers(log))
    server.start()
    log.start()
    service = FleetStateService(state, log, required_voters)

    def unload() -> None:
        log.stop()
        server.stop()

    kernel.register("versions", service, unload=unload)
    return service
