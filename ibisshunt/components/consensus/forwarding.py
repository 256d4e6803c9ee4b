"""Forward proposals to the leader."""

from returns.result import Failure, Result

from ...coordination.consensus import OutcomeUnknown
from ...exceptions import Fault, RpcError
from ...model.address import Address
from ...protocol.channel import RpcChannel
from ...protocol.consensus import FORWARD, ForwardRequest
from .links import ChannelFactory

# Added to the timeout of a forwarded proposal for the network round trip.
FORWARD_MARGIN_SECONDS = 0.5


class ProposalForwarder:
    """Forward proposals over one connection to each host that has been leader."""

    def __init__(self, make_channel: ChannelFactory) -> None:
        self._make_channel = make_channel
        self._channels: dict[Address, RpcChannel] = {}

    def forward(
        self, address: Address, command: bytes, timeout: float
    ) -> Result[bytes, Fault]:
        """Return the leader's reply; a failed call leaves the outcome unknown."""
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
