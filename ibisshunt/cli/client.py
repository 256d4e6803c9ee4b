"""Call control hosts from the command line."""

import sys
from typing import Any

import click

from ..const import EXIT_BAD_INPUT, EXIT_FAILURE
from ..exceptions import RpcError
from ..helpers.tls import make_channel_credentials
from ..model.address import Address, parse_address
from ..protocol.method import Method
from ..protocol.rpc import Channel
from ..settings import TlsSettings


def parse_addresses(texts: tuple[str, ...]) -> tuple[Address, ...]:
    """Parse the addresses of the control hosts; exit with 2 if one is malformed."""
    addresses = []
    for text in texts:
        result = parse_address(text)
        if fault := result.swap().value_or(None):
            click.echo(f"--control: {fault}", err=True)
            sys.exit(EXIT_BAD_INPUT)
        addresses.append(result.unwrap())
    return tuple(addresses)


def call_control(
    addresses: tuple[Address, ...],
    method: Method,
    request: Any,
    tls: TlsSettings | None = None,
) -> Any:
    """Return the reply of the first host that answers; exit with 1 if none does.

    After an RPC error the same request is sent to the next host. A change has an
    operation id, so that a retry is not applied twice.
    """
    last_error: RpcError | None = None
    for address in addresses:
        channel = Channel(address, make_channel_credentials(tls))
        try:
            return channel.call(method, request)
        except RpcError as error:
            last_error = error
        finally:
            channel.close()
    click.echo(str(last_error), err=True)
    sys.exit(EXIT_FAILURE)
