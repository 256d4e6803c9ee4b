"""Share settings, state and log among the request handlers of a control host."""

import hashlib
from dataclasses import dataclass
from typing import Any

import grpc
from returns.result import Result

from ...const import RPC_TIMEOUT_SECONDS
from ...coordination.consensus import OutcomeUnknown
from ...coordination.records.commands import Command, encode_command
from ...exceptions import Fault
from ...helpers.logging import warn_event
from ...model.address import Address
from ...protocol.codec import decode
from ...protocol.leader import add_leader_hint
from ...settings import ControlSettings
from .log import Log
from .state import ControlState


@dataclass(frozen=True, slots=True)
class ControlHost:
    """Settings, state and replicated log of one control host."""

    settings: ControlSettings
    state: ControlState
    log: Log

    def is_leader(self) -> bool:
        """Return whether this host believes that it is the leader."""
        return self.log.is_leading()

    def find_leader(self) -> Address | None:
        """Return the RPC address of the leader, or None if none is known."""
        return self.settings.rpc if self.is_leader() else self.log.find_leader_address()

    def propose(self, command: Command, outcome_type: Any, context: Any) -> Any:
        """Return the decoded outcome of a command; abort the call on a fault."""
        reply = self.log.propose(encode_command(command), RPC_TIMEOUT_SECONDS)
        return decode(self.unwrap_or_abort(reply, context), outcome_type).unwrap()

    def wait_for_read_barrier(self, context: Any) -> None:
        """Return once local reads are linearizable; abort the call on a fault."""
        self.unwrap_or_abort(self.log.read_barrier(RPC_TIMEOUT_SECONDS), context)

    def unwrap_or_abort(self, result: Result[Any, Fault], context: Any) -> Any:
        """Return the value, or abort the call with an error that names the leader."""
        if fault := result.swap().value_or(None):
            warn_event("call_failed", step=fault.step, reason=fault.reason)
            fault_with_leader = add_leader_hint(fault, self.find_leader())
            context.abort(_get_status_code(fault), str(fault_with_leader))
        return result.unwrap()

    def require_leader(self, context: Any) -> None:
        """Abort the call if this host does not lead."""
        if self.is_leader():
            return
        fault = Fault("find leader", self.settings.name, "this host does not lead")
        fault_with_leader = add_leader_hint(fault, self.find_leader())
        context.abort(grpc.StatusCode.FAILED_PRECONDITION, str(fault_with_leader))

    def is_admin(self, token: str) -> bool:
        """Return whether the token is the administrator's or none is required."""
        expected_hash = self.settings.admin_token_hash
        return not expected_hash or hash_token(token) == expected_hash


def _get_status_code(fault: Fault) -> grpc.StatusCode:
    """Return ABORTED for an unknown outcome, UNAVAILABLE if there was no effect."""
    if isinstance(fault, OutcomeUnknown):
        return grpc.StatusCode.ABORTED
    return grpc.StatusCode.UNAVAILABLE


def hash_token(token: str) -> str:
    """Return the SHA-256 of a token in hexadecimal, "" for an empty token."""
    return hashlib.sha256(token.encode()).hexdigest() if token else ""
