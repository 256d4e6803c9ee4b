"""Kill agents under load and count requests lost, doubled and wrongly told.

Callers send keyed requests to any agent and resend until they are told the outcome.
Targets live in this process and note each run. Prints JSON.
"""

from gevent import monkey

monkey.patch_all()

import json
import os
import random
import signal
import subprocess
import sys
import time
from collections import Counter

import gevent
import msgspec
import urllib3
from gevent.pywsgi import WSGIServer
from urllib3.exceptions import HTTPError

from ibisshunt.model.address import Address
from ibisshunt.model.configuration import ServiceSlice
from ibisshunt.model.flow import Protocol
from ibisshunt.model.record import FrontKind, RequestPolicy, Service
from ibisshunt.model.target import Announcement, Target, TargetState

LOOPBACK = "127.0.0.1"
ANY = Address(LOOPBACK, 0)
AGENTS = 5
DOMAINS = 3
SECONDS = 30.0
KILL_EVERY = 3.0
# What control takes to see a death and to announce the next incarnation.
NOTICE_SECONDS = 0.5
RATE = 25.0
TRIES = 8
SERVICE_SECONDS = 0.05


class World:
    """Hold the targets, the agent processes and what became of each key."""

    def __init__(self):
        self.draw = random.Random(7)
        self.runs, self.revision, self.left = Counter(), 0, 0
        self.incarnation, self.kills = 0, 0
        self.targets = [self._start_target() for _ in range(AGENTS)]
        self.agents = [self._start_agent(index) for index in range(AGENTS)]
        self.told, self.tries, self.waits = {}, Counter(), []
        self.wrong = []

    def _start_target(self):
        def serve(environ, start):
            body = environ["wsgi.input"].read()
            self.runs[body] += 1
            gevent.sleep(SERVICE_SECONDS)
            answer = b"done " + body
            start("200 OK", [("Content-Length", str(len(answer)))])
            return [answer]

        server = WSGIServer((LOOPBACK, 0), serve, log=None, error_log=None)
        server.start()
        return server

    def _start_agent(self, index):
        self.incarnation += 1
        target = f"{LOOPBACK}:{self.targets[index].server_port}"
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "measurements.requests_agent",
                f"t{index}",
                f"d{index % DOMAINS}",
                str(self.incarnation),
                target,
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        rpc, front = (int(one) for one in process.stdout.readline().split())
        return {
            "process": process,
            "index": index,
            "incarnation": self.incarnation,
            "rpc": Address(LOOPBACK, rpc),
            "front": front,
        }

    def publish(self):
        """Send the configuration to each agent that is alive, in any order."""
        self.revision += 1
        service = Service(
            "marea",
            "booking",
            LOOPBACK,
            80,
            Protocol.TCP,
            (),
            front=FrontKind.HTTP,
            requests=RequestPolicy(timeout_ms=4000),
            number=7,
        )
        targets = tuple(self._describe(one) for one in self.agents)
        part = ServiceSlice(service, targets, self.revision, self.left)
        line = msgspec.json.encode(part) + b"\n"
        for agent in self.draw.sample(self.agents, len(self.agents)):
            gevent.sleep(self.draw.random() * 0.05)
            agent["process"].stdin.write(line)
            agent["process"].stdin.flush()

    def _describe(self, agent):
        name = f"t{agent['index']}"
        domain = f"d{agent['index'] % DOMAINS}"
        announcement = Announcement(
            "marea", "booking", name, "s", name, domain, ANY, ANY, ANY, rpc=agent["rpc"]
        )
        return Target(announcement, agent["incarnation"], TargetState.READY, 0.0)

    def kill_some(self, deadline):
        """Kill an agent now and then; it comes back empty as a new incarnation."""
        while time.monotonic() < deadline:
            gevent.sleep(KILL_EVERY)
            place = self.draw.randrange(AGENTS)
            dead = self.agents[place]
            os.kill(dead["process"].pid, signal.SIGKILL)
            dead["process"].wait()
            self.kills += 1
            gevent.sleep(NOTICE_SECONDS)
            self.agents[place] = self._start_agent(dead["index"])
            self.left = self.revision + 1
            self.publish()

    def call(self, number):
        """Send one keyed request until an outcome is known or tries are spent."""
        key, began = f"swap-{number}", time.monotonic()
        told = "no answer"
        for _ in range(TRIES):
            self.tries[key] += 1
            told, pause = self._send(key)
            if told == "done":
                break
            gevent.sleep(pause)
        self.told[key] = told
        self.waits.append(time.monotonic() - began)

    def _send(self, key):
        agent = self.draw.choice(self.agents)
        pool = urllib3.HTTPConnectionPool(
            LOOPBACK, agent["front"], retries=False, timeout=6.0
        )
        try:
            response = pool.request(
                "POST", "/swap", body=key, headers={"Idempotency-Key": key}
            )
        except HTTPError:
            return "no answer", 0.2
        finally:
            pool.close()
        told = response.headers.get("Ibisshunt-Outcome", "?")
        ran = self.runs[key.encode()]
        if told == "done" and response.data != b"done " + key.encode():
            self.wrong.append(f"{key}: answer {response.data!r}")
        if told == "not-run" and ran:
            self.wrong.append(f"{key}: told not-run, but ran")
        return told, float(response.headers.get("Retry-After", 0.5))

    def close(self):
        """End the processes that this measurement has started."""
        for agent in self.agents:
            agent["process"].kill()
            agent["process"].wait()
        for target in self.targets:
            target.stop(timeout=0.1)


def run(world):
    """Offer the load while agents are killed; return the figures."""
    world.publish()
    gevent.sleep(1.0)
    deadline = time.monotonic() + SECONDS
    killer = gevent.spawn(world.kill_some, deadline)
    tasks, number = [], 0
    while time.monotonic() < deadline:
        gevent.sleep(world.draw.expovariate(RATE))
        tasks.append(gevent.spawn(world.call, number))
        number += 1
    gevent.joinall(tasks)
    killer.join()
    told = Counter(world.told.values())
    ran = {key: world.runs[key.encode()] for key in world.told}
    return {
        "requests": number,
        "sends": sum(world.tries.values()),
        "kills": world.kills,
        "told_at_last": dict(told),
        "doubled": sum(count > 1 for count in ran.values()),
        "lost": sum(
            told == "done" and not ran[key] for key, told in world.told.items()
        ),
        "wrongly_told": world.wrong,
        "unknown_that_ran": sum(
            told == "unknown" and ran[key] == 1 for key, told in world.told.items()
        ),
    }


def main():
    """Run the measurement within its bounds."""
    world = World()
    try:
        print(json.dumps(run(world), indent=1))
    finally:
        world.close()


if __name__ == "__main__":
    main()
