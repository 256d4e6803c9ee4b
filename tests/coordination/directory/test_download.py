"""Configurations arrive whole, from whoever holds them, whatever gets lost."""

import random

from hypothesis import given, strategies as st

from ibisshunt.coordination.directory.download import (
    PIECE_BYTES,
    SILENT_SECONDS,
    Download,
    make_pieces,
)


def run(whole, lost, seed, providers=("a", "b"), silent=()):
    """Return what a node fetches when a share of all datagrams is lost."""
    draw = random.Random(seed).random
    download, now = Download(), 0.0
    questions = [download.offer(name, 3, now) for name in providers]
    for _ in range(400):
        pending = [question for question in questions if question]
        questions = []
        for provider, fetch in pending:
            if draw() < lost or provider in silent:
                continue
            for piece in make_pieces(3, whole, fetch.first):
                if draw() < lost:
                    continue
                found, question = download.take(provider, piece, now)
                if found is not None:
                    return found
                questions.append(question)
        now += SILENT_SECONDS
        questions.append(download.sweep(now))
    return None


@given(st.integers(0, 40 * PIECE_BYTES), st.integers(0, 5), st.sampled_from([0, 0.3]))
def test_the_whole_arrives_though_datagrams_get_lost(size, seed, lost):
    whole = random.Random(seed).randbytes(size)
    assert run(whole, lost, seed) == whole


def test_another_provider_is_asked_when_one_is_silent():
    # The control host that told of a version falls silent in the middle: the node
    # must get it from the next one instead of waiting for the first.
    whole = bytes(30 * PIECE_BYTES)
    assert run(whole, 0, 1, silent=("a",)) == whole


def test_a_newer_version_replaces_a_transfer():
    download = Download()
    download.offer("a", 3, 0.0)
    assert download.offer("b", 4, 0.1) is not None
    found, _ = download.take("a", make_pieces(3, b"old", 0)[0], 0.2)
    assert found is None
    found, _ = download.take("b", make_pieces(4, b"new", 0)[0], 0.3)
    assert found == b"new"


def test_a_version_that_is_held_is_not_fetched_again():
    download = Download()
    download.hold(5)
    assert download.offer("a", 5, 0.0) is None
    assert download.offer("a", 4, 0.0) is None
    assert download.sweep(10.0) is None
