"""Change and show records from the command line."""

import difflib
import json
import sys
import time
import uuid
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import click
import gevent
import json5

from ..const import EXIT_BAD_INPUT, EXIT_FAILURE, IN_FORCE_SECONDS
from ..coordination.distribution.progress import RolloutProgress, evaluate_rollout
from ..coordination.records.history import HistoryEntry
from ..protocol.codec import to_json_value
from ..protocol.messages import (
    APPLY,
    LIST,
    STATUS,
    ApplyReply,
    ApplyRequest,
    ListedRecord,
    ListReply,
    ListRequest,
    StatusReply,
    StatusRequest,
)
from ..protocol.records import HISTORY, HistoryReply, HistoryRequest
from .client import call_control

POLL_INTERVAL_SECONDS: Final = 0.2
WAIT_OPTION = click.option(
    "--wait", is_flag=True, help="Return when the change is in force on every node."
)
TIMEOUT_OPTION = click.option(
    "--timeout",
    default=IN_FORCE_SECONDS,
    show_default=True,
    type=click.FloatRange(0),
    help="How many seconds --wait waits.",
)


def send_request(context: click.Context, method: Any, request: Any) -> Any:
    """Return the reply of a control host; exit with 1 if none answers."""
    return call_control(context.obj["addresses"], method, request, context.obj["tls"])


def read_documents(path: Path) -> tuple[str, ...]:
    """Return one JSON text per record; exit with 2 if the file cannot be read."""
    try:
        parsed = json5.loads(path.read_text())
    except (OSError, ValueError) as error:
        click.echo(f"read records with {path}: {error}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    documents = parsed if isinstance(parsed, list) else [parsed]
    return tuple(json.dumps(document) for document in documents)


def apply_documents(
    context: click.Context, documents: tuple[str, ...], operation: str = ""
) -> int:
    """Apply the documents and print the outcomes; return the revision.

    ``operation`` is the id of the operation to retry, empty for a new operation.
    """
    operation = operation or uuid.uuid4().hex
    request = ApplyRequest(operation, documents, context.obj["token"])
    try:
        reply: ApplyReply = send_request(context, APPLY, request)
    except SystemExit:
        # The change may have been accepted although no reply was received. A retry with
        # the same operation id is not applied twice.
        click.echo(f"to send it again: --operation {operation}", err=True)
        raise
    for outcome in reply.outcomes:
        state = f"refused: {outcome.error}" if outcome.error else "accepted"
        click.echo(f"{outcome.name} revision={outcome.revision} {state}")
    if any(outcome.error for outcome in reply.outcomes):
        sys.exit(EXIT_FAILURE)
    return reply.revision


def wait_until_active(context: click.Context, revision: int, timeout: float) -> None:
    """Wait until every node has the revision.

    After ``timeout`` seconds, print the nodes that lag and exit with 1.
    """
    deadline = time.monotonic() + timeout
    while True:
        status: StatusReply = send_request(context, STATUS, StatusRequest())
        progress = evaluate_rollout(status.nodes, revision)
        if progress.is_complete and not status.unreachable:
            click.echo(
                f"revision {revision} in force on {len(progress.up_to_date)} nodes"
            )
            return
        if time.monotonic() >= deadline:
            break
        gevent.sleep(POLL_INTERVAL_SECONDS)
    for line in describe_lagging_nodes(progress, status.unreachable):
        click.echo(line, err=True)
    click.echo(f"revision {revision} not in force everywhere", err=True)
    sys.exit(EXIT_FAILURE)


def describe_lagging_nodes(
    progress: RolloutProgress, unreachable: tuple[str, ...]
) -> Iterator[str]:
    """Yield a line for each lagging node and each unreachable control host."""
    for node in progress.lagging:
        yield f"node {node} lags"
    for node in progress.silent:
        yield f"node {node} is silent and had an older revision"
    for host in unreachable:
        yield f"control host {host} does not answer: its nodes are not known"


@click.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--operation", default="", help="The id of an operation to send again.")
@WAIT_OPTION
@TIMEOUT_OPTION
@click.pass_context
def apply(
    context: click.Context, path: Path, operation: str, wait: bool, timeout: float
) -> None:
    """Apply the records in a JSON file, all or none."""
    revision = apply_documents(context, read_documents(path), operation)
    if wait:
        wait_until_active(context, revision, timeout)


@click.command()
@click.argument("business")
@click.argument("service")
@click.argument("target")
@click.option("--undo", is_flag=True, help="Let the target take new work again.")
@WAIT_OPTION
@TIMEOUT_OPTION
@click.pass_context
def drain(
    context: click.Context,
    business: str,
    service: str,
    target: str,
    undo: bool,
    wait: bool,
    timeout: float,
) -> None:
    """Drain a target: it gets no new work, and running work continues."""
    document: dict[str, Any] = {
        "kind": "drain",
        "schema": 1,
        "business": business,
        "service": service,
        "target": target,
    }
    if undo:
        document["delete"] = True
    revision = apply_documents(context, (json.dumps(document),))
    if wait:
        wait_until_active(context, revision, timeout)


@click.command()
@click.argument("domain")
@click.option("--start/--end", "starts", default=None, help="Drain it, or end that.")
@WAIT_OPTION
@TIMEOUT_OPTION
@click.pass_context
def evacuate(
    context: click.Context,
    domain: str,
    starts: bool | None,
    wait: bool,
    timeout: float,
) -> None:
    """Drain a failure domain: its targets get no new work, running work continues."""
    if starts is None:
        raise click.UsageError("found neither --start nor --end, expected one of them")
    document: dict[str, Any] = {"kind": "evacuation", "schema": 1, "name": domain}
    if not starts:
        document["delete"] = True
    revision = apply_documents(context, (json.dumps(document),))
    if wait:
        wait_until_active(context, revision, timeout)


@click.command(name="list")
@click.argument("business", default="")
@click.pass_context
def list_records(context: click.Context, business: str) -> None:
    """List the records of a business, or of all."""
    reply: ListReply = send_request(context, LIST, ListRequest(business))
    for record in reply.records:
        click.echo(
            f"{record.kind} {record.business}/{record.name} "
            f"schema={record.schema_version} revision={record.revision}"
        )


@click.command()
@click.argument("kind")
@click.argument("business")
@click.argument("name")
@click.pass_context
def get(context: click.Context, kind: str, business: str, name: str) -> None:
    """Print one record as JSON."""
    reply: ListReply = send_request(context, LIST, ListRequest(business))
    for record in reply.records:
        if (record.kind, record.name) == (kind, name):
            click.echo(json.dumps(to_json_value(record), indent=1))
            return
    click.echo(f"no {kind} {business}/{name}", err=True)
    sys.exit(EXIT_FAILURE)


@click.command()
@click.argument("business", default="")
@click.pass_context
def history(context: click.Context, business: str) -> None:
    """List the latest changes of a business, or of all."""
    reply: HistoryReply = send_request(context, HISTORY, HistoryRequest(business))
    for entry in reply.entries:
        changed_at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(entry.time))
        click.echo(
            f"revision={entry.revision} {changed_at} {describe_action(entry)} "
            f"{entry.kind} {entry.business}/{entry.name} by {entry.actor}"
        )


