"""Turn the JSON text of a record into a checked, typed change."""

import json
from typing import Any, Final

import voluptuous as vol
from returns.result import Failure, Result, Success

from ...exceptions import Fault
from ...model.record import Business, Evacuation, RecordBody, RecordKind
from ...protocol.codec import encode
from .commands import RecordChange
from .schema import ENVELOPE, FORMS, NAME, SCHEMA_VERSIONS, name_drain

STEP: Final = "check record"
MAX_DOCUMENT_CHARACTERS: Final = 64 * 1024
DELETION = vol.Schema(
    {
        **ENVELOPE,
        vol.Required("delete"): True,
        vol.Optional("business"): NAME,
        vol.Optional("name"): NAME,
        vol.Optional("service"): NAME,
        vol.Optional("target"): NAME,
    }
)


def parse_document(text: str) -> Result[RecordChange, Fault]:
    """Check one document; fail with the key, what was found and what is expected."""
    try:
        return Success(_parse(text))
    except vol.Invalid as error:
        return Failure(_explain(text, error))


def _parse(text: str) -> RecordChange:
    found = _load(text)
    kind = _read_kind(found)
    version = _read_version(found)
    if "delete" in found:
        return _build_deletion(kind, version, found, text)
    schema, build = FORMS[kind, version]
    checked = schema(found)
    body = build(checked)
    return RecordChange(
        kind=kind,
        business=_find_business(body),
        name=body.name,
        schema_version=version,
        document=text,
        body=encode(body),
        expected_revision=checked.get("expected_revision"),
    )


def _load(text: str) -> dict[str, Any]:
    if len(text) > MAX_DOCUMENT_CHARACTERS:
        raise vol.Invalid(f"expected at most {MAX_DOCUMENT_CHARACTERS} characters")
    try:
        found = json.loads(text, object_pairs_hook=_refuse_doubles)
    except (ValueError, RecursionError) as error:
        raise vol.Invalid(f"not JSON: {error}") from error
    if not isinstance(found, dict):
        raise vol.Invalid("expected one JSON object")
    return found


def _refuse_doubles(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) != len(pairs):
        raise ValueError("a key stands twice in one object")
    return found


def _read_kind(found: dict[str, Any]) -> RecordKind:
    kinds = [kind.value for kind in RecordKind]
    if found.get("kind") not in kinds:
        raise vol.Invalid(f"expected one of {', '.join(kinds)}", path=["kind"])
    return RecordKind(found["kind"])


def _read_version(found: dict[str, Any]) -> int:
    version = found.get("schema")
    # A newer version may hold fields whose loss changes who is reached: refusing it
    # whole is the only reading that cannot misroute.
    if isinstance(version, bool) or version not in SCHEMA_VERSIONS:
        known = ", ".join(str(number) for number in SCHEMA_VERSIONS)
        raise vol.Invalid(f"expected a known version, one of {known}", path=["schema"])
    return version


def _build_deletion(
    kind: RecordKind, version: int, found: dict[str, Any], text: str
) -> RecordChange:
    if found["delete"] is not True:
        raise vol.Invalid("expected true or no such key", path=["delete"])
    checked = DELETION(found)
    name = checked.get("name")
    if kind == RecordKind.DRAIN and name is None:
        name = name_drain(_require(checked, "service"), _require(checked, "target"))
    if name is None:
        name = _require(checked, "name")
    return RecordChange(
        kind=kind,
        business=_find_owner(kind, name, checked),
        name=name,
        schema_version=version,
        document=text,
        body=b"",
        expected_revision=checked.get("expected_revision"),
    )


def _find_owner(kind: RecordKind, name: str, found: dict[str, Any]) -> str:
    """Return the business of a record; a failure domain belongs to none."""
    if kind == RecordKind.BUSINESS:
        return name
    return "" if kind == RecordKind.EVACUATION else _require(found, "business")


def _require(found: dict[str, Any], key: str) -> str:
    if key not in found:
        raise vol.Invalid("required key not provided", path=[key])
    return found[key]


def _find_business(body: RecordBody) -> str:
    if isinstance(body, Evacuation):
        return ""
    return body.name if isinstance(body, Business) else body.business


def _explain(text: str, error: vol.Invalid) -> Fault:
    first = error.errors[0] if isinstance(error, vol.MultipleInvalid) else error
    if not first.path:
        return Fault(STEP, "", first.msg)
    key = ".".join(str(part) for part in first.path)
    value = _look_up(json.loads(text), first.path)
    return Fault(STEP, "", f"key {key}: found {value}, {first.msg}")


def _look_up(found: Any, path: list[Any]) -> str:
    for part in path:
        try:
            found = found[getattr(part, "schema", part)]
        except (KeyError, IndexError, TypeError):
            return "nothing"
    return repr(found)
