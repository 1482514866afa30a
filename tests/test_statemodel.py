"""Model of a forwarder's state: entries, lapses, restarts, reuse, stale batches.

The store may also be restored from a copy, after which its hosts write again what has
changed since.
"""

import typing

import hypothesis
from hypothesis import stateful, strategies

from pistachioshed.core import directory, revisions, routing, segments
from tests import dispatchbuilders as build

NUMBERS = strategies.integers(1, 5)
COPY_AGE_MAX_S: typing.Final = 30.0
SERVICES = strategies.sampled_from(["booking", "sheets"])


class ForwarderStateMachine(stateful.RuleBasedStateMachine):
    """Apply a store's history to a forwarder that may receive it late or repeatedly.

    `entries` holds the current entries of the store, `history` all writes that it has
    not lost, and `lost` the others. `reports` holds start and sequence of the last
    report that was delivered of each host.
    """

    def __init__(self) -> None:
        super().__init__()
        self.balancer = build.Balancer()
        self.now = 0.0
        self.revision = revisions.combine_revision(1, 1)
        self.entries: dict[str, directory.Change] = {}
        self.history: list[directory.Change] = []
        self.lost: list[directory.Change] = []
        self.reports: dict[str, tuple[int, int]] = {}
        self.sequence = 0
        self.written_at: list[float] = []
        self.needs_snapshot = False
        self.delivered = 0
        self.versions = [1]
        self.port = 1024

    def write(self, name: str, upstream: directory.Upstream | None) -> None:
        """Write or delete an entry in the store."""
        self.revision += 1
        self.sequence += 1
        if upstream is not None:
            upstream = upstream._replace(sequence=self.sequence)
        change = directory.Change(name, upstream, self.revision)
        self.history.append(change)
        self.written_at.append(self.now)
        if upstream is None:
            self.entries.pop(name, None)
        else:
            self.entries[name] = change

    @stateful.rule(number=NUMBERS, service=SERVICES, address=NUMBERS)
    def register(self, number: int, service: str, address: int) -> None:
        """Start a host, possibly at an address that another one had."""
        name = f"i-{number:08x}"
        if name in self.entries:
            return
        upstream = build.build_upstream(
            number,
            service=service,
            address=(f"10.1.64.{address}", 8080),
            start_ms=self.sequence,
        )
        self.write(name, upstream)

    @stateful.rule(number=NUMBERS)
    def drain(self, number: int) -> None:
        """Mark a host as draining."""
        change = self.entries.get(f"i-{number:08x}")
        if change is not None and change.upstream is not None:
            self.write(change.name, change.upstream._replace(draining=True))

    @stateful.rule(number=NUMBERS)
    def remove(self, number: int) -> None:
        """Remove an entry, whether it is draining or not."""
        name = f"i-{number:08x}"
        if name in self.entries:
            self.write(name, None)

    @stateful.precondition(lambda self: self.history)
    @stateful.rule(data=strategies.data(), rewrites=strategies.booleans())
    def restore(self, data: strategies.DataObject, rewrites: bool) -> None:
        """Restore the store from a copy, `rewrites` if its hosts write at once.

        All that was written before has been delivered.
        """
        self.deliver_changes()
        oldest = self.now - COPY_AGE_MAX_S
        kept_min = sum(written_at < oldest for written_at in self.written_at)
        kept = data.draw(strategies.integers(kept_min, len(self.history)))
        del self.written_at[kept:]
        latest = dict(self.entries)
        era, _ = revisions.split_revision(self.revision)
        self.lost += self.history
        self.history = [
            change._replace(
                revision=revisions.combine_revision(
                    era + 1, revisions.split_revision(change.revision)[1]
                )
            )
            for change in self.history[:kept]
        ]
        self.revision = max(
            [revisions.combine_revision(era + 1, 1)]
            + [change.revision for change in self.history]
        )
        self.entries = {}
        for change in self.history:
            self.entries[change.name] = change
            if change.upstream is None:
                del self.entries[change.name]
        self.needs_snapshot = True
        if rewrites:
            self.rewrite(latest)
        self.deliver_snapshot()

    def rewrite(self, latest: dict[str, directory.Change]) -> None:
        """Write the entries again that have changed since the copy."""
        for name in sorted(set(latest) | set(self.entries)):
            change = latest.get(name, directory.Change(name, None, 0))
            present = self.entries.get(name)
            if present is None or present.upstream != change.upstream:
                self.write(name, change.upstream)

    @stateful.rule()
    def deliver_changes(self) -> None:
        """Deliver the changes that a watch returns."""
        if self.needs_snapshot:
            return
        fresh = [each for each in self.history if each.revision > self.delivered]
        if fresh:
            self.apply(fresh, fresh[-1].revision, False)

    @stateful.rule()
    def deliver_snapshot(self) -> None:
        """Deliver all entries, as after a loss of history."""
        self.needs_snapshot = False
        self.apply(list(self.entries.values()), self.revision, True)

    @stateful.rule(data=strategies.data())
    def deliver_stale(self, data: strategies.DataObject) -> None:
        """Deliver an earlier part of the history again, also of a lost one."""
        old = [
            each for each in self.lost + self.history if each.revision < self.delivered
        ]
        if old:
            first = data.draw(strategies.integers(0, len(old) - 1))
            era = revisions.get_era(old[first].revision)
            part = [
                each for each in old[first:] if revisions.get_era(each.revision) == era
            ]
            before = dict(self.balancer.dispatcher.directory.upstreams)
            self.apply(part, part[-1].revision, data.draw(strategies.booleans()))
            assert self.balancer.dispatcher.directory.upstreams == before

    @stateful.rule(version=strategies.integers(1, 9), service=SERVICES)
    def configure(self, version: int, service: str) -> None:
        """Deliver a configuration, possibly an older version."""
        route = build.build_route(shares=(routing.Share(service, 1.0),))
        configuration = build.build_configuration(version, route)
        self.balancer.dispatcher.configure(configuration, self.now)
        self.versions.append(self.balancer.dispatcher.configuration.version)

    @stateful.rule(seconds=strategies.sampled_from([0.02, 0.3, 2.5, 70.0]))
    def wait(self, seconds: float) -> None:
        """Advance the time."""
        self.now += seconds
        self.balancer.dispatcher.tick(self.now)
        self.balancer.take_queued_actions()

    @stateful.rule(answered=strategies.booleans(), finished=strategies.booleans())
    def open_flow(self, answered: bool, finished: bool) -> None:
        """Open a flow and check which upstream it is forwarded to."""
        self.port += 1
        caller = (build.CALLER[0], self.port)
        action = self.balancer.send(build.build_segment(caller=caller), self.now)
        dispatcher = self.balancer.dispatcher
        if isinstance(action, segments.Refuse):
            service = dispatcher.configuration.routes[build.TARGET].shares[0].service
            assert not [
                entry
                for entry in dispatcher.directory.list_service(service)
                if not entry.draining
            ]
            return
        assert isinstance(action, segments.Forward)
        shares = dispatcher.configuration.routes[build.TARGET].shares
        assert action.upstream.service == shares[0].service
        assert action.upstream == dispatcher.directory.upstreams[action.upstream.name]
        assert not action.upstream.draining
        self.check_registered(action.upstream)
        if answered:
            data = build.build_data(action.upstream.token, caller=caller)
            carried = self.balancer.send(data, self.now)
            assert carried == segments.Forward(action.upstream, write_token=False)
            if finished:
                end = data._replace(acknowledged=900, closing=True)
                self.balancer.send(end, self.now)

    def check_registered(self, upstream: directory.Upstream) -> None:
        """Check that a chosen upstream matches its entry at the delivered revision.

        It may match a later report that was delivered before a restoration.
        """
        report = (upstream.start_ms, upstream.sequence)
        if revisions.get_era(self.delivered) != revisions.get_era(self.revision):
            return
        seen = [
            change
            for change in self.history
            if change.name == upstream.name and change.revision <= self.delivered
        ]
        newest = seen[-1].upstream if seen else None
        if newest is None:
            assert upstream.name in self.balancer.dispatcher.directory.lapsed_at
        elif (newest.start_ms, newest.sequence) == report:
            assert newest == upstream
        else:
            assert self.lost and (newest.start_ms, newest.sequence) < report

    def apply(
        self, changes: list[directory.Change], revision: int, snapshot: bool
    ) -> None:
        """Deliver a batch."""
        dispatcher = self.balancer.dispatcher
        if revision >= self.delivered:
            for change in changes:
                if change.upstream is not None:
                    report = (change.upstream.start_ms, change.upstream.sequence)
                    known = self.reports.get(change.name, report)
                    self.reports[change.name] = max(known, report)
        dispatcher.update_directory(changes, revision, snapshot, self.now)
        self.balancer.take_queued_actions()
        self.delivered = max(self.delivered, revision)

    @stateful.invariant()
    def versions_never_decrease(self) -> None:
        """Check that versions in force and revisions never decrease."""
        assert self.versions == sorted(self.versions)
        assert self.balancer.dispatcher.directory.revision >= self.delivered

    @stateful.invariant()
    def counts_are_consistent(self) -> None:
        """Check that the outstanding requests equal the waiting flows."""
        dispatcher = self.balancer.dispatcher
        counted: dict[tuple[str, int], int] = {}
        for flow in dispatcher.flow_tracker.waiting.values():
            key = (flow.upstream.name, flow.upstream.start_ms)
            counted[key] = counted.get(key, 0) + 1
        for key, health in dispatcher.monitor.health.items():
            assert health.outstanding == counted.get(key, 0)
        assert set(dispatcher.flow_tracker.pending) <= set(
            dispatcher.flow_tracker.flows
        )
        assert set(dispatcher.flow_tracker.waiting) <= set(
            dispatcher.flow_tracker.flows
        )

    @stateful.invariant()
    def indexes_are_consistent(self) -> None:
        """Check that the indexes of the directory hold each upstream exactly once."""
        registry = self.balancer.dispatcher.directory
        listed = [each for group in registry.by_service.values() for each in group]
        assert sorted(listed) == sorted(registry.upstreams.values())
        assert set(registry.lapsed_at) <= set(registry.upstreams)
        assert not set(registry.removed) & set(registry.upstreams)
        assert set(registry.revisions) <= {*registry.removed, *registry.upstreams}

    @stateful.invariant()
    def reports_never_go_back(self) -> None:
        """Check that each upstream has the state of the last report delivered."""
        registry = self.balancer.dispatcher.directory
        for name, upstream in registry.upstreams.items():
            assert (upstream.start_ms, upstream.sequence) == self.reports[name]


TestForwarderState: typing.Any = ForwarderStateMachine.TestCase
TestForwarderState.settings = hypothesis.settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
