"""Metrics before and after the metrics library is imported."""

import subprocess
import sys

from pistachioshed.adapters import metrics


def test_calls_before_the_first_scrape_are_included() -> None:
    """Guard against losing the counts of a process's first seconds."""
    process_metrics = metrics.Metrics("test")
    process_metrics.count("packets", outcome="placed")
    process_metrics.count("packets", 2, outcome="placed")
    process_metrics.set_gauge("flows", 5)
    process_metrics.observe("response", 0.04, route="r-check")
    process_metrics.render()
    process_metrics.count("packets", outcome="placed")
    text = process_metrics.render().decode()
    assert 'test_packets_total{outcome="placed"} 4' in text
    assert "test_flows 5" in text
    assert 'test_response_seconds_bucket{le="0.05",route="r-check"} 1' in text


def test_pending_calls_are_bounded() -> None:
    """Guard against memory that grows as long as the metrics are not scraped."""
    process_metrics = metrics.Metrics("test")
    for _ in range(3 * metrics.PENDING_CALLS_MAX):
        process_metrics.count("packets", outcome="placed")
    assert len(process_metrics.pending_calls) < metrics.PENDING_CALLS_MAX
    total = f'test_packets_total{{outcome="placed"}} {3 * metrics.PENDING_CALLS_MAX}'
    assert total in process_metrics.render().decode()


def test_forwarder_does_not_import_libraries_that_it_does_not_need() -> None:
    """Guard against a longer outage after a kill: imports take most of the start."""
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
