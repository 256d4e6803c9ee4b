"""Take, keep and give out complete configurations on a control host."""

from collections.abc import Iterator

from returns.result import Failure, Result, Success

from ...coordination.consensus import ConsensusSettings, NotAccepted
from ...coordination.consensus.membership import list_voters, name_of
from ...coordination.versions import (
    Outcome,
    VersionStore,
    decode_outcome,
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
    """Offer the newest configuration to the other services of this process."""

    def __init__(
        self, store: VersionStore, log: ReplicatedLog, wanted_voters: int
    ) -> None:
        self.store = store
        self._log = log
        self._wanted = wanted_voters
        self.puts = LatencyHistogram("ibisshunt_accept_seconds")

    def put(self, version: int, body: bytes) -> Result[Outcome, Fault]:
        """Return once the version is accepted or known to be overtaken."""
        if fault := self._find_obstacle():
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
        return passed.bind(lambda index: Success(self.store.body))

    def take_seeds(self, seeds: tuple[str, ...]) -> None:
        """Ask these hosts for admission too, if this one has yet to be admitted."""
        port = self._log.settings.rpc.port
        self._log.joiner.add_peers({seed: Address(seed, port) for seed in seeds})

    def list_samples(self) -> Iterator[Sample]:
        """Yield the samples of the metrics page."""
        yield from list_samples(self._log)
        version = self.store.version
        yield Sample("ibisshunt_configuration_version", SampleKind.GAUGE, {}, version)
        yield from self.puts.list_samples()

    def list_control(self) -> tuple[str, ...]:
        """Return the addresses of the control hosts."""
        members = self._log.driver.state.log.membership.members
        return tuple(sorted({name_of(member.host) for member in members}))

    def _find_obstacle(self) -> Fault | None:
        voters = list_voters(self._log.driver.state.log.membership)
        if len(voters) >= self._wanted:
            return None
        # With fewer voters the losses that must be borne could take what was
        # accepted with them.
        reason = f"{len(voters)} voters, {self._wanted} wanted"
        return NotAccepted("put configuration", "", reason)


def setup(
    kernel: Kernel, settings: NodeSettings, store: VersionStore
) -> VersionService:
    """Start the replicated log that drives ``store``; register it as "versions".

    Hosts go by their addresses: a replaced host comes with a new one, and the log
    itself tells who is a member.
    """
    machine = StateMachine(store.apply, store.take_snapshot, store.restore)
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
    service = VersionService(store, log, wanted)

    def unload() -> None:
        log.stop()
        server.stop()

    kernel.register("versions", service, unload=unload)
    return service
