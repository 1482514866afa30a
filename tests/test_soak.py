"""Short seeded runs of the soak; `make soak` plays fresh seeds."""

import asyncio
import pathlib

import pytest

from tools import soak

# Seeds that failed once, with the cause.
REGRESSIONS = [
    # Hosts without a health check stayed suspected for ever after two lost openings.
    1,
    2,
]


@pytest.mark.parametrize("seed", REGRESSIONS)
def test_promises_hold_under_faults(seed: int, tmp_path: pathlib.Path) -> None:
    """Guard against promises that one fault, or two at once, break."""
    played = asyncio.run(soak.play(seed, tmp_path))
    assert not played.violations, (played.violations, played.faults.log)
    assert played.outcomes["served"] > 0
