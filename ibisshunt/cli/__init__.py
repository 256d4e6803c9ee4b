"""Command line of each program.

Importing this package patches the standard library and gRPC for gevent. This must
happen before either opens a socket.
"""

from gevent import monkey

monkey.patch_all()

from ..helpers.runtime import prepare_grpc

prepare_grpc()
