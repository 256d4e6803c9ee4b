import os
import re
import shlex
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

import gevent
import trustme
import urllib3
from gevent import socket
from gevent.fileobject import FileObject

ROOT = Path(__file__).resolve().parents[2]
PAGES = ROOT / "docs" / "operators"
PROGRAMS = {
    "ibisshunt": "operator",
    "ibisshunt-control": "control",
    "ibisshunt-balancer": "balancer",
    "ibisshunt-agent": "agent",
}
# Four-digit ports that the samples and pages name.
PORT = re.compile(r"\b(?:6[0-9]{3}|7[3-9][0-9]{2}|8080)\b")
READ_ONLY = re.compile(r"curl|ibisshunt (--control \S+ .*)?(status|dump|list)\b")
END = "end-of-command"
DEADLINE_SECONDS = 40
POLL_SECONDS = 0.3


@dataclass(frozen=True)
class Command:
    """One command of a page and the output that the page promises."""

    page: str
    line: str
    expected: str


def read_commands(page):
    """Return the commands in the console blocks of a page."""
    text = (PAGES / page).read_text()
    commands = []
    for block in re.findall(r"^```console\n(.*?)^```", text, re.M | re.S):
        for part in re.split(r"^\$ ", block, flags=re.M)[1:]:
            line, _, expected = part.partition("\n")
            commands.append(Command(page, line, expected))
    return commands


def read_rows(page):
    """Return the cells of each table row whose first cell is a name."""
    rows = re.findall(r"^\| `([^`]+)` \| (.*) \|$", (PAGES / page).read_text(), re.M)
    return {name: rest.split(" | ") for name, rest in rows}


def matches(expected, output):
    """Tell whether output is as on the page, where ``...`` stands for anything."""
    pattern = re.escape(expected.strip()).replace(re.escape("..."), ".*")
    pattern = pattern.replace(r"\ ", " ")
    return re.fullmatch(pattern, output.strip(), re.S) is not None


class Ports:
    """Give each port of the pages a free one, for TCP and for UDP."""

    def __init__(self):
        self.held = []
        self.found = {}

    def replace(self, text):
        return PORT.sub(lambda match: self.find(match.group()), text)

    def find(self, port):
        if port not in self.found:
            self.found[port] = str(self.reserve())
        return self.found[port]

    def reserve(self):
        for _ in range(100):
            stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            packets = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.held += [stream, packets]
            stream.bind(("0.0.0.0", 0))
            try:
                packets.bind(("127.0.0.1", stream.getsockname()[1]))
            except OSError:
                continue
            return stream.getsockname()[1]
        raise AssertionError("no port is free for both TCP and UDP")

    def release(self):
        for held in self.held:
            held.close()
        self.held = []


class Shell:
    """Run the commands of the pages in one shell, as an operator would."""

    def __init__(self, folder):
        self.folder = folder
        self.ports = Ports()
        self.write_samples()
        self.write_programs()
        self.write_certificates()
        self.start_shell()

    def start_shell(self):
        # Spawned and not forked: gRPC's handlers in a forked child hang it now and
        # then before it has become the shell.
        read_input, self.input = os.pipe()
        output, write_output = os.pipe()
        actions = [
            (os.POSIX_SPAWN_DUP2, read_input, 0),
            (os.POSIX_SPAWN_DUP2, write_output, 1),
            (os.POSIX_SPAWN_DUP2, write_output, 2),
        ]
        environment = {
            "PATH": f"{self.folder / 'bin'}:/usr/bin:/bin",
            "PYTHONPATH": str(ROOT),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        command = ["bash", "--noprofile", "--norc"]
        self.pid = os.posix_spawnp(
            "bash", command, environment, file_actions=actions, setsid=True
        )
        os.close(read_input)
        os.close(write_output)
        self.output = FileObject(output, "r")
        self.execute(f"cd {shlex.quote(str(self.folder))}")

    def write_samples(self):
        (self.folder / "samples").mkdir()
        for sample in (ROOT / "samples").glob("*.json"):
            text = self.ports.replace(sample.read_text())
            (self.folder / "samples" / sample.name).write_text(text)

    def write_programs(self):
        (self.folder / "bin").mkdir()
        for name, module in PROGRAMS.items():
            path = self.folder / "bin" / name
            path.write_text(
                f'#!/bin/sh\nexec "{sys.executable}" -m ibisshunt.cli.{module} "$@"\n'
            )
            path.chmod(0o755)

    def write_certificates(self):
        authority = trustme.CA()
        issued = authority.issue_cert("127.0.0.1")
        issued.cert_chain_pems[0].write_to_path(self.folder / "certificate.pem")
        issued.private_key_pem.write_to_path(self.folder / "key.pem")
        authority.cert_pem.write_to_path(self.folder / "authority.pem")

    def execute(self, line):
        """Run one line and return what it printed."""
        self.ports.release()
        text = f"{self.ports.replace(line)}\necho {END}\n"
        os.write(self.input, text.encode())
        lines = []
        with gevent.Timeout(DEADLINE_SECONDS, AssertionError(f"hangs: {line}")):
            while (found := self.output.readline()) != f"{END}\n":
                assert found, f"the shell ended at: {line}"
                lines.append(found)
        return "".join(lines)

    def check(self, command):
        """Run a command; one that only reads is asked again until it matches."""
        expected = self.ports.replace(command.expected)
        output = self.execute(command.line)
        again = READ_ONLY.match(command.line)
        with gevent.Timeout(DEADLINE_SECONDS, False):
            while again and not matches(expected, output):
                gevent.sleep(POLL_SECONDS)
                output = self.execute(command.line)
        assert matches(expected, output), (
            f"{command.page}: {command.line}\nexpected:\n{expected}\n"
            f"found:\n{output}\n{self.show_logs()}"
        )

    def list_metrics(self, port):
        """Return the names on the metrics page of a process."""
        url = f"http://127.0.0.1:{self.ports.find(port)}/metrics"
        page = urllib3.request("GET", url, timeout=5).data.decode()
        return set(re.findall(r"^# TYPE (\S+)", page, re.M))

    def show_logs(self):
        return "\n".join(
            f"--- {path.name}\n{path.read_text()[-1500:]}"
            for path in sorted(self.folder.glob("*.log"))
        )

    def stop(self):
        """End every process that the pages started, by its own process group."""
        self.ports.release()
        os.close(self.input)
        os.killpg(self.pid, signal.SIGKILL)
        os.waitpid(self.pid, 0)
        self.output.close()
