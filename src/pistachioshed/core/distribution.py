"""Pure policy of the control process: table propagation, catch-up and liveness."""

import random
import typing
from collections import abc

from pistachioshed.core import (
    catalogue,
    catchup,
    controlevents,
    controlmembers,
    events,
    link,
    statusreporter,
    storewatch,
    tables,
    upstreamprobes,
    versionreports,
)

ROSTER_INTERVAL_S: typing.Final = 0.5
# Least time between two digests, so that a burst of changes costs one digest.
DIGEST_GAP_S: typing.Final = 0.2
# A delivered table is sent again when the balancer has not reported it after this.
REDELIVER_S: typing.Final = 1.5
STORE: typing.Final = "store"

Actions = list[controlevents.Action]


class Distributor:
    """Policy of one control process.

    `handle` takes an event and the time of a monotonic clock in seconds and returns
    the actions to carry out. It has no other effect.
    """

    def __init__(self, settings: controlevents.Settings, seed: int) -> None:
        self.settings = settings
        rng = random.Random(seed)
        self.roster = controlmembers.Roster(settings)
        self.catalogue = catalogue.Catalogue(settings, rng)
        self.catchup = catchup.Catchup(settings, self.roster, self.catalogue, rng)
        self.watching = storewatch.Watching(settings, self.roster)
        self.probing = upstreamprobes.Probing(settings, self.roster, rng)
        self.reporter = statusreporter.Reporter(settings)
        self.spread = versionreports.Spread(settings)
        self.vms: tuple[events.Vm, ...] = ()
        self.first = False
        self.delivered: dict[str, float] = {}
        self.changed = True
        self.digest_at = 0.0
        self.last_digest_at = -DIGEST_GAP_S
        self.roster_at = 0.0
        self.refresh_at = 0.0
        self.handlers: dict[type, abc.Callable[[typing.Any, float], Actions]] = {
            controlevents.StoreTable: self._take_stored,
            controlevents.StoreRead: self._note_read,
            controlevents.StoreAvailable: self._note_available,
            controlevents.StoreUnavailable: self._note_unavailable,
            controlevents.DigestReceived: self._take_digest,
            controlevents.TableReceived: self._take_published,
            controlevents.ProbesReceived: self._take_probes,
            controlevents.FetchRequested: self._answer_fetch,
            controlevents.FetchAnswered: self._take_fetched,
            controlevents.FetchFailed: self._note_fetch_failure,
            controlevents.MembersReceived: self._take_members,
            controlevents.ReportReceived: self._take_report,
            controlevents.ProbeFinished: self._take_probe,
            controlevents.LeaseGranted: self.reporter.accept_lease,
            controlevents.LeaseRenewed: self.reporter.accept_renewal,
            controlevents.LeaseLost: self.reporter.lose_lease,
            controlevents.StatusWritten: self.reporter.accept_write,
            controlevents.StatusFailed: self.reporter.fail_write,
            controlevents.Tick: self._pass_time,
        }

    def handle(self, event: controlevents.Event, now: float) -> Actions:
        """Process one event.

        Parameters
        ----------
        event : controlevents.Event
            What happened.
        now : float
            Seconds of a monotonic clock.

        Returns
        -------
        list of controlevents.Action
            What to do, in order.
        """
        actions = self.handlers[type(event)](event, now)
        if self.changed and now - self.last_digest_at >= DIGEST_GAP_S:
            actions.append(self._make_digest(now))
        return actions

    def list_status(self, now: float) -> statusreporter.Status:
        """Return the version in force per node and service of this zone."""
        return self.spread.list_status(self.roster, now)

    def _take_stored(self, event: controlevents.StoreTable, now: float) -> Actions:
        accepted = self.catalogue.accept_stored(event.table, event.revision)
        return self._apply_accepted(accepted, event.table, STORE, now)

    def _take_published(
        self, event: controlevents.TableReceived, now: float
    ) -> Actions:
        return self._take_gossiped(event.table, event.peer, event.zone, now)

    def _take_gossiped(
        self, table: tables.Table, peer: str, zone: str, now: float
    ) -> Actions:
        accepted = self.catalogue.accept_gossip(table, peer, now)
        return self._apply_accepted(accepted, table, zone, now)

    def _apply_accepted(
        self,
        accepted: catalogue.Accepted,
        table: tables.Table,
        source: str,
        now: float,
    ) -> Actions:
        """Deliver a table that is now held, and publish it if it is new to the zone.

        Only the first ranked publishes: it saves the others a fetch, while the
        digest alone would do.
        """
        actions: Actions = list(accepted.notices)
        if not accepted.changed:
            return actions
        self.changed = True
        if not self.catchup.booted:
            return actions
        small = (
            self.catalogue.held[table.service].size_bytes
            <= self.settings.max_published_bytes
        )
        news = source != self.settings.zone
        if news and small and self.first and self.roster.has_followers(now):
            actions.append(controlevents.PublishTable(table))
        actions.append(self._deliver_tables([table], now))
        return actions

    def _deliver_tables(
        self, found: abc.Sequence[tables.Table], now: float
    ) -> controlevents.Deliver:
        self.delivered.update((table.service, now) for table in found)
        return controlevents.Deliver(link.Update(tables=tuple(found)))

    def _note_read(self, event: controlevents.StoreRead, now: float) -> Actions:
        return self.watching.note_available() + self._end_boot_wait(STORE, now)

    def _note_available(
        self, event: controlevents.StoreAvailable, now: float
    ) -> Actions:
        return self.watching.note_available()

    def _note_unavailable(
        self, event: controlevents.StoreUnavailable, now: float
    ) -> Actions:
        actions = self.watching.note_unavailable(event.reason)
        return actions + self._end_boot_wait(STORE, now)

    def _take_digest(self, event: controlevents.DigestReceived, now: float) -> Actions:
        digest = event.digest
        if digest.node == self.settings.name or digest.node not in self.roster.members:
            return []
        self.roster.note_digest(digest.node, digest.silent, now)
        self.spread.record_digest(digest, self.roster, now)
        notices = self.catalogue.note_offer(digest, now)
        self.catchup.schedule(now)
        return list(notices)

    def _answer_fetch(self, event: controlevents.FetchRequested, now: float) -> Actions:
        found = self.catalogue.list_newer(event.have)
        return [controlevents.AnswerFetch(event.request, found)]

    def _take_fetched(self, event: controlevents.FetchAnswered, now: float) -> Actions:
        self.catchup.note_answer(event.peer, not event.tables, now)
        member = self.roster.members.get(event.peer)
        zone = member.vm.zone if member is not None else ""
        actions: Actions = []
        for table in event.tables:
            actions += self._take_gossiped(table, event.peer, zone, now)
        return actions + self._end_boot_wait(event.peer, now)

    def _note_fetch_failure(
        self, event: controlevents.FetchFailed, now: float
    ) -> Actions:
        self.catchup.note_failure(event.peer, now)
        return self._end_boot_wait(event.peer, now)

    def _take_members(
        self, event: controlevents.MembersReceived, now: float
    ) -> Actions:
        self.roster.set_members(event.members, now)
        # A seed has no balancer address, so it is of no use to the balancer.
        self.vms = tuple(member.vm for member in event.members if member.vm.address)
        if self.catchup.boot_waiting is None:
            actions = self.catchup.start_boot(now)
            return actions + self._update_roster(now) + self._end_boot_wait("", now)
        actions = self._update_roster(now)
        if self.catchup.booted:
            actions.append(controlevents.Deliver(link.Update(vms=self.vms)))
        return actions

    def _end_boot_wait(self, source: str, now: float) -> Actions:
        """Tell the balancer the newest tables once all that were asked answered."""
        unanswered = self.catchup.end_wait(source, now)
        if unanswered is None:
            return []
        held = [held.table for held in self.catalogue.held.values()]
        deliver = self._deliver_tables(held, now)
        fields: dict[str, object] = {
            "versions": self.catalogue.list_versions(),
            "unanswered": unanswered,
        }
        return [
            controlevents.Deliver(deliver.update._replace(vms=self.vms)),
            events.Notice("booted", fields),
        ]

    def _take_report(self, event: controlevents.ReportReceived, now: float) -> Actions:
        versions = event.report.versions
        self.spread.record_own(versions, now)
        if not self.catchup.booted:
            return []
        lagging = [
            held.table
            for service, held in self.catalogue.held.items()
            if versions.get(service, 0) < held.table.version
            and now - self.delivered.get(service, -REDELIVER_S) >= REDELIVER_S
        ]
        return [self._deliver_tables(lagging, now)] if lagging else []

    def _take_probes(self, event: controlevents.ProbesReceived, now: float) -> Actions:
        self.probing.record_peers(event.results, now)
        return []

    def _take_probe(self, event: controlevents.ProbeFinished, now: float) -> Actions:
        self.probing.record_own(event.result, now)
        return []

    def _pass_time(self, event: controlevents.Tick, now: float) -> Actions:
        if self.catchup.boot_waiting is None:
            # Without any list this control would take itself for a watcher.
            return []
        actions = self._end_boot_wait("", now)
        if now >= self.roster_at:
            actions += self._update_roster(now)
        actions += self.catchup.step(now)
        actions += self.catalogue.list_conflict_reads(now)
        actions += self.probing.list_probes(now)
        actions += self._refresh(now)
        status = self.list_status(now) if self.first else {}
        actions += self.reporter.step(self.first and bool(status), status, now)
        if now >= self.digest_at:
            actions.append(self._make_digest(now))
        return actions

    def _refresh(self, now: float) -> Actions:
        """Return the probe results to publish and deliver, and the VM list."""
        actions: Actions = []
        results = self.probing.list_unpublished(now)
        if results:
            actions.append(controlevents.PublishProbes(results))
        refresh = now >= self.refresh_at
        if refresh:
            self.refresh_at = now + self.settings.digest_interval_s
        if self.catchup.booted:
            probes = self.probing.list_undelivered(now, refresh)
            if probes or refresh:
                update = link.Update(vms=self.vms if refresh else (), probes=probes)
                actions.append(controlevents.Deliver(update))
        return actions

    def _update_roster(self, now: float) -> Actions:
        self.roster_at = now + ROSTER_INTERVAL_S
        actions: Actions = []
        if self.roster.update_subscriptions(now):
            peers = tuple(
                (name, self.roster.members[name].bus)
                for name in sorted(self.roster.subscribed)
            )
            actions.append(controlevents.Subscribe(peers))
        self.first = self.roster.is_first(now)
        held = [held.table for held in self.catalogue.held.values()]
        self.probing.set_targets(held, now)
        for action in self.watching.step(now):
            actions.append(action)
            if isinstance(action, controlevents.StartWatch):
                self.catchup.wait_for(STORE)
            else:
                actions += self._end_boot_wait(STORE, now)
        return actions

    def _make_digest(self, now: float) -> controlevents.PublishDigest:
        self.changed = False
        self.last_digest_at = now
        self.digest_at = now + self.settings.digest_interval_s
        silent = self.roster.list_silent(now)
        digest = self.spread.make_digest(self.catalogue.held, silent, now)
        return controlevents.PublishDigest(digest)
