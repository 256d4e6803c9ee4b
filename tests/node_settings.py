"""Node settings for tests."""

from msgspec.structs import replace

from ibisshunt.model.address import Address
from ibisshunt.model.node import NodeSettings

ANY_PORT = Address("127.0.0.1", 0)
SETTINGS = NodeSettings(
    name="n",
    address="127.0.0.1",
    failure_domain="a",
    internal_address=ANY_PORT,
    internal_rpc_address=ANY_PORT,
    seeds=(),
    may_bootstrap=False,
    fault_tolerance=0,
    heartbeat_seconds=1.0,
    max_flow_seconds=60.0,
    packets=ANY_PORT,
)


def make_settings(**changes):
    """Return the settings of a node on the loopback interface and free ports."""
    return replace(SETTINGS, **changes)
