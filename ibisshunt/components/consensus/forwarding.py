"""Pass proposals on to the leader."""

from returns.result import Failure, Result

from ...coordination.consensus import OutcomeUnknown
from ...exceptions import Fault, RpcError
from ...model.address import Address
from ...protocol.caller import Caller
from ...protocol.consensus import FORWARD, ForwardRequest
from .links import MakeChannel

# What a forwarded proposal gets on top for the way there and back.
FORWARD_MARGIN_SECONDS = 0.5


class Forwarder:
    """Own one connection for proposals to each host that has led."""

    def __init__(self, make_channel: MakeChannel) -> None:
        self._make_channel = make_channel
        self._channels: dict[Address, Caller] = {}

    def forward(
        self, address: Address, command: bytes, timeout: float
    ) -> Result[bytes, Fault]:
        """Return what the leader answers; a call that breaks leaves it unknown."""
        if address not in self._channels:
            self._channels[address] = self._make_channel(address)
        request = ForwardRequest(command, timeout)
        try:
            reply = self._channels[address].call(
                FORWARD, request, timeout + FORWARD_MARGIN_SECONDS
            )
        except RpcError as error:
            reason = error.fault.reason
            return Failure(OutcomeUnknown("forward proposal", str(address), reason))
        return reply.to_result(str(address))

    def close(self) -> None:
        """Close the connections."""
        for channel in self._channels.values():
            channel.close()
