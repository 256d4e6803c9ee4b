import json

import pytest

from ibisshunt.components.control import setup
from ibisshunt.core import Kernel
from ibisshunt.model.address import Address
from ibisshunt.model.target import Announcement
from ibisshunt.protocol.messages import (
    ANNOUNCE,
    APPLY,
    LIST,
    REPORT,
    STATUS,
    WATCH,
    AnnounceRequest,
    ApplyRequest,
    ListRequest,
    ReportRequest,
    StatusRequest,
    WatchRequest,
)
from ibisshunt.protocol.rpc import Channel
from ibisshunt.settings import ControlSettings

BUSINESS = json.dumps({"kind": "business", "schema": 1, "name": "marea"})
SERVICE = json.dumps(
    {
        "kind": "service",
        "schema": 1,
        "business": "marea",
        "name": "booking",
        "address": "127.1.0.1",
        "port": 8080,
        "protocol": "tcp",
        "callers": ["127.0.0.0/8"],
    }
)
LOOPBACK = Address("127.0.0.1", 0)
ANNOUNCEMENT = Announcement(
    "marea",
    "booking",
    "t1",
    "s1",
    "h1",
    "moin-a",
    packets=Address("127.0.0.1", 7101),
    streams=Address("127.0.0.1", 7102),
    tunnel=Address("127.0.0.1", 7103),
)


class Host:
    def __init__(self, folder):
        self.kernel = Kernel()
        settings = ControlSettings("c1", "moin-a", LOOPBACK, LOOPBACK, str(folder))
        self.control = setup(self.kernel, settings)
        self.channel = Channel(self.control.address)

    def apply(self, *documents, operation="o1"):
        return self.channel.call(APPLY, ApplyRequest(operation, documents))

    def stop(self):
        self.channel.close()
        self.kernel.stop()


@pytest.fixture
def host(tmp_path):
    host = Host(tmp_path)
    yield host
    host.stop()


def test_records_reach_a_watcher_and_last_through_a_restart(tmp_path):
    host = Host(tmp_path)
    updates = host.channel.stream(WATCH, WatchRequest("b1", 0))
    assert next(updates).revision == 0
    reply = host.apply(BUSINESS, SERVICE)
    assert [found.error for found in reply.outcomes] == ["", ""]
    update = next(updates)
    assert update.revision == reply.revision
    assert [found.service.name for found in update.changed] == ["booking"]
    updates.close()
    host.stop()
    again = Host(tmp_path)
    listed = again.channel.call(LIST, ListRequest("marea"))
    assert [found.document for found in listed.records] == [BUSINESS, SERVICE]
    again.stop()


def test_an_announced_target_is_told_to_watchers(host):
    host.apply(BUSINESS, SERVICE)
    first = host.channel.call(ANNOUNCE, AnnounceRequest(ANNOUNCEMENT, flows=3))
    again = host.channel.call(ANNOUNCE, AnnounceRequest(ANNOUNCEMENT, flows=5))
    assert first.incarnation == again.incarnation > 0
    update = next(host.channel.stream(WATCH, WatchRequest("b1", 0)))
    assert [found.name for found in update.changed[0].targets] == ["t1"]
    host.channel.call(REPORT, ReportRequest("b1", "balancer", update.revision))
    status = host.channel.call(STATUS, StatusRequest())
    assert [found.flows for found in status.targets] == [5]
    assert [found.revision for found in status.nodes] == [update.revision]


def test_a_malformed_record_leaves_the_others_of_the_request_out(host):
    reply = host.apply(BUSINESS, '{"kind":"service","schema":9}')
    assert "not applied" in reply.outcomes[0].error
    assert "key schema: found 9" in reply.outcomes[1].error
    assert host.channel.call(LIST, ListRequest()).records == ()
