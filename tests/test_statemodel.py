"""A model of a forwarder's state: entries, lapses, restarts, reuse, stale batches."""

import typing

import hypothesis
from hypothesis import stateful, strategies

from pistachioshed.core import directory, routing, segments
from tests import dispatchbuilders as build

NUMBERS = strategies.integers(1, 5)
SERVICES = strategies.sampled_from(["booking", "sheets"])


class ForwarderStateMachine(stateful.RuleBasedStateMachine):
    """Plays a store's history against a forwarder that may see it late or twice.

    `entries` is the truth at the store, `history` all that was ever written.
    """

    def __init__(self) -> None:
        super().__init__()
        self.balancer = build.Balancer()
        self.now = 0.0
        self.revision = 1
        self.entries: dict[str, directory.Change] = {}
        self.history: list[directory.Change] = []
        self.delivered = 0
        self.versions = [1]
        self.port = 1024

    def write(self, name: str, upstream: directory.Upstream | None) -> None:
        """Change the store."""
        self.revision += 1
        change = directory.Change(name, upstream, self.revision)
        self.history.append(change)
        if upstream is None:
            self.entries.pop(name, None)
        else:
            self.entries[name] = change

    @stateful.rule(number=NUMBERS, service=SERVICES, address=NUMBERS)
    def register(self, number: int, service: str, address: int) -> None:
        """Start a host, perhaps at an address that another one had."""
        name = f"i-{number:08x}"
        if name in self.entries:
            return
        upstream = build.build_upstream(
            number,
            service=service,
            address=(f"10.1.64.{address}", 8080),
            start_ms=self.revision,
        )
        self.write(name, upstream)

    @stateful.rule(number=NUMBERS)
    def drain(self, number: int) -> None:
        """Let a host announce its end."""
        change = self.entries.get(f"i-{number:08x}")
        if change is not None and change.upstream is not None:
            self.write(change.name, change.upstream._replace(draining=True))

    @stateful.rule(number=NUMBERS)
    def remove(self, number: int) -> None:
        """Remove an entry, with or without a notice."""
        name = f"i-{number:08x}"
        if name in self.entries:
            self.write(name, None)

    @stateful.rule()
    def deliver_changes(self) -> None:
        """Deliver what a watch returns."""
        fresh = [each for each in self.history if each.revision > self.delivered]
        if fresh:
            self.apply(fresh, fresh[-1].revision, False)

    @stateful.rule()
    def deliver_snapshot(self) -> None:
        """Deliver all entries, as after lost history."""
        self.apply(list(self.entries.values()), self.revision, True)

    @stateful.rule(data=strategies.data())
    def deliver_stale(self, data: strategies.DataObject) -> None:
        """Deliver an old part of the history again."""
        old = [each for each in self.history if each.revision < self.delivered]
        if old:
            first = data.draw(strategies.integers(0, len(old) - 1))
            part = old[first:]
            before = dict(self.balancer.dispatcher.directory.upstreams)
            self.apply(part, part[-1].revision, data.draw(strategies.booleans()))
            assert self.balancer.dispatcher.directory.upstreams == before

    @stateful.rule(version=strategies.integers(1, 9), service=SERVICES)
    def configure(self, version: int, service: str) -> None:
        """Deliver a configuration, perhaps an old one."""
        route = build.build_route(shares=(routing.Share(service, 1.0),))
        configuration = build.build_configuration(version, route)
        self.balancer.dispatcher.configure(configuration, self.now)
        self.versions.append(self.balancer.dispatcher.configuration.version)

    @stateful.rule(seconds=strategies.sampled_from([0.02, 0.3, 2.5, 70.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds
        self.balancer.dispatcher.tick(self.now)
        self.balancer.take_orders()

    @stateful.rule(answered=strategies.booleans(), finished=strategies.booleans())
    def open_flow(self, answered: bool, finished: bool) -> None:
        """Open a flow and check where it goes."""
        self.port += 1
        caller = (build.CALLER[0], self.port)
        action = self.balancer.send(build.build_segment(caller=caller), self.now)
        known = self.balancer.dispatcher
        if isinstance(action, segments.Refuse):
            service = known.configuration.routes[build.TARGET].shares[0].service
            assert not [
                entry
                for entry in known.directory.list_service(service)
                if not entry.draining
            ]
            return
        assert isinstance(action, segments.Forward)
        shares = known.configuration.routes[build.TARGET].shares
        assert action.upstream.service == shares[0].service
        assert action.upstream == known.directory.upstreams[action.upstream.name]
        assert not action.upstream.draining
        self.check_truth(action.upstream)
        if answered:
            data = build.build_data(action.upstream.token, caller=caller)
            carried = self.balancer.send(data, self.now)
            assert carried == segments.Forward(action.upstream, mark=False)
            if finished:
                end = data._replace(acknowledged=900, closing=True)
                self.balancer.send(end, self.now)

    def check_truth(self, upstream: directory.Upstream) -> None:
        """Check that a chosen upstream was registered so at the revision known."""
        seen = [
            change
            for change in self.history
            if change.name == upstream.name and change.revision <= self.delivered
        ]
        newest = seen[-1]
        if newest.upstream is None:
            assert upstream.name in self.balancer.dispatcher.directory.lapsed_at
        else:
            assert newest.upstream == upstream

    def apply(
        self, changes: list[directory.Change], revision: int, snapshot: bool
    ) -> None:
        """Deliver a batch."""
        known = self.balancer.dispatcher
        known.update_directory(changes, revision, snapshot, self.now)
        self.balancer.take_orders()
        self.delivered = max(self.delivered, revision)

    @stateful.invariant()
    def versions_never_fall(self) -> None:
        """Check the order of versions in force and of revisions."""
        assert self.versions == sorted(self.versions)
        assert self.balancer.dispatcher.directory.revision >= self.delivered

    @stateful.invariant()
    def counts_agree(self) -> None:
        """Check that outstanding requests are those of the waiting flows."""
        known = self.balancer.dispatcher
        counted: dict[tuple[str, int], int] = {}
        for flow in known.book.waiting.values():
            key = (flow.upstream.name, flow.upstream.start_ms)
            counted[key] = counted.get(key, 0) + 1
        for key, health in known.monitor.health.items():
            assert health.outstanding == counted.get(key, 0)
        assert set(known.book.pending) <= set(known.book.flows)
        assert set(known.book.waiting) <= set(known.book.flows)

    @stateful.invariant()
    def index_agrees(self) -> None:
        """Check that the indices of the directory hold its upstreams, each once."""
        known = self.balancer.dispatcher.directory
        listed = [each for group in known.by_service.values() for each in group]
        assert sorted(listed) == sorted(known.upstreams.values())
        assert set(known.lapsed_at) <= set(known.upstreams)
        assert not set(known.removed) & set(known.upstreams)


TestForwarderState: typing.Any = ForwarderStateMachine.TestCase
TestForwarderState.settings = hypothesis.settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
