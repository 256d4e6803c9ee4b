"""Drive the ledger decisions of several agents over a lossy fake network."""

from dataclasses import dataclass, field

from ibisshunt.coordination.requests.claims import Ask, Claimant, End, Ending, Pause
from ibisshunt.coordination.requests.handover import Holder
from ibisshunt.coordination.requests.holders import Member, View, find_pair, make_view
from ibisshunt.coordination.requests.ledger import Ledger
from ibisshunt.coordination.requests.outcomes import (
    Answer,
    Attempt,
    Claim,
    ClaimReply,
    Copy,
    Fetch,
    RecordState,
    Settle,
    Verdict,
)

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
class Run:
    claimant: Claimant
    view: View
    wake: float | None = None
    asked: tuple[int, float] | None = None
    granted: bool = False
    started: bool = False
    ended: bool = False


@dataclass
class Node:
    member: Member
    holder: Holder
    alive: bool = True
    numbers: int = 0
    runs: dict[Attempt, Run] = field(default_factory=dict)


class Cluster:
    def __init__(self, domains=3, size=4):
        self.now = 100.0
        self.domains = domains
        self.nodes = {}
        self.incarnations = 0
        self.revision = 0
        self.left = False
        self.network = []
        self.starts = {}
        self.answers = {}
        self.told = []
        self.views = []
        members = [self.add_node(f"t{i}", f"d{i % domains}") for i in range(size)]
        self.publish(members)
        for node in self.nodes.values():
            self.catch_up(node.member.incarnation)
        self.settle_all()

    def add_node(self, name, domain):
        self.incarnations += 1
        member = Member(self.incarnations, name, domain)
        holder = Holder(member.incarnation, Ledger(RETENTION))
        self.nodes[member.incarnation] = Node(member, holder)
        return member

    def publish(self, members):
        self.revision += 1
        self.views.append(make_view(self.revision, members))

    @property
    def members(self):
        return list(self.views[-1].members)

    def alive(self):
        return [n for n in self.nodes.values() if n.alive]

    # --- membership

    def leave(self, index):
        """A target is told to leave: it stays alive, but holds nothing any more."""
        members = self.members
        if len(members) > 2:
            members.pop(index % len(members))
            self.left = True
            self.publish(members)

    def rejoin(self, index):
        present = {m.incarnation for m in self.members}
        away = [n.member for n in self.alive() if n.member.incarnation not in present]
        if away:
            self.publish([*self.members, away[index % len(away)]])

    def restart(self, index):
        """An agent dies with its ledger and comes back under a new incarnation."""
        members = self.members
        old = members.pop(index % len(members))
        self.nodes[old.incarnation].alive = False
        self.left = True
        self.publish([*members, self.add_node(old.name, old.failure_domain)])

    def kill(self, index):
        alive = self.alive()
        if len(alive) > 2:
            alive[index % len(alive)].alive = False

    def remove_dead(self):
        members = [m for m in self.members if self.nodes[m.incarnation].alive]
        if members and len(members) < len(self.members):
            self.left = True
            self.publish(members)

    def catch_up(self, incarnation, skip=0):
        node = self.nodes[incarnation]
        view = self.views[max(0, len(self.views) - 1 - skip)]
        node.holder.change_view(view, self.now)
        node.holder.try_open(not self.left, self.now)

    # --- network

    def post(self, source, target, body, attempt=None):
        self.network.append(Message(source, target, body, attempt))

    def deliver(self, index, keep=False):
        if not self.network:
            return
        index %= len(self.network)
        message = self.network[index] if keep else self.network.pop(index)
        node = self.nodes.get(message.target)
        if node is None or not node.alive:
            return
        self._handle(node, message)

    def drop(self, index):
        if self.network:
            self.network.pop(index % len(self.network))

    def _handle(self, node, message):
        body, source = message.body, message.source
        holder = node.holder
        if isinstance(body, Claim):
            reply = holder.claim(body, self.now)
            self.post(message.target, source, reply, body.attempt)
        elif isinstance(body, ClaimReply):
            self._take_reply(node, source, message.attempt, body)
        elif isinstance(body, Settle):
            holder.settle(body, self.now)
        elif isinstance(body, Fetch):
            self.post(message.target, source, (body, holder.take_fetch(body, self.now)))
        else:
            self._take_copy(node, *body)

    def _take_copy(self, node, fetch: Fetch, copy: Copy):
        # The task matches a reply to its call; a reply under an older view is dropped.
        if fetch.view != node.holder.view:
            return
        after = node.holder.take_copy(copy, self.now)
        if after is not None:
            again = node.holder.make_fetch(self.now, after)
            self.post(node.member.incarnation, copy.incarnation, again)
        node.holder.try_open(not self.left, self.now)

    def fetch(self, incarnation):
        node = self.nodes[incarnation]
        for source in node.holder.list_sources():
            self.post(incarnation, source, node.holder.make_fetch(self.now))

    def give_up_dead(self, incarnation):
        holder = self.nodes[incarnation].holder
        for source in holder.list_sources():
            if not self.nodes[source].alive:
                holder.give_up(source)
        holder.try_open(not self.left, self.now)

    # --- requests

    def send(self, key, index):
        alive = self.alive()
        node = alive[index % len(alive)]
        node.numbers += 1
        attempt = Attempt(node.member.incarnation, node.numbers)
        view = node.holder.view
        claimant = Claimant(
            key, FINGERPRINT, attempt, view, self.now + DEADLINE, self.now
        )
        node.runs[attempt] = Run(claimant, view)
        self._follow(node, attempt, claimant.start())
        return attempt

    def _take_reply(self, node, source, attempt, reply):
        run = node.runs.get(attempt)
        # As over gRPC, a reply belongs to its call: late ones are not looked at.
        if run is None or run.asked is None or run.asked[0] != source:
            return
        run.asked = None
        self._follow(node, attempt, run.claimant.take_reply(reply, self.now))

    def _follow(self, node, attempt, step):
        run = node.runs[attempt]
        if isinstance(step, Ask):
            run.asked = (step.holder, self.now + TIMEOUT)
            self.post(node.member.incarnation, step.holder, step.claim)
        elif isinstance(step, Pause):
            run.wake = step.deadline
        else:
            self._end(node, attempt, run, step)

    def _end(self, node, attempt, run, step: End):
        if step.ending == Ending.GRANTED:
            run.granted = True
            return
        run.ended = True
        self._settle(node, run, RecordState.FREE)
        self._tell(step.ending, run.claimant.key, step.answer)

    def _tell(self, ending, key, answer=None):
        starts = self.starts.get(key, 0)
        self.told.append((key, ending))
        if ending in (Ending.NOT_RUN, Ending.MISMATCH):
            assert starts == 0, f"{key!r} was told not-run but has started"
        if ending == Ending.REPLAY:
            assert answer.body == self.answers[key], "an answer of another request"

    def pick_granted(self, index, started):
        found = [
            (node, attempt)
            for node in self.alive()
            for attempt, run in node.runs.items()
            if run.granted and not run.ended and run.started == started
        ]
        return found[index % len(found)] if found else None

    def start(self, index):
        if picked := self.pick_granted(index, started=False):
            node, attempt = picked
            run = node.runs[attempt]
            key = run.claimant.key
            run.started = True
            self.starts[key] = self.starts.get(key, 0) + 1
            assert self.starts[key] == 1, f"{key!r} started twice"

    def refuse(self, index):
        """The queue drops a granted request before it starts."""
        if picked := self.pick_granted(index, started=False):
            node, attempt = picked
            run = node.runs[attempt]
            run.ended = True
            self._settle(node, run, RecordState.FREE)
            self._tell(Ending.NOT_RUN, run.claimant.key)

    def finish(self, index, known=True):
        if picked := self.pick_granted(index, started=True):
            node, attempt = picked
            run = node.runs[attempt]
            run.ended = True
            body = f"{run.claimant.key!r} by {attempt}".encode()
            self.answers[run.claimant.key] = body
            answer = Answer(200, "OK", (), body)
            state = RecordState.DONE if known else RecordState.UNKNOWN
            self._settle(node, run, state, answer if known else None)

    def _settle(self, node, run, state, answer=None):
        key = run.claimant.key
        holders = set(run.claimant.asked)
        if pair := find_pair(node.holder.view, key):
            holders |= {pair.first.incarnation, pair.second.incarnation}
        settle = Settle(key, run.claimant.attempt, FINGERPRINT, state, answer)
        for holder in holders:
            self.post(node.member.incarnation, holder, settle)

    # --- time

    def tick(self, seconds):
        self.now += seconds
        for node in self.alive():
            for attempt, run in list(node.runs.items()):
                self._wake(node, attempt, run)

    def _wake(self, node, attempt, run):
        if run.ended or run.granted:
            return
        if run.asked is not None and run.asked[1] <= self.now:
            run.asked = None
            reply = ClaimReply(Verdict.UNREACHABLE)
            self._follow(node, attempt, run.claimant.take_reply(reply, self.now))
        elif run.wake is not None and run.wake <= self.now:
            run.wake = None
            step = run.claimant.resume(node.holder.view, self.now)
            self._follow(node, attempt, step)

    def settle_all(self, rounds=6):
        """Let everything that is alive come to rest."""
        for _ in range(rounds):
            for node in self.alive():
                self.catch_up(node.member.incarnation)
                self.fetch(node.member.incarnation)
            self.drain()
            for node in self.alive():
                self.give_up_dead(node.member.incarnation)

    def drain(self):
        while self.network:
            self.deliver(0)

    def ask(self, key, index=0):
        """Send a request and follow it until it is granted or ends."""
        attempt = self.send(key, index)
        node = self.nodes[attempt.incarnation]
        for _ in range(200):
            self.drain()
            run = node.runs[attempt]
            if run.granted or run.ended:
                break
            self.tick(0.1)
        return node.runs[attempt]
