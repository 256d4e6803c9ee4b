"""Parse the JSON document of a record into a validated, typed change."""

import json
from typing import Any, Final

import voluptuous as vol
from returns.result import Failure, Result, Success

from ...exceptions import Fault
from ...model.record import Business, Evacuation, RecordBody, RecordKind
from ...protocol.codec import encode
from .commands import RecordChange
from .schema import (
    COMMON_KEYS,
    DOCUMENT_SCHEMAS,
    NAME,
    SCHEMA_VERSIONS,
    make_drain_name,
)

STEP: Final = "check record"
MAX_DOCUMENT_CHARACTERS: Final = 64 * 1024
DELETION_SCHEMA = vol.Schema(
    {
        **COMMON_KEYS,
        vol.Required("delete"): True,
        vol.Optional("business"): NAME,
        vol.Optional("name"): NAME,
        vol.Optional("service"): NAME,
        vol.Optional("target"): NAME,
    }
)


def parse_document(text: str) -> Result[RecordChange, Fault]:
    """Parse and validate a document.

    A fault names the key, what was found and what is expected.
    """
    try:
        return Success(_parse(text))
    except vol.Invalid as error:
        return Failure(_make_fault(text, error))


def _parse(text: str) -> RecordChange:
    document = _load_json(text)
    kind = _read_kind(document)
    version = _read_version(document)
    if "delete" in document:
        return _build_deletion(kind, version, document, text)
    schema, build = DOCUMENT_SCHEMAS[kind, version]
    checked = schema(document)
    body = build(checked)
    return RecordChange(
        kind=kind,
        business=_get_business(body),
        name=body.name,
        schema_version=version,
        document=text,
        body=encode(body),
        expected_revision=checked.get("expected_revision"),
    )


def _load_json(text: str) -> dict[str, Any]:
    if len(text) > MAX_DOCUMENT_CHARACTERS:
        raise vol.Invalid(f"expected at most {MAX_DOCUMENT_CHARACTERS} characters")
    try:
        document = json.loads(text, object_pairs_hook=_reject_duplicate_keys)
    except (ValueError, RecursionError) as error:
        raise vol.Invalid(f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise vol.Invalid("expected one JSON object")
    return document


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members = dict(pairs)
    if len(members) != len(pairs):
        raise ValueError("a key stands twice in one object")
    return members


def _read_kind(document: dict[str, Any]) -> RecordKind:
    kinds = [kind.value for kind in RecordKind]
    if document.get("kind") not in kinds:
        raise vol.Invalid(f"expected one of {', '.join(kinds)}", path=["kind"])
    return RecordKind(document["kind"])


def _read_version(document: dict[str, Any]) -> int:
    version = document.get("schema")
    # Ignoring unknown fields of a newer version could change who is reached, so
    # reject the whole document rather than misroute.
    if isinstance(version, bool) or version not in SCHEMA_VERSIONS:
        known = ", ".join(str(number) for number in SCHEMA_VERSIONS)
        raise vol.Invalid(f"expected a known version, one of {known}", path=["schema"])
    return version


def _build_deletion(
    kind: RecordKind, version: int, document: dict[str, Any], text: str
) -> RecordChange:
    if document["delete"] is not True:
        raise vol.Invalid("expected true or no such key", path=["delete"])
    checked = DELETION_SCHEMA(document)
    name = checked.get("name")
    if kind == RecordKind.DRAIN and name is None:
        name = make_drain_name(
            _require(checked, "service"), _require(checked, "target")
        )
    if name is None:
        name = _require(checked, "name")
    return RecordChange(
        kind=kind,
        business=_get_owner(kind, name, checked),
        name=name,
        schema_version=version,
        document=text,
        body=b"",
        expected_revision=checked.get("expected_revision"),
    )


def _get_owner(kind: RecordKind, name: str, document: dict[str, Any]) -> str:
    """Return the business that owns a record; no business owns an evacuation."""
    if kind == RecordKind.BUSINESS:
        return name
    return "" if kind == RecordKind.EVACUATION else _require(document, "business")


def _require(document: dict[str, Any], key: str) -> str:
    if key not in document:
        raise vol.Invalid("required key not provided", path=[key])
    return document[key]


def _get_business(body: RecordBody) -> str:
    if isinstance(body, Evacuation):
        return ""
    return body.name if isinstance(body, Business) else body.business


def _make_fault(text: str, error: vol.Invalid) -> Fault:
    first = error.errors[0] if isinstance(error, vol.MultipleInvalid) else error
    if not first.path:
        return Fault(STEP, "", first.msg)
    key = ".".join(str(part) for part in first.path)
    value = _show_value(json.loads(text), first.path)
    return Fault(STEP, "", f"key {key}: found {value}, {first.msg}")


def _show_value(document: Any, path: list[Any]) -> str:
    for part in path:
        try:
            document = document[getattr(part, "schema", part)]
        except (KeyError, IndexError, TypeError):
            return "nothing"
    return repr(document)
