"""Attribute the requests of a day that were late or never served.

``python -m measurements.unserved REPORT LOG SITE`` reads the report of one day, what
the processes logged on it (``--log all``) and the deployment's file. The report counts
requests by spans of two seconds and not one by one: a span is put down to the faults
that overlap it and to what our processes decided in it. Of a fault that leaves every
entry host dark the command works out how many requests nobody could have served: those
whose deadlines ended before the first flow was placed again, and those that must not be
sent twice, on flows that had ended.
"""

import json
import re
import sys
import tomllib
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

SPAN_SECONDS = 2.0
# What a line of a process looks like in a day's log: time, host, level, event, fields.
LINE = re.compile(r"\s*(-?\d+\.\d+) (\S+) \S event=(\S+)(.*)")
REASON = re.compile(r"reason=(\S+)")
# Events that tell why callers waited or were turned away; their reasons count apart.
TOLD = {
    "flow_reset": True,
    "flow_refused": True,
    "target_deaf": False,
    "target_silent": False,
    "target_replaced": False,
    "flow_not_found": False,
}
ANSWERED = "request_answered"
# What a plot shows: bars, and how much before and after a dark time. Unit: seconds.
BAR_SECONDS = 0.1
BEFORE_SECONDS = 0.5
AFTER_SECONDS = 2.0
# The fault of a whole fleet that leaves the targets alone.
KILL = "kill_all"
# The kind of requests that may run once at most, in a deployment's file.
ONCE = "unsafe"


@dataclass(frozen=True, slots=True)
class Line:
    """Hold one logged event; ``at`` is in seconds of the day."""

    at: float
    host: str
    event: str
    fields: str


@dataclass(frozen=True, slots=True)
class Span:
    """Hold the requests that were sent in two seconds from ``began`` on."""

    began: float
    asked: int
    late: int
    failed: int

    def overlaps(self, began: float, ended: float) -> bool:
        """Tell whether something went on in this span."""
        return began < self.began + SPAN_SECONDS and ended > self.began


@dataclass(frozen=True, slots=True)
class Dark:
    """Hold a time in which no flow was placed, in seconds of the day.

    ``ends_flows`` tells whether the targets, and the flows with them, ended too.
    """

    began: float
    ended: float
    ends_flows: bool


def read_lines(path: Path) -> Iterator[Line]:
    """Yield the events in a day's log, in the order of the file."""
    with path.open(errors="replace") as stream:
        for text in stream:
            if found := LINE.match(text):
                yield Line(float(found[1]), found[2], found[3], found[4])


def list_spans(report: dict[str, Any]) -> list[Span]:
    """Return the spans of a report."""
    return [
        Span(float(row["name"]), row["n"], row["late"], row["failed"])
        for row in report["windows"]
    ]


def count_decisions(lines: Iterable[Line]) -> dict[float, Counter[str]]:
    """Count what processes decided, by the beginning of the span."""
    found: dict[float, Counter[str]] = {}
    for line in lines:
        if line.event not in TOLD:
            continue
        name = line.event
        if TOLD[line.event] and (reason := REASON.search(line.fields)):
            name = f"{name}:{reason[1]}"
        began = line.at // SPAN_SECONDS * SPAN_SECONDS
        found.setdefault(began, Counter())[name] += 1
    return found


def find_dark(report: dict[str, Any], lines: list[Line]) -> list[Dark]:
    """Return when faults of the whole fleet kept flows from opening."""
    placed = sorted(line.at for line in lines if line.event == "flow_placed")
    started = sorted(line.at for line in lines if line.event == "started")
    dark: list[Dark] = []
    for event in report["events"]:
        if not event["kind"].startswith("closing"):
            continue
        began = event["at_s"]
        back = next((at for at in started if at > began), None)
        ended = next((at for at in placed if back is not None and at > back), None)
        if ended is not None:
            dark.append(Dark(began, ended, KILL not in event["kind"]))
    return dark


def estimate_hopeless(
    dark: Dark,
    spans: list[Span],
    classes: list[dict[str, Any]],
    shares: dict[str, float],
) -> float:
    """Return how many requests of a dark time nobody could have served.

    ``shares`` gives each kind's part of all requests.
    """
    asked = sum(span.asked for span in spans if span.overlaps(dark.began, dark.ended))
    seconds = SPAN_SECONDS * sum(
        span.overlaps(dark.began, dark.ended) for span in spans
    )
    lasted = dark.ended - dark.began
    hopeless = 0.0
    for kind in classes:
        patience = kind["deadline_ms"] / 1000
        may_end = kind.get("kind") == ONCE and kind.get("habit") == "pool"
        if dark.ends_flows and may_end:
            patience = 0.0
        rate = shares.get(kind["name"], 0.0) * asked / seconds
        hopeless += rate * max(0.0, lasted - patience)
    return hopeless


def plot_answers(dark: Dark, lines: list[Line]) -> Iterator[str]:
    """Yield a bar of answered requests for each tenth of a second around a dark time.

    Processes leave lines out above a bound, so that long bars are too short.
    """
    counts = Counter(
        round(line.at // BAR_SECONDS) for line in lines if line.event == ANSWERED
    )
    first = round((dark.began - BEFORE_SECONDS) // BAR_SECONDS)
    last = round((dark.ended + AFTER_SECONDS) // BAR_SECONDS)
    for bar in range(first, last):
        yield f"{bar * BAR_SECONDS:7.1f} s {counts[bar]:4} {'#' * counts[bar]}"


def describe(span: Span, report: dict[str, Any], decided: Counter[str]) -> str:
    """Return one line on a span."""
    faults = [
        event["kind"]
        for event in report["events"]
        if not event["planned"] and span.overlaps(event["at_s"], event["to_s"])
    ]
    ours = " ".join(f"{name}={count}" for name, count in decided.most_common(4))
    return (
        f"{span.began:5.0f} {span.asked:6} {span.late:5} {span.failed:6}  "
        f"{'; '.join(faults) or '-':44} {ours}"
    )


def main(arguments: list[str]) -> None:
    """Print the spans with losses, and what of them nobody could have served."""
    report_path, log_path, site_path = map(Path, arguments)
    report = json.loads(report_path.read_text())
    text = site_path.read_text()
    classes = tomllib.loads(text[text.index("\n") :])["classes"]
    lines = list(read_lines(log_path))
    spans = list_spans(report)
    decided = count_decisions(lines)
    print("from    asked  late failed  faults, and what our processes decided most")
    for span in spans:
        if span.late + span.failed > 0.01 * span.asked:
            print(describe(span, report, decided.get(span.began, Counter())))
    total = sum(row["n"] for row in report["classes"])
    shares = {row["name"]: row["n"] / total for row in report["classes"]}
    for dark in find_dark(report, lines):
        hopeless = estimate_hopeless(dark, spans, classes, shares)
        print(
            f"dark from {dark.began:.2f} to {dark.ended:.2f} s: some {hopeless:.0f} of"
            f" {sum(span.failed for span in spans)} could be served by nobody"
        )
        print(*plot_answers(dark, lines), sep="\n")


if __name__ == "__main__":
    main(sys.argv[1:])
