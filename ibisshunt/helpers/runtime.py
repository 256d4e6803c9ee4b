"""Make the standard library and gRPC cooperate with gevent."""

import os
from typing import Final

import gevent

# Read by gRPC when it is imported. Its handlers of a fork stop its threads in the
# parent and start them in the child, before the child runs its own program: the one
# that forks can be stuck there for good, and so can the child. A process here that
# forks runs another program at once, and needs no gRPC in between.
os.environ.setdefault("GRPC_ENABLE_FORK_SUPPORT", "0")

import grpc.experimental.gevent as grpc_gevent

# gRPC polls each busy connection from one thread of the hub's pool. With gevent's
# default of 10 threads the eleventh connection of a process stops all of them: every
# call ends with DEADLINE_EXCEEDED. Threads are made only as they are needed.
POLL_THREADS: Final = 2_000


def prepare_grpc() -> None:
    """Let gRPC run under gevent; call once, after the standard library is patched."""
    grpc_gevent.init_gevent()
    gevent.get_hub().threadpool.maxsize = POLL_THREADS
