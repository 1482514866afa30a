"""State of a control process's watch on the store."""

from pistachioshed.core import controlevents, controlmembers, events


class StoreWatch:
    """Track whether to watch the store and whether the store is available.

    Only the first ranked members of a zone watch the store.
    """

    def __init__(
        self, settings: controlevents.Settings, members: controlmembers.ControlMembers
    ) -> None:
        self.settings = settings
        self.members = members
        self.active = False
        self.available: bool | None = None
        self.not_ranked_since: float | None = None

    def step(self, now: float) -> list[controlevents.Action]:
        """Start or stop the watch when the rank of this control process changes."""
        if self.members.is_watcher(now):
            self.not_ranked_since = None
            if self.active:
                return []
            self.active = True
            return [controlevents.StartWatch()]
        if not self.active:
            return []
        if self.not_ranked_since is None:
            self.not_ranked_since = now
        # A brief loss of rank should not cost a new read of all tables.
        if now - self.not_ranked_since < self.settings.silence_s:
            return []
        self.active = False
        self.available = None
        return [controlevents.StopWatch()]

    def record_available(self) -> list[controlevents.Action]:
        """Record that a call on the store succeeded."""
        before, self.available = self.available, True
        return [] if before else [events.Notice("store_available", {})]

    def record_unavailable(self, reason: str) -> list[controlevents.Action]:
        """Record that a call on the store failed."""
        before, self.available = self.available, False
        if before is False:
            return []
        return [events.Notice("store_unavailable", {"reason": reason})]
