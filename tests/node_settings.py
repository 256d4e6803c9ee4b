"""Settings of nodes in tests."""

from msgspec.structs import replace

from ibisshunt.model.address import Address
from ibisshunt.model.node import NodeSettings

NOWHERE = Address("127.0.0.1", 0)
SETTINGS = NodeSettings(
    name="n",
    address="127.0.0.1",
    failure_domain="a",
    inner=NOWHERE,
    inner_calls=NOWHERE,
    seeds=(),
    is_first_start=False,
    losses=0,
    heartbeat=1.0,
    max_flow=60.0,
    packets=NOWHERE,
)


def make_settings(**changes):
    """Return the settings of a node that listens where nobody is."""
    return replace(SETTINGS, **changes)
