import gevent
import pytest
from gevent import socket

from ibisshunt.helpers import relay
from ibisshunt.helpers.relay import relay_streams, reset_connection


def make_connection():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    client = socket.create_connection(listener.getsockname())
    server, _ = listener.accept()
    listener.close()
    return client, server


def test_a_caller_that_half_closes_receives_the_whole_response():
    caller, front = make_connection()
    back, target = make_connection()
    gevent.spawn(relay_streams, front, back)
    caller.sendall(b"question")
    caller.shutdown(socket.SHUT_WR)
    assert target.recv(100) == b"question"
    assert target.recv(100) == b""
    target.sendall(b"answer" * 50_000)
    target.close()
    received = b""
    while chunk := caller.recv(65_536):
        received += chunk
    assert received == b"answer" * 50_000


def test_a_reset_of_the_target_resets_the_caller():
    # The target dies in the middle of a response. The caller must get an error: an
    # ordinary close would make the truncated response look complete.
    caller, front = make_connection()
    back, target = make_connection()
    gevent.spawn(relay_streams, front, back)
    caller.sendall(b"question")
    assert target.recv(100) == b"question"
    target.sendall(b"half")
    assert caller.recv(100) == b"half"
    reset_connection(target)
    with pytest.raises(ConnectionError):
        caller.recv(100)


def test_a_caller_that_never_closes_does_not_keep_the_stream_open(monkeypatch):
    # The target has closed its side and the caller keeps the connection open without
    # sending. The relay must end, or a planned stop would wait for it forever.
    monkeypatch.setattr(relay, "HALF_CLOSED_IDLE_SECONDS", 0.05)
    caller, front = make_connection()
    back, target = make_connection()
    task = gevent.spawn(relay_streams, front, back)
    target.sendall(b"answer")
    target.close()
    assert caller.recv(100) == b"answer"
    task.get(timeout=10)
    assert caller.recv(100) == b""
