"""Send a limited load to a service and report outcomes and latencies."""

from .command import load
from .generator import LoadPlan, LoadResult, run_load
from .report import render_plot, render_report

__all__ = [
    "LoadPlan",
    "LoadResult",
    "load",
    "render_plot",
    "render_report",
    "run_load",
]
