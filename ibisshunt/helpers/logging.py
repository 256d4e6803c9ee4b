"""Write one line of key=value pairs for each event."""

import json
from typing import Any

from absl import logging


def format_event(event: str, **fields: Any) -> str:
    """Return ``event=NAME key=value ...``; values with blanks are quoted."""
    pairs = [f"event={event}"]
    pairs += [f"{key}={_format_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def log_event(event: str, **fields: Any) -> None:
    """Log an event of ordinary interest."""
    logging.info(format_event(event, **fields))


def warn_event(event: str, **fields: Any) -> None:
    """Log an event that an operator should look at."""
    logging.warning(format_event(event, **fields))


def _format_value(value: Any) -> str:
    text = str(value)
    if text and not any(mark in text for mark in ' "=\n\t'):
        return text
    return json.dumps(text)


def send_to_stdout() -> None:
    """Write the lines to standard output from now on."""
    import sys

    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stdout
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
