"""Detect pauses of the process, such as a freeze of its machine."""

import time


class PauseDetector:
    """Measure the time between two rounds of a loop, with any suspension.

    The monotonic clock does not count the time for which a machine is suspended.
    """

    def __init__(self) -> None:
        self.last_round_at = read_boot_time()

    def measure_pause(self) -> float:
        """Return the seconds since the last call."""
        now = read_boot_time()
        pause_s = now - self.last_round_at
        self.last_round_at = now
        return pause_s


def read_boot_time() -> float:
    """Return the seconds since the machine was booted, with suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
