"""The reference pages list exactly what the code has."""

import ast
import dataclasses
import functools
import json
import re

import pytest

from ibisshunt import const, settings

from .pages import ROOT, read_rows

KINDS = {
    "control": settings.ControlSettings,
    "balancer": settings.BalancerSettings,
    "agent": settings.AgentSettings,
    "target": settings.TargetSettings,
    "tls": settings.TlsSettings,
    "standalone": settings.StandaloneSettings,
}
LOGGERS = ("log_event", "warn_event", "log_failure")
TELLERS = ("_log_event", "log_event")


@functools.cache
def parse_tree():
    """Return every syntax node of the package; they are told apart by their ids."""
    trees = [
        ast.parse(path.read_text())
        for path in sorted((ROOT / "ibisshunt").rglob("*.py"))
    ]
    return [node for tree in trees for node in ast.walk(tree)]


def is_logging(node):
    """Tell whether a node logs an event, by itself or through a decision's log."""
    if not isinstance(node, ast.Call):
        return False
    if isinstance(node.func, ast.Name):
        return node.func.id in LOGGERS
    return isinstance(node.func, ast.Attribute) and node.func.attr in TELLERS


def list_events():
    """Return the events that the code logs."""
    calls = [node for node in parse_tree() if is_logging(node)]
    for call in calls:
        assert isinstance(call.args[0], ast.Constant), ast.unparse(call)
    return {call.args[0].value for call in calls}


def list_metrics():
    """Return the metrics that the code names; ``*`` for what it fills in."""
    found, parts = set(), set()
    for node in parse_tree():
        if isinstance(node, ast.JoinedStr):
            parts |= {id(part) for part in node.values}
            found.add(
                "".join(
                    part.value if isinstance(part, ast.Constant) else "*"
                    for part in node.values
                )
            )
        elif isinstance(node, ast.Constant) and id(node) not in parts:
            found.add(node.value)
    return {name for name in found if str(name).startswith("ibisshunt_")}


def test_every_setting_is_on_the_page_with_its_default():
    rows = read_rows("settings.md")
    fields = {
        f"{kind}.{field.name}": field
        for kind, found in KINDS.items()
        for field in dataclasses.fields(found)
    }
    assert {name for name in rows if "." in name} == set(fields)
    for name, field in fields.items():
        told = rows[name][0]
        if field.default_factory is not dataclasses.MISSING or field.default is None:
            assert told.startswith("none"), name
        elif field.default is dataclasses.MISSING:
            assert told == "required", name
        elif field.default == "":
            assert told.startswith("empty"), name
        else:
            assert json.loads(told) == field.default, name


def test_every_constant_of_time_is_as_the_page_says():
    rows = read_rows("settings.md")
    for name in [name for name in rows if name.isupper()]:
        assert rows[name][0] == f"{getattr(const, name)} s"
    times = {name for name in vars(const) if name.endswith("_SECONDS")}
    assert times == {name for name in rows if name.isupper()}


def test_every_log_event_is_on_the_page():
    rows = read_rows("metrics-and-events.md")
    assert {name for name in rows if not name.startswith("ibisshunt_")} == list_events()


def test_every_metric_is_on_the_page():
    rows = read_rows("metrics-and-events.md")
    assert {name for name in rows if name.startswith("ibisshunt_")} == list_metrics()


def list_links():
    return [
        (page, link)
        for page in sorted((ROOT / "docs").rglob("*.md"))
        for link in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text())
    ]


@pytest.mark.parametrize(("page", "link"), list_links(), ids=str)
def test_links_between_pages_lead_somewhere(page, link):
    assert (page.parent / link).exists(), f"{page.name}: {link}"
