"""Measure how state, traffic and processor time grow, and extrapolate them.

Prints Markdown tables. Bytes, messages and calls are exact for the fixed seeds; times
depend on the machine and are also given as a multiple of the time of one dict look-up.
"""

import statistics
import sys
import time

from absl import logging

from tools import (
    slopes_core,
    slopes_fit,
    slopes_fleet,
    slopes_membership,
    slopes_store,
)


def main() -> int:
    """Print the tables of all series and the counts that have no size."""
    # The measurements include outages, whose warnings would mix with the tables.
    logging.set_verbosity(logging.ERROR)
    started_s = time.monotonic()
    baselines_us = slopes_fit.measure_baseline()
    baseline_us = statistics.median(baselines_us)
    low_ns, high_ns = min(baselines_us) * 1e3, max(baselines_us) * 1e3
    print(
        f"Baseline: one dict look-up in a bare loop, {baseline_us * 1e3:.1f} ns "
        f"[{low_ns:.1f}, {high_ns:.1f}]."
    )
    for title, list_series in (
        ("Balancer", slopes_core.list_series),
        ("Between balancers", slopes_membership.list_series),
        ("Control process", slopes_fleet.list_series),
        ("Store and mass restarts", slopes_store.list_series),
    ):
        print(f"\n### {title}\n\n{slopes_fit.format_header()}")
        for series in list_series():
            print(slopes_fit.format_series(series, baseline_us), flush=True)
    print()
    for line in slopes_store.describe_counts():
        print(f"- {line}")
    print(f"\nThe run took {time.monotonic() - started_s:.0f} s.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
