"""Configurations are downloaded completely from any source, despite lost datagrams."""

import random

from hypothesis import given, strategies as st

from ibisshunt.coordination.directory.download import (
    CHUNK_BYTES,
    SOURCE_TIMEOUT_SECONDS,
    Download,
    make_chunks,
)


def simulate_download(content, loss_rate, seed, sources=("a", "b"), silent=()):
    """Return what a node downloads when a fraction of all datagrams is lost."""
    random_fraction = random.Random(seed).random
    download, now = Download(), 0.0
    requests = [download.handle_offer(name, 3, now) for name in sources]
    for _ in range(400):
        pending = [request for request in requests if request]
        requests = []
        for source, fetch in pending:
            if random_fraction() < loss_rate or source in silent:
                continue
            for chunk in make_chunks(3, content, fetch.first_chunk):
                if random_fraction() < loss_rate:
                    continue
                found, request = download.handle_chunk(source, chunk, now)
                if found is not None:
                    return found
                requests.append(request)
        now += SOURCE_TIMEOUT_SECONDS
        requests.append(download.retry(now))
    return None


@given(st.integers(0, 40 * CHUNK_BYTES), st.integers(0, 5), st.sampled_from([0, 0.3]))
def test_a_download_completes_despite_lost_datagrams(size, seed, loss_rate):
    content = random.Random(seed).randbytes(size)
    assert simulate_download(content, loss_rate, seed) == content


def test_another_source_is_used_when_one_is_silent():
    # The control host that offered a version falls silent during the download: the node
    # must continue with another source.
    content = bytes(30 * CHUNK_BYTES)
    assert simulate_download(content, 0, 1, silent=("a",)) == content


def test_a_newer_version_replaces_a_running_download():
    download = Download()
    download.handle_offer("a", 3, 0.0)
    assert download.handle_offer("b", 4, 0.1) is not None
    found, _ = download.handle_chunk("a", make_chunks(3, b"old", 0)[0], 0.2)
    assert found is None
    found, _ = download.handle_chunk("b", make_chunks(4, b"new", 0)[0], 0.3)
    assert found == b"new"


def test_an_active_version_is_not_fetched_again():
    download = Download()
    download.mark_active(5)
    assert download.handle_offer("a", 5, 0.0) is None
    assert download.handle_offer("a", 4, 0.0) is None
    assert download.retry(10.0) is None
