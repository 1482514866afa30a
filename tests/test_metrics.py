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


def test_values_take_no_memory_for_each_call() -> None:
    """Guard against memory that grows as long as the metrics are not scraped."""
    process_metrics = metrics.Metrics("test")
    for number in range(10_000):
        process_metrics.count("packets", outcome="placed")
        process_metrics.observe("response", number / 1_000, route="r-check")
    assert len(process_metrics.counters) == 1
    assert len(process_metrics.histograms) == 1
    text = process_metrics.render().decode()
    assert 'test_packets_total{outcome="placed"} 10000' in text
    assert 'test_response_seconds_count{route="r-check"} 10000' in text
    assert 'test_response_seconds_bucket{le="+Inf",route="r-check"} 10000' in text


def test_counting_does_not_import_the_metrics_library() -> None:
    """Guard against a pause of forwarding in the middle of a wave of requests."""
    program = (
        "import sys; from pistachioshed.adapters import metrics\n"
        "process_metrics = metrics.Metrics('test')\n"
        "for _ in range(10_000): process_metrics.count('packets', outcome='placed')\n"
        "print('aioprometheus' in sys.modules)"
    )
    done = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        check=True,
        text=True,
        env={"PYTHONPATH": ":".join(sys.path)},
    )
    assert done.stdout.strip() == "False"
