"""Call control from the command line."""

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


def read_addresses(texts: tuple[str, ...]) -> tuple[Address, ...]:
    """Return the addresses of the control hosts; exit with 2 when one is wrong."""
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
    """Return the reply of the first control host that answers.

    The same request goes to the next host after a lost answer; a change carries its
    operation id, so that a resend is not applied twice.
    """
    error: RpcError | None = None
    for address in addresses:
        channel = Channel(address, make_channel_credentials(tls))
        try:
            return channel.call(method, request)
        except RpcError as caught:
            error = caught
        finally:
            channel.close()
    click.echo(str(error), err=True)
    sys.exit(EXIT_FAILURE)
