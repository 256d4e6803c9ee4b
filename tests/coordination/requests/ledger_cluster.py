"""Simulate the ledger replicas and claimants of several agents on a lossy network."""

from dataclasses import dataclass, field

from ibisshunt.coordination.requests.claims import (
    Backoff,
    Claimant,
    ClaimOutcome,
    ClaimResult,
    SendClaim,
)
from ibisshunt.coordination.requests.ledger import Ledger
from ibisshunt.coordination.requests.messages import (
    Attempt,
    Claim,
    ClaimReply,
    ClaimStatus,
    Fetch,
    FetchReply,
    RecordState,
    Settle,
    StoredResponse,
)
from ibisshunt.coordination.requests.replica import LedgerReplica
from ibisshunt.coordination.requests.views import Member, View, find_replicas, make_view

RETENTION = 10_000.0
TIMEOUT = 0.5
DEADLINE = 5.0
FINGERPRINT = b"same"


@dataclass
class Message:
    source: int
    target: int
    body: object
    attempt: Attempt | None = None


@dataclass
class ClaimRun:
    claimant: Claimant
    view: View
    resume_at: float | None = None
    pending_call: tuple[int, float] | None = None
    is_granted: bool = False
    is_started: bool = False
    is_ended: bool = False


@dataclass
class Node:
    member: Member
    replica: LedgerReplica
    is_alive: bool = True
    attempt_count: int = 0
    runs: dict[Attempt, ClaimRun] = field(default_factory=dict)


