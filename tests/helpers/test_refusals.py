from ibisshunt.helpers.refusals import LOG_INTERVAL_SECONDS, RefusalCounter


class FakeMetrics:
    def __init__(self):
        self.added = []

    def add(self, name, amount=1, **labels):
        self.added.append((amount, labels["reason"]))


def test_refusals_are_counted_once_and_logged_at_most_once_per_interval(caplog):
    caplog.set_level("WARNING")
    metrics = FakeMetrics()
    refusals = RefusalCounter("agent")
    now = 100.0
    for _ in range(5):
        for _ in range(1000):
            refusals.count("malformed")
        refusals.flush(metrics, now)
        now += 1.0
    assert metrics.added == [(1000, "malformed")] * 5
    assert len(caplog.records) == 1
    refusals.flush(metrics, 100.0 + LOG_INTERVAL_SECONDS)
    assert "count=4000" in caplog.records[1].getMessage()
    refusals.flush(metrics, 200.0)
    assert len(caplog.records) == 2
    assert refusals.totals["malformed"] == 5000
