"""Upstream probes: which control probes what, and results shared in the zone."""

import random
import typing
from collections import abc

from pistachioshed.core import controlevents, controlmembers, digests, events, tables

# A change of an upstream's load below this is not worth a message of its own.
LOAD_CHANGE: typing.Final = 0.25
RESULT_AGE_LIMIT_S: typing.Final = 15.0

Target = tuple[str, str]


class Known(typing.NamedTuple):
    """A probe result and the time at which it was obtained."""

    result: digests.ProbeResult
    time: float


class Probing:
    """Probe results of one control's zone and the probes that are due."""

    def __init__(
        self,
        settings: controlevents.Settings,
        members: controlmembers.Roster,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.members = members
        self.rng = rng
        self.targets: dict[Target, str] = {}
        self.due: dict[Target, float] = {}
        self.results: dict[Target, dict[str, Known]] = {}
        self.unpublished: set[tuple[Target, str]] = set()
        self.undelivered: set[Target] = set()
        self.refresh_at = 0.0

    def set_targets(self, held: abc.Iterable[tables.Table], now: float) -> None:
        """Choose the upstreams to probe; forget the results of removed rows."""
        dead = self.members.list_dead(now)
        count = self.settings.probers_per_upstream
        rows: set[Target] = set()
        targets: dict[Target, str] = {}
        for table in held:
            for row in table.rows:
                target = (table.service, row.upstream)
                rows.add(target)
                probers = self.members.list_probers("/".join(target), count, dead)
                if self.settings.name in probers:
                    targets[target] = row.address
        self.targets = targets
        for target in self.due.keys() - targets.keys():
            del self.due[target]
        # In order, so that a seed gives the same times in every process.
        for target in sorted(targets.keys() - self.due.keys()):
            self.due[target] = now + self.rng.random() * self.settings.probe_interval_s
        for target in self.results.keys() - rows:
            del self.results[target]

    def list_probes(self, now: float) -> list[controlevents.Action]:
        """Return the probes that are due."""
        actions: list[controlevents.Action] = []
        for target, due in self.due.items():
            if due <= now:
                self.due[target] = now + self.settings.probe_interval_s
                address = self.targets[target]
                actions.append(controlevents.ProbeUpstream(*target, address))
        return actions

    def record_own(self, report: events.ProbeReported, now: float) -> None:
        """Record the result of a probe that this control sent."""
        result = digests.ProbeResult(self.settings.name, *report)
        self._record(result, now, publish=True)

    def record_peers(
        self, results: abc.Iterable[digests.ProbeResult], now: float
    ) -> None:
        """Record results from a peer; a hub publishes them again if they are news."""
        relay = self.members.relays(now)
        for result in results:
            if result.prober != self.settings.name:
                self._record(result, now - result.age_ds / 10, publish=relay)

    def _record(self, result: digests.ProbeResult, time: float, publish: bool) -> None:
        target = (result.service, result.upstream)
        known = self.results.setdefault(target, {})
        before = known.get(result.prober)
        # A relayed copy of a known result has the same time but for rounding.
        if before is not None and time <= before.time + 0.2:
            return
        known[result.prober] = Known(result, time)
        if before is None or is_news(before.result, result):
            self.undelivered.add(target)
            if publish:
                self.unpublished.add((target, result.prober))

    def list_unpublished(self, now: float) -> tuple[digests.ProbeResult, ...]:
        """Return the results to publish now: changes, and all own every 5 s."""
        if now >= self.refresh_at:
            self.refresh_at = now + self.settings.probe_refresh_s
            own = self.settings.name
            self.unpublished.update((target, own) for target in self.due)
        found = [
            (known, now - known.time)
            for target, prober in sorted(self.unpublished)
            if (known := self.results.get(target, {}).get(prober)) is not None
        ]
        self.unpublished.clear()
        return tuple(
            known.result._replace(age_ds=max(0, round(age * 10)))
            for known, age in found
            if age <= RESULT_AGE_LIMIT_S
        )

    def list_undelivered(
        self, now: float, refresh: bool
    ) -> tuple[events.ProbeReported, ...]:
        """Return the results that the balancer has not seen, or all of them."""
        targets = self.results.keys() if refresh else self.undelivered
        reports = [self._merge(target, now) for target in sorted(targets)]
        self.undelivered = set()
        return tuple(report for report in reports if report is not None)

    def _merge(self, target: Target, now: float) -> events.ProbeReported | None:
        recent = [
            known
            for known in self.results.get(target, {}).values()
            if now - known.time <= RESULT_AGE_LIMIT_S
        ]
        if not recent:
            return None
        # One prober may be cut off from the upstream, so one success is enough.
        good = [known for known in recent if known.result.ok] or recent
        latest = max(good, key=lambda known: known.time).result
        return events.ProbeReported(
            *target,
            ok=latest.ok,
            draining=any(known.result.draining for known in good),
            load=latest.load,
            latency_s=latest.latency_s,
        )


def is_news(old: digests.ProbeResult, new: digests.ProbeResult) -> bool:
    """Tell whether a result differs enough from the one before to be published."""
    if (old.ok, old.draining, old.load is None) != (
        new.ok,
        new.draining,
        new.load is None,
    ):
        return True
    return abs((old.load or 0.0) - (new.load or 0.0)) >= LOAD_CHANGE
