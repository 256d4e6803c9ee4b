"""Measure the memory and the time that a key takes on its holder. Prints JSON."""

import json
import time
import tracemalloc

from ibisshunt.coordination.requests.claims import Claimant, ClaimResult, SendClaim
from ibisshunt.coordination.requests.ledger import Ledger
from ibisshunt.coordination.requests.messages import (
    Attempt,
    RecordState,
    Settle,
    StoredResponse,
)
from ibisshunt.coordination.requests.replica import LedgerReplica
from ibisshunt.coordination.requests.views import Member, make_view
from ibisshunt.protocol.codec import decode, encode

KEYS = 20_000
BODY = 200
HEADERS = (
    ("Content-Type", "application/json"),
    ("Content-Length", str(BODY)),
    ("Date", "Wed, 02 Dec 2026 20:00:00 GMT"),
)
MEMBERS = tuple(Member(n, f"t{n}", f"d{n % 4}") for n in range(1, 8))


def open_holders():
    """Return the open holders of one service."""
    view = make_view(1, MEMBERS)
    holders = {
        one.incarnation: LedgerReplica(one.incarnation, Ledger(600.0))
        for one in MEMBERS
    }
    for holder in holders.values():
        holder.change_view(view, 0.0)
    for holder in holders.values():
        for source in holder.list_sources():
            fetch = holder.make_fetch(0.0)
            holder.handle_fetch_reply(holders[source].handle_fetch(fetch, 0.0), 0.0)
        holder.try_open(no_departures=True, now=0.0)
    return holders


def copy(message):
    """Return the message as it arrives at another process."""
    return decode(encode(message), type(message)).unwrap()


def claim(holders, number):
    """Claim one key at both holders; return the attempt and who granted it."""
    key, attempt = number.to_bytes(16, "big"), Attempt(1, number)
    view = holders[1].view
    claimant = Claimant(key, bytes(16), attempt, view, 10.0, 0.0)
    step = claimant.start()
    while not isinstance(step, ClaimResult):
        assert isinstance(step, SendClaim)
        reply = holders[step.replica].claim(copy(step.claim), 0.0)
        step = claimant.handle_reply(reply, 0.0)
    return key, attempt, claimant.contacted_replicas


def measure(with_answer):
    """Return bytes a record on one holder, and seconds a key for claim and outcome."""
    holders = open_holders()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(KEYS):
        key, attempt, contacted = claim(holders, number)
        if with_answer:
            body = number.to_bytes(BODY, "big")
            answer = StoredResponse(200, "OK", HEADERS, body)
            settle = Settle(key, attempt, bytes(16), RecordState.DONE, answer)
            for holder in contacted:
                holders[holder].settle(copy(settle), 0.0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    records = sum(len(holder.ledger) for holder in holders.values())
    charged = sum(holder.ledger.used_bytes for holder in holders.values())
    return (after - before) / records, charged / records


def time_claims():
    """Return the seconds a key takes for both claims and both outcomes."""
    holders = open_holders()
    began = time.perf_counter()
    for number in range(KEYS):
        key, attempt, contacted = claim(holders, number)
        answer = StoredResponse(200, "OK", HEADERS, bytes(BODY))
        settle = Settle(key, attempt, bytes(16), RecordState.DONE, answer)
        for holder in contacted:
            holders[holder].settle(copy(settle), 0.0)
    return (time.perf_counter() - began) / KEYS


def main():
    """Run the measurement."""
    claimed, charged_claimed = measure(with_answer=False)
    done, charged_done = measure(with_answer=True)
    figures = {
        "keys": KEYS,
        "bytes_a_record_claimed": round(claimed),
        "bytes_a_record_done": round(done),
        "answer_body_bytes": BODY,
        "charged_claimed": round(charged_claimed),
        "charged_done": round(charged_done),
        "microseconds_a_key": round(time_claims() * 1e6, 1),
    }
    print(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
