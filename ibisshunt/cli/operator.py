"""Run ``ibisshunt``, the operator's command."""

import json
import sys
from pathlib import Path
from typing import Any

import click
import urllib3

from .. import __version__
from ..components.load import load
from ..const import EXIT_FAILURE
from ..programs import set_up_standalone
from ..protocol.codec import to_json_value
from ..protocol.messages import (
    STATUS,
    StatusReply,
    StatusRequest,
)
from ..settings import AGENT, BALANCER, CONTROL, STANDALONE, TlsSettings
from .client import call_control, parse_addresses
from .process import make_command, read_settings_or_exit
from .records import COMMANDS

SETTINGS_VALIDATORS = {
    "balancer": BALANCER,
    "agent": AGENT,
    "control": CONTROL,
    "standalone": STANDALONE,
}


@click.group()
@click.version_option(__version__)
@click.option(
    "--control",
    "hosts",
    multiple=True,
    envvar="IBISSHUNT_CONTROL",
    default=("127.0.0.1:7301",),
    show_default=True,
    help="Address of a control host; may be given several times.",
)
@click.option("--token", envvar="IBISSHUNT_TOKEN", default="", help="Operator token.")
@click.option(
    "--tls",
    nargs=3,
    type=click.Path(),
    default=None,
    help="Certificate, key and authority: three PEM files.",
)
@click.pass_context
def main(context: click.Context, hosts: tuple[str, ...], token: str, tls: Any) -> None:
    """Operate an ibisshunt system."""
    context.obj = {
        "addresses": parse_addresses(hosts),
        "token": token,
        "tls": TlsSettings(*tls) if tls else None,
    }


def _send_request(context: click.Context, method: Any, request: Any) -> Any:
    return call_control(context.obj["addresses"], method, request, context.obj["tls"])


@main.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def status(context: click.Context, as_json: bool) -> None:
    """Show services, targets, flows and the revision active on each node."""
    reply: StatusReply = _send_request(context, STATUS, StatusRequest())
    if as_json:
        click.echo(json.dumps(to_json_value(reply), indent=1))
        return
    click.echo(f"revision {reply.revision} leader {reply.leader}")
    for host in reply.unreachable:
        click.echo(f"control host {host} UNREACHABLE: its nodes may be missing")
    for domain in reply.evacuated:
        click.echo(f"failure domain {domain} EVACUATED: its targets get no new work")
    for service in reply.services:
        click.echo(f"service {service}")
    for target in reply.targets:
        click.echo(
            f"target {target.service}/{target.target} {target.state} "
            f"incarnation={target.incarnation} flows={target.flows}"
        )
    for node in reply.nodes:
        lag = "" if node.revision >= reply.revision else " LAGS"
        click.echo(
            f"node {node.role} {node.node} revision={node.revision} "
            f"reported {node.age_seconds:.1f} s ago{lag}"
        )


@main.command()
@click.argument("admin")
def dump(admin: str) -> None:
    """Print the state of the process whose admin address is given, as JSON."""
    try:
        reply = urllib3.request("GET", f"http://{admin}/dump", timeout=5, retries=False)
    except urllib3.exceptions.HTTPError as error:
        click.echo(f"dump with {admin}: {error}", err=True)
        sys.exit(EXIT_FAILURE)
    click.echo(reply.data.decode())


@main.command()
@click.argument("kind", type=click.Choice(sorted(SETTINGS_VALIDATORS)))
@click.argument("path", type=click.Path(path_type=Path))
def check(kind: str, path: Path) -> None:
    """Check a settings file; exit with 2 and name the key when it is invalid."""
    read_settings_or_exit(path, SETTINGS_VALIDATORS[kind])
    click.echo(f"{path}: ok")


for command in (*COMMANDS, load):
    main.add_command(command)

main.add_command(
    make_command(
        "standalone",
        "Run control, balancers and agents in one process.",
        STANDALONE,
        set_up_standalone,
    )
)

if __name__ == "__main__":
    main()
