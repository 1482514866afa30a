"""A simulated fleet of control policies with a fake network and store.

Messages are delayed, dropped at random from a seed, or cut between groups. The store
can be down, stale or unreachable. A decrease of a version that a policy holds fails
the test; a balancer keeps the highest version delivered to it in force.
"""

import collections
import heapq
import itertools
import random
import typing
from collections import abc

from pistachioshed.adapters import bus
from pistachioshed.core import (
    controlevents,
    digests,
    distribution,
    events,
    link,
    tables,
)
from tests import builders, tablestore

STEP_S: typing.Final = 0.05
DELAY_S: typing.Final = 0.002
KEY: typing.Final = bytes(16)


class Fleet:
    """Run control policies that are connected by a faulty network.

    `groups` partitions the network: two names, or a name and "store", can reach each
    other only within the same group (group 0 by default). Names in `no_store` can
    reach everything except the store.
    """

    def __init__(self, seed: int, sizes: dict[str, int], loss: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.store = tablestore.FakeStore()
        self.groups: dict[str, int] = {}
        self.no_store: set[str] = set()
        self.paused: set[str] = set()
        self.queued_events: dict[str, list[controlevents.Event]] = {}
        self.queue: list[tuple[float, int, abc.Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.nodes: dict[str, distribution.Distributor] = {}
        self.zones: dict[str, str] = {}
        self.subscriptions: dict[str, frozenset[str]] = {}
        self.in_force: dict[str, dict[str, int]] = {}
        self.last_versions: dict[str, dict[str, int]] = {}
        self.bytes: collections.Counter[str] = collections.Counter()
        self.fetched_from: collections.Counter[str] = collections.Counter()
        self.notices: list[tuple[str, events.Notice]] = []
        self.refused_writes: list[str] = []
        self.probed: collections.Counter[tuple[str, str]] = collections.Counter()
        for zone, size in sizes.items():
            self.zones |= {f"{zone}-{number}": zone for number in range(size)}
        self.members = tuple(
            builders.build_member(name, zone) for name, zone in self.zones.items()
        )

    def boot(self, *names: str) -> None:
        """Start or restart some or all control processes without any state."""
        for name in names or self.zones:
            settings = controlevents.Settings(name, self.zones[name])
            self.nodes[name] = distribution.Distributor(
                settings, self.rng.getrandbits(32)
            )
            self.subscriptions[name] = frozenset()
            self.last_versions[name] = {}
            self.in_force[name] = {}
            self.store.watchers.discard(name)
        for name in names or self.zones:
            self.dispatch(name, controlevents.MembersReceived(self.members))

    def stop(self, name: str) -> None:
        """Stop a control process abruptly."""
        del self.nodes[name]
        self.store.watchers.discard(name)

    def write(self, table: tables.Table) -> None:
        """Write a table to the store without checking the version that it replaces."""
        store = self.store
        store.revision += 1
        store.tables[table.service] = controlevents.StoreTable(table, store.revision)
        for name in sorted(store.watchers):
            if self.can_reach(name, "store") and store.stale is None:
                stored = store.tables[table.service]
                self.dispatch_after(DELAY_S, name, stored)

    def can_reach(self, one: str, other: str) -> bool:
        """Return whether two parties can communicate now."""
        if "store" in (one, other) and (self.store.down or one in self.no_store):
            return False
        return self.groups.get(one, 0) == self.groups.get(other, 0)

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        for _ in range(round(seconds / STEP_S)):
            self.now = round(self.now + STEP_S, 6)
            while self.queue and self.queue[0][0] <= self.now:
                heapq.heappop(self.queue)[2]()
            step = round(self.now / STEP_S)
            for number, name in enumerate(sorted(self.nodes)):
                if (step + number) % 20 == 0:
                    report = link.Report(
                        name, self.zones[name], "active", self.in_force[name], ()
                    )
                    self.dispatch(name, controlevents.ReportReceived(report))
                if step % 2 == 0:
                    self.dispatch(name, controlevents.Tick())

    def run_until(self, condition: abc.Callable[[], bool], limit_s: float) -> float:
        """Advance the time until a condition holds and return how long it took."""
        start = self.now
        while not condition():
            assert self.now - start < limit_s, "the condition did not hold in time"
            self.run(STEP_S)
        return self.now - start

    def is_in_force(self, version: int, service: str = "booking") -> bool:
        """Return whether all running nodes have a version in force."""
        return all(
            self.in_force[name].get(service, 0) == version for name in self.nodes
        )

    def dispatch_after(
        self, delay_s: float, name: str, event: controlevents.Event
    ) -> None:
        """Dispatch an event to a node after a delay."""
        self.call_later(delay_s, lambda: self.dispatch(name, event))

    def call_later(self, delay_s: float, call: abc.Callable[[], None]) -> None:
        """Call a function after a delay."""
        heapq.heappush(self.queue, (self.now + delay_s, next(self.sequence), call))

    def pause(self, name: str) -> None:
        """Pause a control process; events other than ticks are queued."""
        self.paused.add(name)

    def resume(self, name: str) -> None:
        """Resume a paused control process and dispatch its queued events."""
        self.paused.discard(name)
        for event in self.queued_events.pop(name, []):
            self.dispatch(name, event)

    def dispatch(self, name: str, event: controlevents.Event) -> None:
        """Pass an event to a node and perform the resulting actions."""
        if name in self.paused:
            if not isinstance(event, controlevents.Tick):
                self.queued_events.setdefault(name, []).append(event)
            return
        if name not in self.nodes:
            return
        node = self.nodes[name]
        for action in node.handle(event, self.now):
            self.perform(name, action)
        held = node.catalogue.list_versions()
        check_versions(name, self.last_versions[name], held)
        self.last_versions[name] = held

    def perform(self, name: str, action: controlevents.Action) -> None:
        """Perform an action."""
        store = self.store
        match action:
            case controlevents.Subscribe(peers):
                self.subscriptions[name] = frozenset(peer for peer, _ in peers)
            case controlevents.PublishDigest(digest):
                self.publish(name, digest, controlevents.DigestReceived(digest))
            case controlevents.PublishTable(table):
                message = digests.TableMessage(name, self.zones[name], table)
                self.publish(name, message, controlevents.TableReceived(*message))
            case controlevents.PublishProbes(results):
                probes = digests.ProbesMessage(name, results)
                self.publish(name, probes, controlevents.ProbesReceived(*probes))
            case controlevents.FetchTables(peer, _, held_versions):
                self.fetch(name, peer, held_versions)
            case controlevents.Deliver(update):
                for table in update.tables:
                    version = self.in_force[name].get(table.service, 0)
                    self.in_force[name][table.service] = max(version, table.version)
            case controlevents.StartWatch():
                self.start_watch(name)
            case controlevents.StopWatch():
                store.watchers.discard(name)
            case controlevents.ReadTable(service):
                store.calls["get"] += 1
                if self.can_reach(name, "store") and service in store.tables:
                    self.dispatch_after(DELAY_S, name, store.tables[service])
            case controlevents.ProbeUpstream(service, upstream, _):
                self.probed[name, upstream] += 1
                result = events.ProbeReported(service, upstream, True, load=0.5)
                self.dispatch_after(DELAY_S, name, controlevents.ProbeFinished(result))
            case events.Notice():
                self.notices.append((name, action))
            case _:
                self.perform_reporter_action(name, action)

    def start_watch(self, name: str) -> None:
        """Read all tables and watch them; retry each second if the store is cut off."""
        store = self.store
        store.calls["get_prefix"] += 1
        if not self.can_reach(name, "store"):
            self.dispatch_after(DELAY_S, name, controlevents.StoreUnavailable("cut"))
            self.call_later(1.0, lambda: self.retry_watch(name))
            return
        store.calls["watch"] += 1
        store.watchers.add(name)
        for stored in store.list_tables():
            self.dispatch_after(DELAY_S, name, stored)
        self.dispatch_after(DELAY_S, name, controlevents.StoreRead(store.revision))

    def retry_watch(self, name: str) -> None:
        """Retry a failed watch if it is still wanted."""
        wanted = name in self.nodes and self.nodes[name].store_watch.active
        if wanted and name not in self.store.watchers:
            self.start_watch(name)

    def heal(self) -> None:
        """End all faults; the watches then deliver the changes that they missed."""
        self.groups.clear()
        self.no_store.clear()
        self.store.down = False
        for name in sorted(self.store.watchers):
            for stored in self.store.list_tables():
                self.dispatch_after(DELAY_S, name, stored)

    def publish(
        self, name: str, message: digests.Message, event: controlevents.Event
    ) -> None:
        """Send a publication to each reachable subscriber unless it is lost."""
        topic = bus.TOPICS[type(message)]
        size = len(digests.encode_message(message, topic, KEY))
        for other, peers in self.subscriptions.items():
            if name in peers and other in self.nodes and self.can_reach(name, other):
                self.bytes[name] += size
                if self.rng.random() >= self.loss:
                    self.bytes[other] += size
                    self.dispatch_after(DELAY_S, other, event)

    def fetch(self, name: str, peer: str, held_versions: dict[str, int]) -> None:
        """Fetch newer tables from a peer."""
        self.fetched_from[peer] += 1
        if peer not in self.nodes or not self.can_reach(name, peer):
            self.dispatch_after(1.0, name, controlevents.FetchFailed(peer, "cut"))
            return

        def answer() -> None:
            if peer not in self.nodes:
                return
            request = controlevents.FetchRequested(1, held_versions)
            (found,) = self.nodes[peer].handle(request, self.now)[:1]
            assert isinstance(found, controlevents.AnswerFetch)
            reply = digests.FetchReply(peer, found.tables)
            size = len(digests.encode_message(reply, b"r", KEY))
            self.bytes[name] += size
            self.bytes[peer] += size
            self.dispatch_after(
                DELAY_S, name, controlevents.FetchAnswered(peer, found.tables)
            )

        self.call_later(DELAY_S, answer)

    def perform_reporter_action(self, name: str, action: controlevents.Action) -> None:
        """Perform an action on the reporter key of the node's zone."""
        store, zone = self.store, self.zones[name]
        held = store.reporters.get(zone)
        if held is not None and held[2] <= self.now:
            del store.reporters[zone]
            held = None
        store.calls[type(action).__name__] += 1
        if not self.can_reach(name, "store"):
            return
        match action:
            case controlevents.GrantLease(ttl_s):
                if held is not None:
                    self.dispatch_after(DELAY_S, name, controlevents.LeaseLost("held"))
                    return
                store.revision += 1
                store.reporters[zone] = (name, store.revision, self.now + ttl_s)
                granted = controlevents.LeaseGranted(store.revision, store.revision)
                self.dispatch_after(DELAY_S, name, granted)
            case controlevents.RenewLease(lease):
                if held is None or held[1] != lease:
                    self.dispatch_after(
                        DELAY_S, name, controlevents.LeaseLost("expired")
                    )
                    return
                ttl_s = self.nodes[name].settings.lease_ttl_s
                store.reporters[zone] = (name, lease, self.now + ttl_s)
                self.dispatch_after(
                    DELAY_S, name, controlevents.LeaseRenewed(lease, self.now)
                )
            case controlevents.DropLease(lease):
                if held is not None and held[1] == lease:
                    del store.reporters[zone]
            case controlevents.WriteStatus(fence, status):
                if held is None or held[1] != fence:
                    self.refused_writes.append(name)
                    self.dispatch_after(DELAY_S, name, controlevents.LeaseLost("fence"))
                    return
                store.status[zone] = (name, status)
                self.dispatch_after(DELAY_S, name, controlevents.StatusWritten())


def check_versions(name: str, before: dict[str, int], after: dict[str, int]) -> None:
    """Fail if a version decreased."""
    for service, version in before.items():
        assert after.get(service, 0) >= version, f"{name}: {service} version decreased"
