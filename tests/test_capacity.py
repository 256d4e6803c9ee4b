import pytest

from measurements.capacity import MARKED, PAGE, TABLES, render
from measurements.capacity_rows import Row
from measurements.fitting import fit


def test_the_tables_of_the_page_are_those_of_the_figures():
    page = PAGE.read_text()
    assert render(page) == page


def test_every_table_is_on_the_page_once():
    assert sorted(match[2] for match in MARKED.finditer(PAGE.read_text())) == sorted(
        TABLES
    )


def test_a_line_goes_through_exact_points():
    line = fit([(1, 5), (2, 7), (4, 11)])
    assert (line.base, line.slope, line.spread) == pytest.approx((3, 2, 0))
    assert line.at(100) == pytest.approx(203)


def test_the_spread_tells_how_far_a_point_lies_off():
    assert fit([(0, 0), (1, 10), (2, 0)]).spread == pytest.approx(2 / 3)


def test_two_sizes_make_no_line():
    with pytest.raises(ValueError, match="three sizes"):
        fit([(1, 1), (2, 2)])


def test_a_line_above_its_limit_says_so():
    row = Row("x", "1 + 1", 2.0, "s", "module", limit=1.0, mend="a relay")
    assert row.verdict == "**does not fit**; a relay"
    assert Row("x", "1", 1.0, "s", "module", limit=1.0).verdict == "fits"
