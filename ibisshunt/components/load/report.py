"""Render the result of a load as text and as a plot."""

import sys
from typing import Any, Final

from .generator import LoadPlan, LoadResult

PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9, 100.0)
PLOT_STEPS: Final = 200


def render_report(plan: LoadPlan, result: LoadResult) -> str:
    """Return the report as lines of text; latencies in milliseconds."""
    total = sum(result.outcomes.values())
    lines = [
        f"offered {plan.rate:g}/s, sent {total} in {result.seconds:.1f} s, "
        f"skipped {result.skipped}",
        "outcome        count  share "
        + " ".join(
            f"{_format_percentile(percentile):>9}" for percentile in PERCENTILES
        ),
    ]
    for outcome, count in result.outcomes.most_common():
        latencies = result.latencies[outcome]
        values = [
            latencies.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        ]
        cells = " ".join(f"{value:9.1f}" for value in values)
        lines.append(f"{outcome:<12} {count:>7} {count / total:6.1%} {cells}")
    if result.skipped:
        lines.append("skipped: too many requests were in flight; lower the rate")
    return "\n".join(lines)


def render_plot(plan: LoadPlan, result: LoadResult) -> bytes:
    """Return an SVG plot of latency by percentile, one line per outcome."""
    chart = _import_pygal().XY(
        title=f"Latency at {plan.rate:g} requests/s",
        x_title="share of requests in %",
        y_title="milliseconds",
        dots_size=1,
        js=(),
    )
    for outcome, latencies in sorted(result.latencies.items()):
        points = [
            (percentile, latencies.get_value_at_percentile(percentile) / 1000)
            for percentile in (
                100.0 * step / PLOT_STEPS for step in range(PLOT_STEPS + 1)
            )
        ]
        chart.add(outcome, points)
    return chart.render()


def _format_percentile(percentile: float) -> str:
    return "max" if percentile == 100.0 else f"p{percentile:g}/ms"


def _import_pygal() -> Any:
    """Import the plot library and remove the importer that it adds to sys.meta_path.

    The importer lacks ``find_spec``: code that afterwards asks all importers for a
    module, as pytest does, fails with an AttributeError.
    """
    importers = list(sys.meta_path)
    import pygal

    sys.meta_path[:] = importers
    return pygal
