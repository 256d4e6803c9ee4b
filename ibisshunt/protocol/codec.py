"""Turn frozen data classes into bytes and back."""

from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from ..exceptions import Fault

ValueT = TypeVar("ValueT")

_ENCODER = msgspec.msgpack.Encoder()


def encode(value: Any) -> bytes:
    """Return the MessagePack form of a data class."""
    return _ENCODER.encode(value)


def decode(data: bytes, kind: type[ValueT]) -> Result[ValueT, Fault]:
    """Read a data class; fail with the field that does not fit."""
    try:
        return Success(msgspec.msgpack.decode(data, type=kind))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Failure(Fault("decode message", "", f"{kind.__name__}: {error}"))


def to_plain(value: Any) -> Any:
    """Return a form of the value that JSON can hold."""
    return msgspec.to_builtins(value, str_keys=True)
