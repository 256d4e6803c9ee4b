"""gRPC in a process that starts others."""

import subprocess
import sys

# Calls go on while other programs are started one after the other.
STARTER = """
from gevent import monkey

monkey.patch_all()

import os
import subprocess
from concurrent.futures import ThreadPoolExecutor

import gevent

from ibisshunt.helpers.runtime import prepare_grpc

prepare_grpc()

import grpc

server = grpc.server(ThreadPoolExecutor(2))
echo = grpc.unary_unary_rpc_method_handler(lambda request, context: request)
handlers = grpc.method_handlers_generic_handler("test", {"Echo": echo})
server.add_generic_rpc_handlers((handlers,))
port = server.add_insecure_port("127.0.0.1:0")
server.start()
call = grpc.insecure_channel(f"127.0.0.1:{port}").unary_unary("/test/Echo")


def go_on():
    while True:
        call(b"word", timeout=20)


gevent.spawn(go_on)
call(b"word", timeout=20)
for _ in range(60):
    subprocess.run(["true"], check=True)
    gevent.sleep(0.001)
print("started 60", flush=True)
os._exit(0)
"""


def test_a_program_is_started_without_handlers_of_grpc_in_between():
    # A test starts a program in a process that also holds gRPC connections. gRPC's
    # handlers of the fork wait for its threads, in the starter or in the child: one
    # program of a fleet then never begins, and the test waits for it in vain.
    found = subprocess.run(
        [sys.executable, "-c", STARTER], capture_output=True, timeout=60, check=True
    )
    assert found.stdout == b"started 60\n"
    assert b"fork" not in found.stderr
    assert b"Bad file descriptor" not in found.stderr
