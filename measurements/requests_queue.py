"""Measure waits and goodput of the request decisions in simulated time.

One service, its agents, the real decisions and a heap of events; beside it one ideal
shared queue and plain connection hashing on the same arrivals. Prints JSON.
"""

import heapq
import json
import random
from dataclasses import dataclass
from itertools import count

from ibisshunt.coordination.requests.admission import Admission
from ibisshunt.coordination.requests.load_sharing import LoadSharing, measure_load
from ibisshunt.coordination.requests.messages import Attempt
from ibisshunt.coordination.requests.pull_schedule import PullSchedule
from ibisshunt.coordination.requests.weighting import OutlierDetector

AGENTS = 7
TICK = 0.02
# Arrivals by agent: each has as many connections, but not as busy ones.
SKEW = (2.0, 1.5, 1.2, 0.9, 0.6, 0.5, 0.3)
SLOW_FACTOR = 4.0
LIE_SHARE = 0.8
LIE_SECONDS = 0.001


@dataclass(frozen=True)
class Arrival:
    """Hold one request of the offered load; times in seconds."""

    time: float
    agent: int
    seconds: float
    deadline: float


def make_arrivals(load, slots, mean, total, patience, seed):
    """Return Poisson arrivals with exponential service times."""
    draw = random.Random(seed)
    rate = load * AGENTS * slots / mean
    now, arrivals = 0.0, []
    for _ in range(total):
        now += draw.expovariate(rate)
        agent = draw.choices(range(AGENTS), SKEW)[0]
        seconds = draw.expovariate(1 / mean)
        arrivals.append(Arrival(now, agent, seconds, now + patience))
    return arrivals


class Agents:
    """Drive the decisions of all agents of one service."""

    def __init__(self, arrivals, slots, delay, limit=100_000, odd=False):
        self.arrivals, self.delay, self.odd = arrivals, delay, odd
        self.draw = random.Random(5).random
        self.admission = [Admission(slots, limit) for _ in range(AGENTS)]
        self.sharing = [LoadSharing() for _ in range(AGENTS)]
        self.probing = [PullSchedule(one) for one in self.sharing]
        self.seen = [OutlierDetector() for _ in range(AGENTS)]
        self.pulling = [False] * AGENTS
        self.events, self.order, self.now = [], count(), 0.0
        self.waits, self.refused, self.late, self.lied = [], 0, 0, 0
        self.good, self.messages, self.left = 0, 0, len(arrivals)

    def _later(self, seconds, action, *args):
        heapq.heappush(
            self.events, (self.now + seconds, next(self.order), action, args)
        )

    def run(self):
        """Run until each request is answered or refused."""
        for number, one in enumerate(self.arrivals):
            self._later(one.time, self._arrive, number, one.agent)
        for agent in range(AGENTS):
            self._later(TICK * agent / AGENTS, self._tick, agent)
        while self.left:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        return self

    def _load(self, agent):
        weight = self.seen[agent].weights.get(agent, 1.0)
        return measure_load(self.admission[agent], 1.0, weight)

    def _send(self, source, target, action, *args):
        self.messages += 1
        load = self._load(source)

        def receive():
            self.sharing[target].update_load(source, load, self.now)
            action(*args)

        self._later(self.delay, receive)

    def _arrive(self, number, agent):
        weights = self.seen[agent].weights
        own = self._load(agent)
        peer = self.sharing[agent].choose_peer(own, self.draw, self.now, weights)
        if peer is None:
            self._offer(number, agent)
        else:
            self._send(agent, peer, self._offer, number, peer)

    def _offer(self, number, agent):
        one = self.arrivals[number]
        attempt = Attempt(1, number)
        refused = self.admission[agent].offer(
            attempt, f"c{number % 50}", one.deadline, self.now, 1.0
        )
        if refused:
            self.refused += 1
            self.left -= 1
        self._start(agent)

    def _start(self, agent):
        while waiting := self.admission[agent].start_next(self.now, 1.0):
            one = self.arrivals[waiting.attempt.number]
            self.waits.append(self.now - one.time)
            lies = self.odd and agent == 0 and self.draw() < LIE_SHARE
            slow = self.odd and agent == 1
            seconds = one.seconds * (SLOW_FACTOR if slow else 1.0)
            spent = LIE_SECONDS if lies else seconds
            self._later(spent, self._finish, waiting.attempt, agent, spent, lies)

    def _finish(self, attempt, agent, seconds, lies):
        one = self.arrivals[attempt.number]
        in_time = self.now <= one.deadline
        self.left -= 1
        self.lied += lies
        self.good += in_time and not lies
        self.late += not in_time
        self.admission[agent].finish(attempt, None if lies else seconds)
        self.seen[agent].record(agent, lies, seconds)
        if one.agent != agent:
            record = self.seen[one.agent].record
            self._send(agent, one.agent, record, agent, lies, seconds)
        self._start(agent)
        self._probe(agent)

    def _tick(self, agent):
        for attempt in self.admission[agent].list_expired(self.now):
            self.admission[agent].withdraw(attempt)
            self.refused += 1
            self.left -= 1
        self._probe(agent)
        self._later(TICK, self._tick, agent)

    def _is_idle(self, agent):
        load = self._load(agent)
        return load.queued == 0 and load.running < load.slots

    def _probe(self, agent):
        if self.pulling[agent]:
            return
        known = tuple(one for one in range(AGENTS) if one != agent)
        idle, queued = self._is_idle(agent), self.admission[agent].queued
        peer = self.probing[agent].choose_peer(known, idle, queued, self.draw, self.now)
        if peer is not None:
            self._pull(agent, peer)

    def _pull(self, agent, peer):
        self.pulling[agent] = True
        self._send(agent, peer, self._give, peer, agent, self._is_idle(agent))

    def _give(self, agent, sender, idle):
        waiting = self.admission[agent].pop_next() if idle else None
        if waiting is not None:
            self._send(agent, sender, self._offer, waiting.attempt.number, sender)
        longest = self.sharing[agent].find_longest_queue(self.now)
        if self._is_idle(agent) and longest == sender and not self.pulling[agent]:
            self._pull(agent, sender)
        self._send(agent, sender, self._take_reply, sender, 1 if waiting else 0)

    def _take_reply(self, agent, number):
        self.pulling[agent] = False
        self.probing[agent].record_reply(number, self.now)
        self._probe(agent)


