"""Serve the metrics page on a host with little CPU and memory."""

from collections.abc import Callable, Iterable

from ...helpers.samples import Sample
from . import RequestHandler, WebReply, WebRequest

METRICS_PATH = "/metrics"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def make_metrics_handler(collect: Callable[[], Iterable[Sample]]) -> RequestHandler:
    """Return the handler of the metrics page."""

    def handle(request: WebRequest) -> WebReply:
        if request.path != METRICS_PATH:
            return WebReply("404 Not Found")
        # Imported on the first request: the library costs a small host 30 ms and 8 MB,
        # needed only when the page is scraped.
        from ...helpers.metrics import Metrics

        metrics = Metrics()
        metrics.collect(collect)
        body, _ = metrics.render()
        return WebReply("200 OK", body, METRICS_CONTENT_TYPE)

    return handle
