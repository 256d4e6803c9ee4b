"""The command that attributes requests that were late or never served."""

from dataclasses import replace

import pytest

from measurements.unserved import (
    count_decisions,
    estimate_hopeless,
    find_dark,
    list_spans,
    main,
    plot_answers,
    read_lines,
)

LOG = """day  own/srv  score
   9.9000 front-a-1 I event=flow_placed flow=aa peer=10.0.2.1
  10.1000 front-a-1 I event=flow_reset flow=aa reason=held_by_nobody
  12.0000 front-a-1 I event=started program=balancer
  12.5000 front-a-1 I event=flow_placed flow=ab peer=10.0.2.1
  12.5500 side-a-1 I event=request_answered request=q flow=ab status=200
  12.6000 front-a-1 W event=target_deaf peer=10.0.2.2 silent_ms=500
"""
REPORT = {
    "windows": [
        {"name": "10", "n": 200, "late": 3, "failed": 90},
        {"name": "12", "n": 200, "late": 9, "failed": 10},
    ],
    "events": [
        {"kind": "closing (power_off_all)", "at_s": 10.0, "to_s": 20.0, "planned": 0}
    ],
    "classes": [{"name": "feed", "n": 300}, {"name": "swap", "n": 100}],
}
CLASSES = [
    {"name": "feed", "deadline_ms": 1000},
    {"name": "swap", "deadline_ms": 1200, "kind": "unsafe", "habit": "pool"},
]


@pytest.fixture
def lines(tmp_path):
    path = tmp_path / "log"
    path.write_text(LOG)
    return list(read_lines(path))


def test_decisions_are_counted_by_span_and_reason(lines):
    assert count_decisions(lines) == {
        10.0: {"flow_reset:held_by_nobody": 1},
        12.0: {"target_deaf": 1},
    }


def test_what_nobody_could_serve_follows_from_the_dark_and_the_deadlines(lines):
    # All is dark for 2.5 s at 100 requests a second: of three in four the first 1.5 s
    # end in the dark, of the others, on flows that have ended, all.
    (dark,) = find_dark(REPORT, lines)
    assert (dark.began, dark.ended) == (10.0, 12.5)
    shares = {"feed": 0.75, "swap": 0.25}
    hopeless = estimate_hopeless(dark, list_spans(REPORT), CLASSES, shares)
    assert hopeless == pytest.approx(75 * 1.5 + 25 * 2.5)
    # Where only our processes are killed, flows go on.
    kept = replace(dark, ends_flows=False)
    hopeless = estimate_hopeless(kept, list_spans(REPORT), CLASSES, shares)
    assert hopeless == pytest.approx(75 * 1.5 + 25 * 1.3)


def test_the_plot_shows_answers_around_the_dark(lines):
    (dark,) = find_dark(REPORT, lines)
    bars = list(plot_answers(dark, lines))
    assert [bar for bar in bars if "#" in bar] == ["   12.5 s    1 #"]


def test_the_command_prints_the_spans_with_losses(tmp_path, capsys):
    import json

    for name, text in (
        ("report", json.dumps(REPORT)),
        ("log", LOG),
        (
            "site",
            "29 standard\n[[classes]]\nname = 'feed'\ndeadline_ms = 1000\n",
        ),
    ):
        (tmp_path / name).write_text(text)
    main([str(tmp_path / name) for name in ("report", "log", "site")])
    printed = capsys.readouterr().out
    assert "flow_reset:held_by_nobody=1" in printed
    assert "some 112 of 100" in printed
