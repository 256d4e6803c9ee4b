"""Run blocking calls in threads."""

from collections.abc import Callable
from typing import Any

import gevent


def run_in_thread(function: Callable[..., Any], args: tuple[Any, ...]) -> Any:
    """Call a function that blocks, for example on a disk, while other tasks run."""
    return gevent.get_hub().threadpool.apply(function, args)
