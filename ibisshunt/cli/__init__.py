"""Hold the command line of each program.

Importing this package makes the standard library and gRPC cooperate with gevent,
which has to happen before any of them opens a socket.
"""

from gevent import monkey

monkey.patch_all()

from ..helpers.runtime import prepare_grpc

prepare_grpc()
