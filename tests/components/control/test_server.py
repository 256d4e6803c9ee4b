import json

import pytest
import trustme

from ibisshunt.components.control import setup
from ibisshunt.core import Kernel
from ibisshunt.exceptions import RpcError
from ibisshunt.helpers.tls import make_channel_credentials
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
from ibisshunt.protocol.records import HISTORY, HistoryRequest
from ibisshunt.protocol.rpc import Channel
from ibisshunt.settings import ControlSettings, TlsSettings
from tests.builders import BUSINESS_DOCUMENT, SERVICE_DOCUMENT

BUSINESS = json.dumps(BUSINESS_DOCUMENT)
SERVICE = json.dumps(SERVICE_DOCUMENT)
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


class ControlHost:
    def __init__(self, folder, **options):
        self.kernel = Kernel()
        settings = ControlSettings(
            "c1", "moin-a", LOOPBACK, LOOPBACK, str(folder), **options
        )
        self.control = setup(self.kernel, settings)
        self.channel = Channel(self.control.address)

    def apply(self, *documents, operation="o1"):
        return self.channel.call(APPLY, ApplyRequest(operation, documents))

    def stop(self):
        self.channel.close()
        self.kernel.stop()


@pytest.fixture
def host(tmp_path):
    host = ControlHost(tmp_path)
    yield host
    host.stop()


def test_records_reach_a_watcher_and_survive_a_restart(tmp_path):
    host = ControlHost(tmp_path)
    updates = host.channel.stream(WATCH, WatchRequest("b1", 0))
    assert next(updates).revision == 0
    reply = host.apply(BUSINESS, SERVICE)
    assert [found.error for found in reply.outcomes] == ["", ""]
    update = next(updates)
    assert update.revision == reply.revision
    assert [found.service.name for found in update.changed] == ["booking"]
    updates.close()
    host.stop()
    again = ControlHost(tmp_path)
    listed = again.channel.call(LIST, ListRequest("marea"))
    assert [found.document for found in listed.records] == [BUSINESS, SERVICE]
    again.stop()


def test_an_announced_target_is_sent_to_watchers(host):
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


def test_a_malformed_record_rejects_the_whole_request(host):
    reply = host.apply(BUSINESS, '{"kind":"service","schema":9}')
    assert "not applied" in reply.outcomes[0].error
    assert "key schema: found 9" in reply.outcomes[1].error
    assert host.channel.call(LIST, ListRequest()).records == ()


def test_with_tls_a_client_without_a_certificate_is_refused(tmp_path):
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    names = [str(tmp_path / name) for name in ("certificate", "key", "authority")]
    issued.cert_chain_pems[0].write_to_path(names[0])
    issued.private_key_pem.write_to_path(names[1])
    authority.cert_pem.write_to_path(names[2])
    tls = TlsSettings(*names)
    host = ControlHost(tmp_path / "data", tls=tls)
    with pytest.raises(RpcError):
        host.channel.call(STATUS, StatusRequest(), timeout=1.0)
    trusted = Channel(host.control.address, make_channel_credentials(tls))
    assert trusted.call(LIST, ListRequest()).records == ()
    trusted.close()
    host.stop()


def test_history_shows_who_changed_what(host):
    host.apply(BUSINESS, operation="a")
    host.apply(SERVICE, operation="b")
    entries = host.channel.call(HISTORY, HistoryRequest("marea")).entries
    assert [(entry.name, entry.before, entry.after) for entry in entries] == [
        ("marea", "", BUSINESS),
        ("booking", "", SERVICE),
    ]
    assert {entry.actor for entry in entries} == {"admin"}
