"""Make the tables of docs/CAPACITY.md from measured figures.

Run ``python -m measurements.capacity`` to write them between the page's markers, after
one of the commands that the page names has put a new file into measurements/results.
"""

import re
from collections.abc import Callable
from pathlib import Path

from .capacity_control import list_control_rows, list_operator_rows
from .capacity_days import list_data_rows, list_day_rows
from .capacity_forwarding import list_forwarding_rows
from .capacity_nodes import list_agent_rows, list_balancer_rows
from .capacity_rows import Row, Slope, list_slopes

PAGE = Path(__file__).resolve().parents[1] / "docs" / "CAPACITY.md"
MARKED = re.compile(r"(<!-- begin (\w+) -->\n).*?(<!-- end \2 -->)", re.S)


def show_slopes(slopes: list[Slope]) -> str:
    """Return the table of fitted lines."""
    lines = ["| what grows | with | sizes | at 0 | slope | spread | from |"]
    lines.append("|---|---|---|---|---|---|---|")
    lines += [
        f"| {one.what} | {one.grows_with} | {one.sizes} | {one.line.base:,.4g} "
        f"{one.unit} | {one.line.slope:,.4g} {one.unit} | {one.line.spread:.1%} "
        f"| `{one.source}` |"
        for one in slopes
    ]
    return "\n".join(lines) + "\n"


def show_rows(rows: list[Row]) -> str:
    """Return a table of lines with their limits."""
    lines = ["| line | worked out | value | limit | verdict | carried by |"]
    lines.append("|---|---|---|---|---|---|")
    lines += [
        f"| {row.what} | {row.arithmetic} | {row.show(row.value)} "
        f"| {row.show(row.limit)} | {row.verdict} | {row.mechanism} |"
        for row in rows
    ]
    return "\n".join(lines) + "\n"


TABLES: dict[str, Callable[[], str]] = {
    "slopes": lambda: show_slopes(list_slopes()),
    "balancer": lambda: show_rows(list_balancer_rows()),
    "agent": lambda: show_rows(list_agent_rows()),
    "control": lambda: show_rows(list_control_rows()),
    "operator": lambda: show_rows(list_operator_rows()),
    "forwarding": lambda: show_rows(list_forwarding_rows()),
    "days": lambda: show_rows(list_day_rows()),
    "data": lambda: show_rows(list_data_rows()),
}


def render(page: str) -> str:
    """Return the page with every table made anew."""
    return MARKED.sub(
        lambda match: match[1] + TABLES[match[2]]() + match[3],
        page,
    )


def main() -> None:
    """Write the tables into the page."""
    PAGE.write_text(render(PAGE.read_text()))


if __name__ == "__main__":
    main()