def run_shared(arrivals, servers):
    """Serve one queue with all servers; return waits and answers in time."""
    free = [0.0] * servers
    waits, good = [], 0
    for one in arrivals:
        begin = max(one.time, heapq.heappop(free))
        heapq.heappush(free, begin + one.seconds)
        waits.append(begin - one.time)
        good += begin + one.seconds <= one.deadline
    return waits, good


def run_hashed(arrivals, slots):
    """Leave each connection with its agent; refuse and move nothing."""
    waits, good = [], 0
    for agent in range(AGENTS):
        own = [one for one in arrivals if one.agent == agent]
        found, right = run_shared(own, slots)
        waits += found
        good += right
    return waits, good


def find_quantile(values, share):
    """Return the value at a share in 0-1 of the sorted values."""
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))]


def find_ratio(value, base):
    """Return the ratio, or None when the base never waits."""
    return round(value / base, 4) if base else None


def compare_waits(name, slots, mean, delay, load, total, odd=False):
    """Compare waits on the same arrivals; ``odd`` adds a slow and a lying target."""
    arrivals = make_arrivals(load, slots, mean, total, 1e9, seed=11)
    agents = Agents(arrivals, slots, delay, odd=odd).run()
    waits = {
        "agents": agents.waits,
        "shared": run_shared(arrivals, AGENTS * slots)[0],
        "hashed": run_hashed(arrivals, slots)[0],
    }
    p50 = {who: find_quantile(found, 0.5) / mean for who, found in waits.items()}
    p99 = {who: find_quantile(found, 0.99) / mean for who, found in waits.items()}
    return {
        "service": name,
        "load": load,
        "odd_targets": odd,
        "p50_wait_in_service_times": {k: round(v, 3) for k, v in p50.items()},
        "p99_wait_in_service_times": {k: round(v, 3) for k, v in p99.items()},
        "p99_ratio_to_shared_queue": find_ratio(p99["agents"], p99["shared"]),
        "p99_ratio_to_hashing": find_ratio(p99["agents"], p99["hashed"]),
        "messages_per_request": round(agents.messages / total, 2),
        "share_refused_by_target": round(agents.lied / total, 4),
    }


def compare_goodput(name, slots, mean, delay, load, total, patience):
    """Compare answers in time under overload with baselines that refuse nothing."""
    arrivals = make_arrivals(load, slots, mean, total, patience, seed=23)
    agents = Agents(arrivals, slots, delay, limit=256).run()
    capacity = arrivals[-1].time * AGENTS * slots / mean
    good = {
        "agents": agents.good,
        "hashing_without_shedding": run_hashed(arrivals, slots)[1],
        "shared_queue_without_shedding": run_shared(arrivals, AGENTS * slots)[1],
    }
    return {
        "service": name,
        "offered": load,
        "goodput_of_capacity": {k: round(v / capacity, 3) for k, v in good.items()},
        "refused": agents.refused,
        "answered_late": agents.late,
    }


def main():
    """Run all comparisons."""
    services = (("booking", 1, 0.05, 0.0015), ("gatepass", 3, 0.05, 0.0005))
    waits, goodput = [], []
    for service in services:
        for load in (0.5, 0.8, 0.95):
            waits.append(compare_waits(*service, load, 10_000))
        waits.append(compare_waits(*service, 0.5, 10_000, odd=True))
        for load in (1.5, 3.0):
            goodput.append(compare_goodput(*service, load, 10_000, patience=1.0))
    print(json.dumps({"waits": waits, "goodput": goodput}, indent=1))


if __name__ == "__main__":
    main()
