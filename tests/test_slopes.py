"""Test the line fits, verdicts and exact counts that the capacity page uses."""

import pytest

from tools import slopes_balancer, slopes_fit, slopes_membership


def build_series(budget: float | None) -> slopes_fit.Series:
    """Return a series on the line 2 x + 10, with one outlier in each sample."""
    samples = tuple(
        slopes_fit.Sample(size, (2.0 * size + 10, 2.0 * size + 10, 9_999.0))
        for size in (1.0, 5.0, 20.0)
    )
    return slopes_fit.Series("size", "rows", "B", samples, 100.0, budget)


@pytest.mark.parametrize(
    ("budget", "verdict"), [(209.0, "miss"), (210.0, "pass"), (None, "-")]
)
def test_extrapolation_is_judged(budget: float | None, verdict: str) -> None:
    """Guard against a verdict that depends on an outlier or on the wrong size."""
    series = build_series(budget)
    assert slopes_fit.fit_line(series.samples) == pytest.approx((2.0, 10.0, 0.0))
    value = round(slopes_fit.extrapolate(series), 6)
    assert value == 210.0
    assert slopes_fit.check_budget(value, budget) == verdict
    assert f"| {verdict} |" in slopes_fit.format_series(series, 1.0)


def test_idle_traffic_does_not_grow_with_the_group() -> None:
    """Guard against measuring a fake fleet that has not settled yet."""
    small, large = (slopes_membership.measure_idle(count) for count in (8, 40))
    assert large.bytes_per_s == pytest.approx(small.bytes_per_s, rel=0.05)


def test_replicated_bytes_are_counted_and_repeat() -> None:
    """Guard against byte counts that vary between runs or omit messages."""
    receiver, size = slopes_balancer.replicate(300)
    assert receiver.received_overrides.count == 300
    assert 300 * 6 <= slopes_balancer.replicate(300)[1] == size