class Cluster:
    def __init__(self, domains=3, size=4):
        self.now = 100.0
        self.domains = domains
        self.nodes = {}
        self.incarnations = 0
        self.revision = 0
        self.has_left = False
        self.network = []
        self.start_counts = {}
        self.responses = {}
        self.outcomes = []
        self.views = []
        members = [self.add_node(f"t{i}", f"d{i % domains}") for i in range(size)]
        self.publish(members)
        for node in self.nodes.values():
            self.catch_up(node.member.incarnation)
        self.run_until_settled()

    def add_node(self, name, domain):
        self.incarnations += 1
        member = Member(self.incarnations, name, domain)
        replica = LedgerReplica(member.incarnation, Ledger(RETENTION))
        self.nodes[member.incarnation] = Node(member, replica)
        return member

    def publish(self, members):
        self.revision += 1
        self.views.append(make_view(self.revision, members))

    @property
    def members(self):
        return list(self.views[-1].members)

    def list_alive(self):
        return [node for node in self.nodes.values() if node.is_alive]

    # --- membership

    def leave(self, index):
        """Drain a target: its agent stays alive, but is no longer a member."""
        members = self.members
        if len(members) > 2:
            members.pop(index % len(members))
            self.has_left = True
            self.publish(members)

    def rejoin(self, index):
        present = {member.incarnation for member in self.members}
        away = [
            node.member
            for node in self.list_alive()
            if node.member.incarnation not in present
        ]
        if away:
            self.publish([*self.members, away[index % len(away)]])

    def restart(self, index):
        """Restart an agent: it gets a new incarnation and has an empty ledger."""
        members = self.members
        old = members.pop(index % len(members))
        self.nodes[old.incarnation].is_alive = False
        self.has_left = True
        self.publish([*members, self.add_node(old.name, old.failure_domain)])

    def kill(self, index):
        alive = self.list_alive()
        if len(alive) > 2:
            alive[index % len(alive)].is_alive = False

    def remove_dead(self):
        members = [
            member for member in self.members if self.nodes[member.incarnation].is_alive
        ]
        if members and len(members) < len(self.members):
            self.has_left = True
            self.publish(members)

    def catch_up(self, incarnation, skip=0):
        node = self.nodes[incarnation]
        view = self.views[max(0, len(self.views) - 1 - skip)]
        node.replica.change_view(view, self.now)
        node.replica.try_open(not self.has_left, self.now)

    # --- network

    def post(self, source, target, body, attempt=None):
        self.network.append(Message(source, target, body, attempt))

    def deliver(self, index, keep_in_flight=False):
        if not self.network:
            return
        index %= len(self.network)
        message = self.network[index] if keep_in_flight else self.network.pop(index)
        node = self.nodes.get(message.target)
        if node is None or not node.is_alive:
            return
        self._handle(node, message)

    def drop(self, index):
        if self.network:
            self.network.pop(index % len(self.network))

    def _handle(self, node, message):
        body, source = message.body, message.source
        replica = node.replica
        if isinstance(body, Claim):
            reply = replica.claim(body, self.now)
            self.post(message.target, source, reply, body.attempt)
        elif isinstance(body, ClaimReply):
            self._handle_claim_reply(node, source, message.attempt, body)
        elif isinstance(body, Settle):
            replica.settle(body, self.now)
        elif isinstance(body, Fetch):
            self.post(
                message.target, source, (body, replica.handle_fetch(body, self.now))
            )
        else:
            self._handle_fetch_reply(node, *body)

    def _handle_fetch_reply(self, node, fetch: Fetch, reply: FetchReply):
        # A reply to a fetch under an older view is dropped, as the caller does.
        if fetch.view != node.replica.view:
            return
        after = node.replica.handle_fetch_reply(reply, self.now)
        if after is not None:
            next_fetch = node.replica.make_fetch(self.now, after)
            self.post(node.member.incarnation, reply.incarnation, next_fetch)
        node.replica.try_open(not self.has_left, self.now)

    def fetch(self, incarnation):
        node = self.nodes[incarnation]
        for source in node.replica.list_sources():
            self.post(incarnation, source, node.replica.make_fetch(self.now))

    def mark_dead_unreachable(self, incarnation):
        replica = self.nodes[incarnation].replica
        for source in replica.list_sources():
            if not self.nodes[source].is_alive:
                replica.mark_unreachable(source)
        replica.try_open(not self.has_left, self.now)

    # --- requests

    def send(self, key, index):
        alive = self.list_alive()
        node = alive[index % len(alive)]
        node.attempt_count += 1
        attempt = Attempt(node.member.incarnation, node.attempt_count)
        view = node.replica.view
        claimant = Claimant(
            key, FINGERPRINT, attempt, view, self.now + DEADLINE, self.now
        )
        node.runs[attempt] = ClaimRun(claimant, view)
        self._advance(node, attempt, claimant.start())
        return attempt

    def _handle_claim_reply(self, node, source, attempt, reply):
        run = node.runs.get(attempt)
        # As with gRPC, a reply belongs to its call: late replies are dropped.
        if run is None or run.pending_call is None or run.pending_call[0] != source:
            return
        run.pending_call = None
        self._advance(node, attempt, run.claimant.handle_reply(reply, self.now))

    def _advance(self, node, attempt, step):
        run = node.runs[attempt]
        if isinstance(step, SendClaim):
            run.pending_call = (step.replica, self.now + TIMEOUT)
            self.post(node.member.incarnation, step.replica, step.claim)
        elif isinstance(step, Backoff):
            run.resume_at = step.deadline
        else:
            self._end(node, attempt, run, step)

    def _end(self, node, attempt, run, step: ClaimResult):
        if step.outcome == ClaimOutcome.GRANTED:
            run.is_granted = True
            return
        run.is_ended = True
        self._settle(node, run, RecordState.FREE)
        self._record_outcome(step.outcome, run.claimant.key, step.response)

    def _record_outcome(self, outcome, key, response=None):
        start_count = self.start_counts.get(key, 0)
        self.outcomes.append((key, outcome))
        if outcome in (ClaimOutcome.NOT_RUN, ClaimOutcome.MISMATCH):
            assert start_count == 0, f"{key!r} was reported as not run but has started"
        if outcome == ClaimOutcome.REPLAY:
            assert response.body == self.responses[key], "response of another request"

    def pick_granted(self, index, is_started):
        candidates = [
            (node, attempt)
            for node in self.list_alive()
            for attempt, run in node.runs.items()
            if run.is_granted and not run.is_ended and run.is_started == is_started
        ]
        return candidates[index % len(candidates)] if candidates else None

    def start(self, index):
        if picked := self.pick_granted(index, is_started=False):
            node, attempt = picked
            run = node.runs[attempt]
            key = run.claimant.key
            run.is_started = True
            self.start_counts[key] = self.start_counts.get(key, 0) + 1
            assert self.start_counts[key] == 1, f"{key!r} started twice"

    def refuse(self, index):
        """Refuse a granted request before it starts, as a full queue does."""
        if picked := self.pick_granted(index, is_started=False):
            node, attempt = picked
            run = node.runs[attempt]
            run.is_ended = True
            self._settle(node, run, RecordState.FREE)
            self._record_outcome(ClaimOutcome.NOT_RUN, run.claimant.key)

    def finish(self, index, is_known=True):
        if picked := self.pick_granted(index, is_started=True):
            node, attempt = picked
            run = node.runs[attempt]
            run.is_ended = True
            body = f"{run.claimant.key!r} by {attempt}".encode()
            self.responses[run.claimant.key] = body
            response = StoredResponse(200, "OK", (), body)
            state = RecordState.DONE if is_known else RecordState.UNKNOWN
            self._settle(node, run, state, response if is_known else None)

    def _settle(self, node, run, state, response=None):
        key = run.claimant.key
        replicas = set(run.claimant.contacted_replicas)
        if pair := find_replicas(node.replica.view, key):
            replicas |= {pair.first.incarnation, pair.second.incarnation}
        settle = Settle(key, run.claimant.attempt, FINGERPRINT, state, response)
        for replica in replicas:
            self.post(node.member.incarnation, replica, settle)

    # --- time

    def tick(self, seconds):
        self.now += seconds
        for node in self.list_alive():
            for attempt, run in list(node.runs.items()):
                self._resume(node, attempt, run)

    def _resume(self, node, attempt, run):
        if run.is_ended or run.is_granted:
            return
        if run.pending_call is not None and run.pending_call[1] <= self.now:
            run.pending_call = None
            reply = ClaimReply(ClaimStatus.UNREACHABLE)
            self._advance(node, attempt, run.claimant.handle_reply(reply, self.now))
        elif run.resume_at is not None and run.resume_at <= self.now:
            run.resume_at = None
            step = run.claimant.resume(node.replica.view, self.now)
            self._advance(node, attempt, step)

    def run_until_settled(self, rounds=6):
        """Update all live agents and deliver all messages, for several rounds."""
        for _ in range(rounds):
            for node in self.list_alive():
                self.catch_up(node.member.incarnation)
                self.fetch(node.member.incarnation)
            self.drain()
            for node in self.list_alive():
                self.mark_dead_unreachable(node.member.incarnation)

    def drain(self):
        while self.network:
            self.deliver(0)

    def send_and_wait(self, key, index=0):
        """Send a request and run the cluster until the claim is granted or ends."""
        attempt = self.send(key, index)
        node = self.nodes[attempt.incarnation]
        for _ in range(200):
            self.drain()
            run = node.runs[attempt]
            if run.is_granted or run.is_ended:
                break
            self.tick(0.1)
        return node.runs[attempt]
