from ibisshunt.helpers.metrics import Metrics, Sample, SampleKind


def test_counters_gauges_and_samples_are_rendered():
    metrics = Metrics()
    metrics.add("ibisshunt_things_total", 2, kind="a")
    metrics.add("ibisshunt_things_total", 1, kind="a")
    metrics.set("ibisshunt_level", 7)
    metrics.collect(lambda: [Sample("ibisshunt_hot_total", SampleKind.COUNTER, {}, 9)])
    body, _ = metrics.render()
    text = body.decode()
    assert 'ibisshunt_things_total{kind="a"} 3' in text
    assert "ibisshunt_level 7" in text
    assert "ibisshunt_hot_total 9" in text