@click.command()
@click.argument("path", type=click.Path(path_type=Path), required=False)
@click.option("--business", default="", help="Show the changes of this business.")
@click.option("--since", default=0, help="Show what changed after this revision.")
@click.pass_context
def diff(context: click.Context, path: Path | None, business: str, since: int) -> None:
    """Show what a file would change, or what changed after a revision."""
    lines = diff_file(context, path) if path else diff_history(context, business, since)
    for line in lines:
        click.echo(line)


def describe_action(entry: HistoryEntry) -> str:
    """Return whether the record was created, changed or deleted."""
    if not entry.before:
        return "created"
    return "changed" if entry.after else "deleted"


def diff_history(context: click.Context, business: str, since: int) -> Iterator[str]:
    """Yield a unified diff of each change after a revision."""
    reply: HistoryReply = send_request(context, HISTORY, HistoryRequest(business))
    for entry in reply.entries:
        if entry.revision <= since:
            continue
        name = f"{entry.kind} {entry.business}/{entry.name}"
        label = f"{name} revision={entry.revision}"
        yield from diff_documents(entry.before, entry.after, name, label)


def diff_file(context: click.Context, path: Path) -> Iterator[str]:
    """Yield a unified diff from the current records to those of the file."""
    reply: ListReply = send_request(context, LIST, ListRequest())
    current = {
        (listed.kind, listed.business, listed.name): listed for listed in reply.records
    }
    for text in read_documents(path):
        document = json.loads(text)
        key = get_record_key(document)
        record: ListedRecord | None = current.get(key)
        name = "{} {}/{}".format(*key)
        before = record.document if record else ""
        after = "" if document.get("delete") else text
        yield from diff_documents(before, after, name, f"{name} {path}")


def get_record_key(document: dict[str, Any]) -> tuple[str, str, str]:
    """Return kind, business and name of the record that a document describes."""
    kind, name = document.get("kind", ""), document.get("name", "")
    if kind == "evacuation":
        return (kind, "", name)
    if kind == "drain" and not name:
        name = f"{document.get('service')}.{document.get('target')}"
    return (kind, document.get("business", name), name)


def diff_documents(
    before: str, after: str, old_label: str, new_label: str
) -> Iterator[str]:
    """Yield a unified diff of two JSON texts, key by key."""
    yield from difflib.unified_diff(
        format_document(before),
        format_document(after),
        old_label,
        new_label,
        lineterm="",
    )


def format_document(document: str) -> list[str]:
    """Return a document's lines in canonical layout, so that only values differ."""
    if not document:
        return []
    parsed = json.loads(document)
    parsed.pop("expected_revision", None)
    return json.dumps(parsed, indent=1, sort_keys=True).splitlines()


COMMANDS: Final = (apply, drain, evacuate, list_records, get, history, diff)
