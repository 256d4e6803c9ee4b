"""Run blocking calls beside the tasks of one process."""

from collections.abc import Callable
from typing import Any

import gevent


def run_in_thread(function: Callable[..., Any], args: tuple[Any, ...]) -> Any:
    """Return the call's result; other tasks run while it waits, for a disk say."""
    return gevent.get_hub().threadpool.apply(function, args)
