"""Build model values for tests."""

from types import MappingProxyType

from ibisshunt.model.address import Address
from ibisshunt.model.configuration import Configuration, ServiceSlice
from ibisshunt.model.flow import Protocol
from ibisshunt.model.record import Service
from ibisshunt.model.target import Announcement, Target, TargetState

UNUSED_ADDRESS = Address("127.0.0.1", 9)


# Record documents in version 1 of the schema.
BUSINESS_DOCUMENT = {"kind": "business", "schema": 1, "name": "marea"}
SERVICE_DOCUMENT = {
    "kind": "service",
    "schema": 1,
    "business": "marea",
    "name": "booking",
    "address": "127.1.0.1",
    "port": 8080,
    "protocol": "tcp",
    "callers": ["127.0.0.0/8"],
}


def make_service(number=1, name="booking", **changes):
    fields = {
        "business": "marea",
        "name": name,
        "address": "127.1.0.1",
        "port": 8080,
        "protocol": Protocol.TCP,
        "callers": ("127.0.0.0/8",),
        "number": number,
    }
    return Service(**{**fields, **changes})


def make_target(
    number=1,
    service="booking",
    domain="moin-a",
    state=TargetState.READY,
    warm_deadline=0.0,
    incarnation=None,
    **addresses,
):
    announcement = Announcement(
        business="marea",
        service=service,
        name=f"{service}-{number}",
        session=f"s{number}",
        host=f"host-{number}",
        failure_domain=domain,
        packets=addresses.get("packets", UNUSED_ADDRESS),
        streams=addresses.get("streams", UNUSED_ADDRESS),
        tunnel=addresses.get("tunnel", UNUSED_ADDRESS),
        weight=addresses.get("weight", 100),
    )
    return Target(announcement, incarnation or number, state, warm_deadline)


def make_configuration(*service_slices, revision=1):
    slices = MappingProxyType({slice_.number: slice_ for slice_ in service_slices})
    return Configuration(revision, slices)


def make_slice(service, *targets, revision=1):
    return ServiceSlice(service, tuple(targets), revision)
