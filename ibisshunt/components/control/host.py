"""Hold what the handlers of one control host share."""

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
from ...protocol.leader import name_leader
from ...settings import ControlSettings
from .log import Log
from .state import ControlState


@dataclass(frozen=True, slots=True)
class Host:
    """Hold the settings, the state and the log of one control host."""

    settings: ControlSettings
    state: ControlState
    log: Log

    def is_leader(self) -> bool:
        """Tell whether this host believes that it leads."""
        return self.log.is_leading()

    def find_leader(self) -> Address | None:
        """Return the address of the leader, or None when none is known."""
        return self.settings.rpc if self.is_leader() else self.log.leader_address()

    def propose(self, command: Command, kind: Any, context: Any) -> Any:
        """Return the typed outcome of a command; end the call when there is none."""
        reply = self.log.propose(encode_command(command), RPC_TIMEOUT_SECONDS)
        return decode(self.unwrap(reply, context), kind).unwrap()

    def pass_barrier(self, context: Any) -> None:
        """Go on once a quorum confirmed that this host holds all that was accepted."""
        self.unwrap(self.log.read_barrier(RPC_TIMEOUT_SECONDS), context)

    def unwrap(self, result: Result[Any, Fault], context: Any) -> Any:
        """Return the value, or end the call with an error that names the leader."""
        if fault := result.swap().value_or(None):
            warn_event("call_failed", step=fault.step, reason=fault.reason)
            named = name_leader(fault, self.find_leader())
            context.abort(_find_code(fault), str(named))
        return result.unwrap()

    def require_leader(self, context: Any) -> None:
        """End the call on a host that does not lead."""
        if self.is_leader():
            return
        fault = Fault("find leader", self.settings.name, "this host does not lead")
        named = name_leader(fault, self.find_leader())
        context.abort(grpc.StatusCode.FAILED_PRECONDITION, str(named))

    def is_admin(self, token: str) -> bool:
        """Tell whether the token is the administrator's, or none is asked for."""
        wanted = self.settings.admin_token_hash
        return not wanted or hash_token(token) == wanted


def _find_code(fault: Fault) -> grpc.StatusCode:
    """Return UNAVAILABLE for what has no effect, ABORTED when that is not known."""
    if isinstance(fault, OutcomeUnknown):
        return grpc.StatusCode.ABORTED
    return grpc.StatusCode.UNAVAILABLE


def hash_token(token: str) -> str:
    """Return the SHA-256 of a token in hexadecimal, "" for none."""
    return hashlib.sha256(token.encode()).hexdigest() if token else ""
