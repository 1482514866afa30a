"""Count durations in buckets of growing width, for percentiles in bounded memory."""

import math
import typing

# A tenth of the shortest expected round trip, which takes 2 ms.
BUCKET_FIRST_S: typing.Final = 0.0002
# A percentile is overestimated by at most this factor.
BUCKET_FACTOR: typing.Final = 1.1
# The last bucket starts at 0.13 s. An opening is moved before, after 0.12 s.
BUCKETS: typing.Final = 70
# A generation covers about half a minute of openings at 30 per second, and the ten
# longest durations of one are above its 99th percentile.
GENERATION_SAMPLES: typing.Final = 1_000

LOG_FACTOR: typing.Final = math.log(BUCKET_FACTOR)


class LatencySketch:
    """Count the latest one to two times `GENERATION_SAMPLES` durations."""

    __slots__ = ("counts", "earlier_counts", "earlier_samples", "recent_samples")

    def __init__(self) -> None:
        self.counts = [0] * BUCKETS
        self.earlier_counts = [0] * BUCKETS
        self.recent_samples = 0
        self.earlier_samples = 0

    @property
    def samples(self) -> int:
        """The number of durations that are counted."""
        return self.recent_samples + self.earlier_samples

    def add(self, duration_s: float) -> None:
        """Add a duration."""
        self.counts[find_bucket(duration_s)] += 1
        self.recent_samples += 1
        if self.recent_samples >= GENERATION_SAMPLES:
            self.earlier_counts, self.counts = self.counts, [0] * BUCKETS
            self.earlier_samples, self.recent_samples = self.recent_samples, 0

    def find_percentile(self, share: float) -> float:
        """Return the upper limit of the bucket that contains a percentile.

        The last bucket has no limit.
        """
        remaining = share * self.samples
        buckets = zip(self.counts[:-1], self.earlier_counts[:-1], strict=True)
        for index, (recent, earlier) in enumerate(buckets):
            remaining -= recent + earlier
            if remaining <= 0:
                return float(BUCKET_FIRST_S * BUCKET_FACTOR**index)
        return math.inf


def find_bucket(duration_s: float) -> int:
    """Return the index of the bucket of a duration."""
    if duration_s <= BUCKET_FIRST_S:
        return 0
    if duration_s >= BUCKET_FIRST_S * BUCKET_FACTOR ** (BUCKETS - 2):
        return BUCKETS - 1
    return math.ceil(math.log(duration_s / BUCKET_FIRST_S) / LOG_FACTOR)
