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

ROLES_INTERVAL_S: typing.Final = 0.5
# Minimum interval between two digests, so that a burst of changes costs one digest.
DIGEST_GAP_S: typing.Final = 0.2
# A table is sent again if the balancer has not reported it in force after this time.
REDELIVER_S: typing.Final = 1.5
STORE: typing.Final = "store"

Actions = list[controlevents.Action]


class Distributor:
    """Decide what one control process does in response to events.

    `handle` takes an event and the time of a monotonic clock in seconds and returns
    the actions to perform. It has no other side effect.
    """

    def __init__(self, settings: controlevents.Settings, seed: int) -> None:
        self.settings = settings
        rng = random.Random(seed)
        self.members = controlmembers.ControlMembers(settings)
        self.catalogue = catalogue.Catalogue(settings, rng)
        self.catchup = catchup.Catchup(settings, self.members, self.catalogue, rng)
        self.store_watch = storewatch.StoreWatch(settings, self.members)
        self.upstream_probes = upstreamprobes.UpstreamProbes(
            settings, self.members, rng
        )
        self.reporter = statusreporter.StatusReporter(settings)
        self.version_reports = versionreports.VersionReports(settings)
        self.vms: tuple[events.Vm, ...] = ()
        self.is_first_ranked = False
        self.delivered_at: dict[str, float] = {}
        self.digest_pending = True
        self.next_digest_at = 0.0
        self.last_digest_at = -DIGEST_GAP_S
        self.next_roles_at = 0.0
        self.next_refresh_at = 0.0
        self.handlers: dict[type, abc.Callable[[typing.Any, float], Actions]] = {
            controlevents.StoreTable: self._handle_stored_table,
            controlevents.StoreRead: self._handle_store_read,
            controlevents.StoreAvailable: self._handle_store_available,
            controlevents.StoreUnavailable: self._handle_store_unavailable,
            controlevents.DigestReceived: self._handle_digest,
            controlevents.TableReceived: self._handle_published_table,
            controlevents.ProbesReceived: self._handle_peer_probes,
            controlevents.FetchRequested: self._handle_fetch_request,
            controlevents.FetchAnswered: self._handle_fetch_answer,
            controlevents.FetchFailed: self._handle_fetch_failure,
            controlevents.MembersReceived: self._apply_members,
            controlevents.ReportReceived: self._handle_report,
            controlevents.ProbeFinished: self._handle_probe_result,
            controlevents.LeaseGranted: self.reporter.accept_lease,
            controlevents.LeaseRenewed: self.reporter.accept_renewal,
            controlevents.LeaseLost: self.reporter.lose_lease,
            controlevents.StatusWritten: self.reporter.record_write,
            controlevents.StatusFailed: self.reporter.record_write_failure,
            controlevents.Tick: self._handle_tick,
        }

    def handle(self, event: controlevents.Event, now: float) -> Actions:
        """Process one event.

        Parameters
        ----------
        event : controlevents.Event
            The event to process.
        now : float
            Seconds of a monotonic clock.

        Returns
        -------
        list of controlevents.Action
            The actions to perform, in order.
        """
        actions = self.handlers[type(event)](event, now)
        if self.digest_pending and now - self.last_digest_at >= DIGEST_GAP_S:
            actions.append(self._make_digest(now))
        return actions

    def list_status(self, now: float) -> statusreporter.Status:
        """Return the version in force per node and service of this zone."""
        return self.version_reports.list_status(self.members, now)

    def _handle_stored_table(
        self, event: controlevents.StoreTable, now: float
    ) -> Actions:
        result = self.catalogue.accept_stored(event.table, event.revision)
        return self._apply_result(result, event.table, STORE, now)

    def _handle_published_table(
        self, event: controlevents.TableReceived, now: float
    ) -> Actions:
        return self._handle_peer_table(event.table, event.peer, event.zone, now)

    def _handle_peer_table(
        self, table: tables.Table, peer: str, zone: str, now: float
    ) -> Actions:
        result = self.catalogue.accept_from_peer(table, peer, now)
        return self._apply_result(result, table, zone, now)

    def _apply_result(
        self,
        result: catalogue.AcceptResult,
        table: tables.Table,
        source: str,
        now: float,
    ) -> Actions:
        """Deliver a newly held table, and publish it if it is new to the zone.

        Only the first ranked member publishes. This spares the other members a fetch;
        they would also learn of the table from the digest.
        """
        actions: Actions = list(result.notices)
        if not result.changed:
            return actions
        self.digest_pending = True
        if not self.catchup.booted:
            return actions
        small = (
            self.catalogue.held[table.service].size_bytes
            <= self.settings.max_published_bytes
        )
        new_to_zone = source != self.settings.zone
        if (
            new_to_zone
            and small
            and self.is_first_ranked
            and self.members.has_non_watchers(now)
        ):
            actions.append(controlevents.PublishTable(table))
        actions.append(self._deliver_tables([table], now))
        return actions

    def _deliver_tables(
        self, found: abc.Sequence[tables.Table], now: float
    ) -> controlevents.Deliver:
        self.delivered_at.update((table.service, now) for table in found)
        return controlevents.Deliver(link.Update(tables=tuple(found)))

    def _handle_store_read(self, event: controlevents.StoreRead, now: float) -> Actions:
        return self.store_watch.record_available() + self._end_boot_wait(STORE, now)

    def _handle_store_available(
        self, event: controlevents.StoreAvailable, now: float
    ) -> Actions:
        return self.store_watch.record_available()

    def _handle_store_unavailable(
        self, event: controlevents.StoreUnavailable, now: float
    ) -> Actions:
        actions = self.store_watch.record_unavailable(event.reason)
        return actions + self._end_boot_wait(STORE, now)

    def _handle_digest(
        self, event: controlevents.DigestReceived, now: float
    ) -> Actions:
        digest = event.digest
        if digest.node == self.settings.name or digest.node not in self.members.by_name:
            return []
        self.members.record_digest(digest.node, digest.silent, now)
        self.version_reports.record_digest(digest, self.members, now)
        notices = self.catalogue.record_digest(digest, now)
        self.catchup.schedule(now)
        return list(notices)

    def _handle_fetch_request(
        self, event: controlevents.FetchRequested, now: float
    ) -> Actions:
        found = self.catalogue.list_newer(event.held_versions)
        return [controlevents.AnswerFetch(event.request, found)]

    def _handle_fetch_answer(
        self, event: controlevents.FetchAnswered, now: float
    ) -> Actions:
        self.catchup.record_answer(event.peer, not event.tables, now)
        member = self.members.by_name.get(event.peer)
        zone = member.vm.zone if member is not None else ""
        actions: Actions = []
        for table in event.tables:
            actions += self._handle_peer_table(table, event.peer, zone, now)
        return actions + self._end_boot_wait(event.peer, now)

    def _handle_fetch_failure(
        self, event: controlevents.FetchFailed, now: float
    ) -> Actions:
        self.catchup.record_failure(event.peer, now)
        return self._end_boot_wait(event.peer, now)

    def _apply_members(
        self, event: controlevents.MembersReceived, now: float
    ) -> Actions:
        self.members.set_members(event.members, now)
        # Seed members have no balancer address, so the balancer cannot use them.
        self.vms = tuple(member.vm for member in event.members if member.vm.address)
        if self.catchup.pending_boot_sources is None:
            actions = self.catchup.start_boot(now)
            return actions + self._update_roles(now) + self._end_boot_wait("", now)
        actions = self._update_roles(now)
        if self.catchup.booted:
            actions.append(controlevents.Deliver(link.Update(vms=self.vms)))
        return actions

    def _end_boot_wait(self, source: str, now: float) -> Actions:
        """Deliver the newest tables to the balancer once the boot ends."""
        unanswered = self.catchup.finish_boot_source(source, now)
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

    def _handle_report(
        self, event: controlevents.ReportReceived, now: float
    ) -> Actions:
        versions = event.report.versions
        self.version_reports.record_balancer_report(versions, now)
        if not self.catchup.booted:
            return []
        lagging = [
            held.table
            for service, held in self.catalogue.held.items()
            if versions.get(service, 0) < held.table.version
            and now - self.delivered_at.get(service, -REDELIVER_S) >= REDELIVER_S
        ]
        return [self._deliver_tables(lagging, now)] if lagging else []

    def _handle_peer_probes(
        self, event: controlevents.ProbesReceived, now: float
    ) -> Actions:
        self.upstream_probes.record_peer_results(event.results, now)
        return []

    def _handle_probe_result(
        self, event: controlevents.ProbeFinished, now: float
    ) -> Actions:
        self.upstream_probes.record_own_result(event.result, now)
        return []

    def _handle_tick(self, event: controlevents.Tick, now: float) -> Actions:
        if self.catchup.pending_boot_sources is None:
            # Without a VM list this process would rank itself as a watcher.
            return []
        actions = self._end_boot_wait("", now)
        if now >= self.next_roles_at:
            actions += self._update_roles(now)
        actions += self.catchup.step(now)
        actions += self.catalogue.list_conflict_reads(now)
        actions += self.upstream_probes.list_probes(now)
        actions += self._refresh(now)
        status = self.list_status(now) if self.is_first_ranked else {}
        actions += self.reporter.step(
            self.is_first_ranked and bool(status), status, now
        )
        if now >= self.next_digest_at:
            actions.append(self._make_digest(now))
        return actions

    def _refresh(self, now: float) -> Actions:
        """Return the actions that publish and deliver probe results and the VM list."""
        actions: Actions = []
        results = self.upstream_probes.list_unpublished(now)
        if results:
            actions.append(controlevents.PublishProbes(results))
        refresh = now >= self.next_refresh_at
        if refresh:
            self.next_refresh_at = now + self.settings.digest_interval_s
        if self.catchup.booted:
            probes = self.upstream_probes.list_undelivered(now, refresh)
            if probes or refresh:
                update = link.Update(vms=self.vms if refresh else (), probes=probes)
                actions.append(controlevents.Deliver(update))
        return actions

    def _update_roles(self, now: float) -> Actions:
        """Update subscriptions, rank, probe targets and the store watch."""
        self.next_roles_at = now + ROLES_INTERVAL_S
        actions: Actions = []
        if self.members.update_subscriptions(now):
            peers = tuple(
                (name, self.members.by_name[name].bus)
                for name in sorted(self.members.subscribed_since)
            )
            actions.append(controlevents.Subscribe(peers))
        self.is_first_ranked = self.members.is_first_ranked(now)
        held = [held.table for held in self.catalogue.held.values()]
        self.upstream_probes.set_targets(held, now)
        for action in self.store_watch.step(now):
            actions.append(action)
            if isinstance(action, controlevents.StartWatch):
                self.catchup.add_boot_source(STORE)
            else:
                actions += self._end_boot_wait(STORE, now)
        return actions

    def _make_digest(self, now: float) -> controlevents.PublishDigest:
        self.digest_pending = False
        self.last_digest_at = now
        self.next_digest_at = now + self.settings.digest_interval_s
        silent = self.members.list_silent(now)
        digest = self.version_reports.make_digest(self.catalogue.held, silent, now)
        return controlevents.PublishDigest(digest)
