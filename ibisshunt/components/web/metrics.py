"""Serve the metrics page of a thin host."""

from collections.abc import Callable, Iterable

from ...helpers.samples import Sample
from . import Handle, WebReply, WebRequest

METRICS_PATH = "/metrics"
TEXT_KIND = "text/plain; version=0.0.4; charset=utf-8"


def answer_metrics(collect: Callable[[], Iterable[Sample]]) -> Handle:
    """Return the handler of the metrics page."""

    def handle(request: WebRequest) -> WebReply:
        if request.path != METRICS_PATH:
            return WebReply("404 Not Found")
        # Here: the library costs a thin host 30 ms and 8 MB that it pays only when
        # somebody looks.
        from ...helpers.metrics import Metrics

        metrics = Metrics()
        metrics.collect(collect)
        body, _ = metrics.render()
        return WebReply("200 OK", body, TEXT_KIND)

    return handle
