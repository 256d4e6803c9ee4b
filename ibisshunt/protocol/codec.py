"""Encode data classes as MessagePack and decode them."""

from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from ..exceptions import Fault

ValueT = TypeVar("ValueT")

_ENCODER = msgspec.msgpack.Encoder()


def encode(value: Any) -> bytes:
    """Encode a data class as MessagePack."""
    return _ENCODER.encode(value)


def decode(data: bytes, kind: type[ValueT]) -> Result[ValueT, Fault]:
    """Decode MessagePack into ``kind``; the fault names the invalid field."""
    try:
        return Success(msgspec.msgpack.decode(data, type=kind))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Failure(Fault("decode message", "", f"{kind.__name__}: {error}"))


def to_json_value(value: Any) -> Any:
    """Convert a value to types that JSON can represent; keys become strings."""
    return msgspec.to_builtins(value, str_keys=True)
