"""Metrics before and after their library is imported."""

import subprocess
import sys

from pistachioshed.adapters import metrics


def test_what_is_counted_before_the_first_scrape_is_shown() -> None:
    """Guard against counts of a process's first seconds that are lost."""
    counts = metrics.Metrics("test")
    counts.count("packets", outcome="placed")
    counts.count("packets", 2, outcome="placed")
    counts.set_gauge("flows", 5)
    counts.observe("response", 0.04, route="r-check")
    counts.render()
    counts.count("packets", outcome="placed")
    text = counts.render().decode()
    assert 'test_packets_total{outcome="placed"} 4' in text
    assert "test_flows 5" in text
    assert 'test_response_seconds_bucket{le="0.05",route="r-check"} 1' in text


def test_calls_that_wait_for_the_library_are_bounded() -> None:
    """Guard against memory that grows for as long as nobody scrapes the metrics."""
    counts = metrics.Metrics("test")
    for _ in range(3 * metrics.PENDING_MAX):
        counts.count("packets", outcome="placed")
    assert len(counts.pending) < metrics.PENDING_MAX
    total = f'test_packets_total{{outcome="placed"}} {3 * metrics.PENDING_MAX}'
    assert total in counts.render().decode()


def test_a_forwarder_starts_without_the_libraries_that_it_does_not_need() -> None:
    """Guard against a longer outage after each kill: imports take most of a start."""
    program = (
        "import sys, pistachioshed.apps.forwarder\n"
        "print([name for name in sys.modules"
        " if name in ('absl', 'aioprometheus', 'automat', 'twisted', 'typer')])"
    )
    done = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        check=True,
        text=True,
        env={"PYTHONPATH": ":".join(sys.path)},
    )
    assert done.stdout.strip() == "[]"
