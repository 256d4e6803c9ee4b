"""Write one line of key=value pairs for each event.

Lines go through absl unless a program chooses otherwise. A host with a sixth of a core
cannot afford its import at each start (25 ms of processor time and 6 MB of memory, by
``-X importtime`` and the private pages of a process), and writes them plainly.
"""

import sys
from collections.abc import Callable
from typing import Any

Write = Callable[[str], None]


def format_event(event: str, **fields: Any) -> str:
    """Return ``event=NAME key=value ...``; values with blanks are quoted."""
    pairs = [f"event={event}"]
    pairs += [f"{key}={_format_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def log_line(line: str) -> None:
    """Log a line that is formatted already."""
    _sinks["info"](line)


def log_event(event: str, **fields: Any) -> None:
    """Log an event of ordinary interest."""
    _sinks["info"](format_event(event, **fields))


def warn_event(event: str, **fields: Any) -> None:
    """Log an event that an operator should look at."""
    _sinks["warning"](format_event(event, **fields))


def log_failure(event: str, **fields: Any) -> None:
    """Log an error together with the trace of the exception that is handled."""
    _sinks["failure"](format_event(event, **fields))


def write_plainly() -> None:
    """Write the lines to standard output from now on, without absl."""
    _sinks.update(
        info=lambda line: _print(f"I {line}"),
        warning=lambda line: _print(f"W {line}"),
        failure=_print_failure,
    )


def _print(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def _print_failure(line: str) -> None:
    import traceback

    _print(f"E {line}")
    traceback.print_exc(file=sys.stdout)


def _through_absl(level: str) -> Write:
    def write(line: str) -> None:
        from absl import logging

        getattr(logging, level)(line)

    return write


_sinks: dict[str, Write] = {
    "info": _through_absl("info"),
    "warning": _through_absl("warning"),
    "failure": _through_absl("exception"),
}


def _format_value(value: Any) -> str:
    text = str(value)
    if text and not any(mark in text for mark in ' "=\n\t'):
        return text
    # Few lines need it: a thin host is spared the import at each start.
    import json

    return json.dumps(text)
