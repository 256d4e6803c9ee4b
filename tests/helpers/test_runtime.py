"""gRPC works in a process that starts other programs."""

import subprocess
import sys

# Makes calls in one task while another task starts programs one after the other.
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


def test_programs_are_started_without_the_fork_handlers_of_grpc():
    # A process with gRPC connections starts other programs. gRPC's fork handlers wait
    # for its threads, in the parent or in the child, and can deadlock: a program of a
    # fleet then never starts, and a test waits for it until its timeout.
    result = subprocess.run(
        [sys.executable, "-c", STARTER], capture_output=True, timeout=60, check=True
    )
    assert result.stdout == b"started 60\n"
    assert b"fork" not in result.stderr
    assert b"Bad file descriptor" not in result.stderr
