import gevent
import pytest
from gevent import socket

from ibisshunt.helpers import relay
from ibisshunt.helpers.relay import relay_streams, reset_connection


def make_connection():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    near = socket.create_connection(listener.getsockname())
    far, _ = listener.accept()
    listener.close()
    return near, far


def test_a_caller_that_has_sent_all_still_gets_the_whole_answer():
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
    while part := caller.recv(65_536):
        received += part
    assert received == b"answer" * 50_000


def test_a_broken_target_resets_the_caller():
    # The caller sees a connection error, not the end of an answer: the target dies
    # in the middle, and a plain close would make half an answer look whole.
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


def test_a_caller_that_never_closes_does_not_hold_the_stream(monkeypatch):
    # The caller has its whole answer and keeps the connection: the target has ended
    # its side, nothing moves any more, the relay ends so that a stop can go on.
    monkeypatch.setattr(relay, "HALF_CLOSED_SECONDS", 0.05)
    caller, front = make_connection()
    back, target = make_connection()
    task = gevent.spawn(relay_streams, front, back)
    target.sendall(b"answer")
    target.close()
    assert caller.recv(100) == b"answer"
    task.get(timeout=10)
    assert caller.recv(100) == b""
