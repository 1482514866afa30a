"""Token bucket that limits bytes per second."""


class TokenBucket:
    """Allow `rate` bytes per second with bursts of at most `burst` bytes."""

    __slots__ = ("burst", "rate", "tokens", "updated_at")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated_at: float | None = None

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last call."""
        if self.updated_at is not None:
            earned = max(0.0, now - self.updated_at) * self.rate
            self.tokens = min(self.burst, self.tokens + earned)
        self.updated_at = now

    def spend(self, size: int) -> None:
        """Spend tokens; the balance may become negative for bytes that cannot wait."""
        self.tokens -= size
