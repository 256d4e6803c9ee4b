"""Log events as lines of key=value pairs.

Lines go through absl unless a program calls log_to_stdout. Importing absl takes 25 ms
of CPU time (by ``-X importtime``) and 6 MB of memory (private pages of a process), too
much for each start on a host with a sixth of a core.
"""

import sys
from collections.abc import Callable
from typing import Any

WriteLine = Callable[[str], None]


def format_event(event: str, **fields: Any) -> str:
    """Return ``event=NAME key=value ...``; values with whitespace are quoted."""
    pairs = [f"event={event}"]
    pairs += [f"{key}={_format_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def log_line(line: str) -> None:
    """Log a formatted line at level info."""
    _writers["info"](line)


def log_event(event: str, **fields: Any) -> None:
    """Log an event at level info."""
    _writers["info"](format_event(event, **fields))


def warn_event(event: str, **fields: Any) -> None:
    """Log an event that needs an operator's attention."""
    _writers["warning"](format_event(event, **fields))


def log_failure(event: str, **fields: Any) -> None:
    """Log an error with the traceback of the exception that is being handled."""
    _writers["failure"](format_event(event, **fields))


def log_to_stdout() -> None:
    """Write all further lines to standard output instead of absl."""
    _writers.update(
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


def _make_absl_writer(level: str) -> WriteLine:
    def write(line: str) -> None:
        from absl import logging

        getattr(logging, level)(line)

    return write


_writers: dict[str, WriteLine] = {
    "info": _make_absl_writer("info"),
    "warning": _make_absl_writer("warning"),
    "failure": _make_absl_writer("exception"),
}


def _format_value(value: Any) -> str:
    text = str(value)
    if text and not any(character in text for character in ' "=\n\t'):
        return text
    # Imported lazily: few lines need it, and small hosts save the import at each start.
    import json

    return json.dumps(text)
