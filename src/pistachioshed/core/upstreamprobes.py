"""Assignment of upstream probes to control processes, and exchange of results."""

import random
import typing
from collections import abc

from pistachioshed.core import controlevents, controlmembers, digests, events, tables

# Smaller changes of an upstream's load do not justify a message of their own; the
# periodic refresh publishes them.
LOAD_CHANGE_MIN: typing.Final = 0.25
RESULT_AGE_MAX_S: typing.Final = 15.0

Target = tuple[str, str]


class TimedResult(typing.NamedTuple):
    """A probe result and the time of the probe."""

    result: digests.ProbeResult
    time: float


class UpstreamProbes:
    """Track the probe results of a zone and schedule this process's own probes."""

    def __init__(
        self,
        settings: controlevents.Settings,
        members: controlmembers.ControlMembers,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.members = members
        self.rng = rng
        self.targets: dict[Target, str] = {}
        self.next_probe_at: dict[Target, float] = {}
        self.results: dict[Target, dict[str, TimedResult]] = {}
        self.unpublished: set[tuple[Target, str]] = set()
        self.undelivered: set[Target] = set()
        self.next_refresh_at = 0.0

    def set_targets(self, held: abc.Iterable[tables.Table], now: float) -> None:
        """Choose the upstreams to probe and drop the results of removed rows."""
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
        for target in self.next_probe_at.keys() - targets.keys():
            del self.next_probe_at[target]
        # Sorted, so that a given seed yields the same times in every process.
        for target in sorted(targets.keys() - self.next_probe_at.keys()):
            self.next_probe_at[target] = (
                now + self.rng.random() * self.settings.probe_interval_s
            )
        for target in self.results.keys() - rows:
            del self.results[target]

    def list_probes(self, now: float) -> list[controlevents.Action]:
        """Return the probes that are due now."""
        actions: list[controlevents.Action] = []
        for target, probe_at in self.next_probe_at.items():
            if probe_at <= now:
                self.next_probe_at[target] = now + self.settings.probe_interval_s
                address = self.targets[target]
                actions.append(controlevents.ProbeUpstream(*target, address))
        return actions

    def record_own_result(self, report: events.ProbeReported, now: float) -> None:
        """Record the result of a probe that this process sent."""
        result = digests.ProbeResult(self.settings.name, *report)
        self._record(result, now, publish=True)

    def record_peer_results(
        self, results: abc.Iterable[digests.ProbeResult], now: float
    ) -> None:
        """Record results from a peer; a hub relays those that changed significantly."""
        relay = self.members.is_relaying_hub(now)
        for result in results:
            if result.prober != self.settings.name:
                self._record(result, now - result.age_ds / 10, publish=relay)

    def _record(self, result: digests.ProbeResult, time: float, publish: bool) -> None:
        target = (result.service, result.upstream)
        by_prober = self.results.setdefault(target, {})
        previous = by_prober.get(result.prober)
        # A relayed copy of a recorded result differs in time only by rounding.
        if previous is not None and time <= previous.time + 0.2:
            return
        by_prober[result.prober] = TimedResult(result, time)
        if previous is None or is_significant_change(previous.result, result):
            self.undelivered.add(target)
            if publish:
                self.unpublished.add((target, result.prober))

    def list_unpublished(self, now: float) -> tuple[digests.ProbeResult, ...]:
        """Return the results to publish now: changes, and all own results every 5 s."""
        if now >= self.next_refresh_at:
            self.next_refresh_at = now + self.settings.probe_refresh_s
            own = self.settings.name
            self.unpublished.update((target, own) for target in self.next_probe_at)
        found = [
            (timed, now - timed.time)
            for target, prober in sorted(self.unpublished)
            if (timed := self.results.get(target, {}).get(prober)) is not None
        ]
        self.unpublished.clear()
        return tuple(
            timed.result._replace(age_ds=max(0, round(age * 10)))
            for timed, age in found
            if age <= RESULT_AGE_MAX_S
        )

    def list_undelivered(
        self, now: float, refresh: bool
    ) -> tuple[events.ProbeReported, ...]:
        """Return the results not yet sent to the balancer, or all with `refresh`."""
        targets = self.results.keys() if refresh else self.undelivered
        reports = [self._merge(target, now) for target in sorted(targets)]
        self.undelivered = set()
        return tuple(report for report in reports if report is not None)

    def _merge(self, target: Target, now: float) -> events.ProbeReported | None:
        recent = [
            timed
            for timed in self.results.get(target, {}).values()
            if now - timed.time <= RESULT_AGE_MAX_S
        ]
        if not recent:
            return None
        # A prober may be unable to reach a healthy upstream, so one success is enough.
        usable = [timed for timed in recent if timed.result.ok] or recent
        latest = max(usable, key=lambda timed: timed.time).result
        return events.ProbeReported(
            *target,
            ok=latest.ok,
            draining=any(timed.result.draining for timed in usable),
            load=latest.load,
            latency_s=latest.latency_s,
        )


def is_significant_change(old: digests.ProbeResult, new: digests.ProbeResult) -> bool:
    """Return whether a result differs enough from the previous one to be published."""
    if (old.ok, old.draining, old.load is None) != (
        new.ok,
        new.draining,
        new.load is None,
    ):
        return True
    return abs((old.load or 0.0) - (new.load or 0.0)) >= LOAD_CHANGE_MIN
