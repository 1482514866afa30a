"""Measure start time and memory of libraries considered for the forwarder.

The start time is the shortest of several runs.
"""

import subprocess
import sys
import time
import typing

RUNS: typing.Final = 7
LIBRARIES: typing.Final = (
    "",
    "asyncio",
    "twisted.internet.asyncioreactor",
    "asyncio, h11, msgspec, absl.logging, automat, configparser, aioprometheus",
    "typing, socket, selectors, json, zlib, xxhash, httptools",
    "typer",
    "pistachioshed.apps.forwarderstart",
    "pistachioshed.apps.forwardercommand",
)
READ_MEMORY: typing.Final = (
    "lines = open('/proc/self/status').read().splitlines()\n"
    "print(next(line.split()[1] for line in lines if 'VmRSS' in line))"
)


def measure_start(modules: str) -> tuple[float, float]:
    """Return the shortest start time in milliseconds and the resident memory in MB."""
    statement = f"import {modules}" if modules else "pass"
    shortest_s = float("inf")
    memory_kb = 0
    for _ in range(RUNS):
        start = time.perf_counter()
        done = subprocess.run(
            [sys.executable, "-S", "-c", f"{statement}\n{READ_MEMORY}"],
            capture_output=True,
            check=True,
            env={"PYTHONPATH": ":".join(sys.path)},
        )
        shortest_s = min(shortest_s, time.perf_counter() - start)
        memory_kb = int(done.stdout)
    return shortest_s * 1000, memory_kb / 1000


def main() -> int:
    """Print a table with a row for each set of libraries."""
    print("| import | start, ms | memory, MB |\n|---|---|---|")
    for modules in LIBRARIES:
        start_ms, memory_mb = measure_start(modules)
        print(f"| {modules or '(none)'} | {start_ms:.0f} | {memory_mb:.1f} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
