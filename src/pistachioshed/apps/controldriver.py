"""Performs the actions of the control policy and passes events to it."""

import collections
import typing
from collections import abc

from twisted.internet import defer, task

from pistachioshed.adapters import jsonlog, metrics
from pistachioshed.apps import storedriver
from pistachioshed.core import controlevents, digests, distribution, events, link
from pistachioshed.ports import peers, probes, store, vmlist

TICK_S: typing.Final = 0.1
CHECK_INTERVAL_S: typing.Final = 1.0


class Ports(typing.NamedTuple):
    """The external systems of a control process.

    `send_update` sends an encoded update to the local balancer.
    """

    peers: peers.Peers
    store: store.Store
    vm_list: vmlist.VmList
    prober: probes.Prober
    send_update: abc.Callable[[bytes], None]


class Driver:
    """Connect the policy of one control process to its ports and timers.

    Parameters
    ----------
    settings : controlevents.Settings
        The settings of the policy.
    seed : int
        Seed of the policy's jitter.
    seeds : tuple of controlevents.Member
        The members to use if the first read of the VM list fails, until a read
        succeeds.
    make_ports : callable
        Creates the ports; its argument is the function that receives events.
    clock : IReactorTime
        Schedules the timers.
    now : callable
        Returns the time of a monotonic clock in seconds.
    process_metrics : metrics.Metrics
        The metrics of the process.
    """

    def __init__(
        self,
        settings: controlevents.Settings,
        seed: int,
        seeds: tuple[controlevents.Member, ...],
        make_ports: abc.Callable[[peers.Deliver], Ports],
        clock: typing.Any,
        now: abc.Callable[[], float],
        process_metrics: metrics.Metrics,
    ) -> None:
        self.settings = settings
        self.policy = distribution.Distributor(settings, seed)
        self.seeds = seeds
        self.clock = clock
        self.now = now
        self.metrics = process_metrics
        self.ports = make_ports(self.dispatch)
        self.store = storedriver.StoreDriver(
            settings, self.ports.store, self.dispatch, clock, now
        )
        self.pending_events: collections.deque[controlevents.Event] = (
            collections.deque()
        )
        self.dispatching = False
        self.has_members = False
        self.reported_at: float | None = None
        self.timers: list[task.LoopingCall] = []
        self.handlers: dict[type, abc.Callable[[typing.Any], object]] = {
            controlevents.StartWatch: lambda action: self.store.start_watch(),
            controlevents.StopWatch: lambda action: self.store.stop_watch(),
            controlevents.ReadTable: lambda action: self.store.read_table(*action),
            controlevents.GrantLease: lambda action: self.store.grant_lease(*action),
            controlevents.RenewLease: lambda action: self.store.renew_lease(*action),
            controlevents.DropLease: lambda action: self.store.drop_lease(*action),
            controlevents.WriteStatus: lambda action: self.store.write_status(*action),
            controlevents.Subscribe: lambda action: self.ports.peers.subscribe(*action),
            controlevents.PublishTable: self._publish_table,
            controlevents.PublishDigest: self._publish_digest,
            controlevents.PublishProbes: self._publish_probes,
            controlevents.FetchTables: lambda action: self.ports.peers.fetch(*action),
            controlevents.AnswerFetch: lambda action: self.ports.peers.answer_fetch(
                *action
            ),
            controlevents.Deliver: self._deliver,
            controlevents.ProbeUpstream: self._probe,
            events.Notice: self._log_notice,
        }

    def start(self, list_interval_s: float) -> None:
        """Start the timers; `list_interval_s` is the time between VM list reads."""
        for function, interval_s in (
            (self.tick, TICK_S),
            (self.check_connections, CHECK_INTERVAL_S),
            (self.read_vms, list_interval_s),
        ):
            timer = task.LoopingCall(function)
            timer.clock = self.clock
            timer.start(interval_s).addErrback(self._log_error, "timer")
            self.timers.append(timer)

    async def stop(self) -> None:
        """Stop the timers, revoke the lease and close the connections to peers."""
        for timer in self.timers:
            if timer.running:
                timer.stop()
        self.store.stop_watch()
        lease = self.policy.reporter.lease
        if lease is not None:
            await self.store.drop_lease(lease.lease_id)
        self.ports.peers.close()

    def dispatch(self, event: controlevents.Event) -> None:
        """Pass an event to the policy and perform the resulting actions.

        An action may dispatch another event synchronously; that event is queued and
        handled after the current one.
        """
        self.pending_events.append(event)
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.pending_events:
                self._handle(self.pending_events.popleft())
        finally:
            self.dispatching = False

    def _handle(self, event: controlevents.Event) -> None:
        # An exception while handling one event must not end the task or timer that
        # dispatched it.
        try:
            for action in self.policy.handle(event, self.now()):
                self.handlers[type(action)](action)
        except Exception as error:
            step = f"handle {type(event).__name__}"
            jsonlog.log_exception(step, error)
            self.metrics.count("failures", step=step)

    def receive_report(self, payload: bytes) -> None:
        """Decode and dispatch a report from the local balancer."""
        try:
            report = link.decode_report(payload)
        except link.LinkError as error:
            jsonlog.log_failure("receive report", peer="balancer", error=str(error))
            return
        self.reported_at = self.now()
        self.dispatch(controlevents.ReportReceived(report))

    def tick(self) -> None:
        """Dispatch a tick to the policy."""
        self.dispatch(controlevents.Tick())

    def check_connections(self) -> None:
        """Check the store watch, and update the version and connection gauges."""
        self.store.check_watch()
        now = self.now()
        for service, version in self.policy.catalogue.list_versions().items():
            self.metrics.set_gauge("version_held", version, service=service)
        members = self.policy.members
        for name in members.subscribed_since:
            alive = not members.is_silent(name, now)
            self.metrics.set_gauge("peer_alive", alive, peer=name)
        recent = self.reported_at is not None and now - self.reported_at < 3.0
        self.metrics.set_gauge("balancer_alive", recent)
        self.metrics.set_gauge("store_alive", bool(self.policy.store_watch.available))
        status = self.policy.list_status(now).get(self.settings.name, {})
        for service, version in status.items():
            self.metrics.set_gauge("version_in_force", version, service=service)

    def read_vms(self) -> defer.Deferred[None]:
        """Read the VM list; if the read fails, the last list remains in use."""
        return self.store.spawn("read VM list", self._read_vms())

    async def _read_vms(self) -> None:
        try:
            members = await self.ports.vm_list.read()
        except vmlist.VmListError as error:
            jsonlog.log_failure(error.step, peer=error.peer, error=error.cause)
            self.metrics.count("vm_list_reads", result="failed")
            if not self.has_members:
                self.has_members = True
                self.dispatch(controlevents.MembersReceived(self.seeds))
            return
        self.metrics.count("vm_list_reads", result="answered")
        self.has_members = True
        self.dispatch(controlevents.MembersReceived(members))

    def _publish_table(self, action: controlevents.PublishTable) -> None:
        self.metrics.count("published", kind="table")
        message = digests.TableMessage(
            self.settings.name, self.settings.zone, action.table
        )
        self.ports.peers.publish(message)

    def _publish_digest(self, action: controlevents.PublishDigest) -> None:
        self.metrics.count("published", kind="digest")
        self.ports.peers.publish(action.digest)

    def _publish_probes(self, action: controlevents.PublishProbes) -> None:
        self.metrics.count("published", kind="probes")
        message = digests.ProbesMessage(self.settings.name, action.results)
        self.ports.peers.publish(message)

    def _deliver(self, action: controlevents.Deliver) -> None:
        self.ports.send_update(link.encode_message(action.update))

    def _probe(self, action: controlevents.ProbeUpstream) -> None:
        self.store.spawn("probe upstream", self._run_probe(action))

    async def _run_probe(self, action: controlevents.ProbeUpstream) -> None:
        outcome = await self.ports.prober.probe(action.address)
        if outcome is None:
            self.metrics.count("probes", result="not possible")
            return
        self.metrics.count("probes", result="ok" if outcome.ok else "failed")
        result = events.ProbeReported(action.service, action.upstream, *outcome)
        self.dispatch(controlevents.ProbeFinished(result))

    def _log_notice(self, notice: events.Notice) -> None:
        self.metrics.count("notices", notice=notice.name)
        jsonlog.log_event(notice.name, **notice.fields)

    def _log_error(self, reason: typing.Any, step: str) -> None:
        jsonlog.log_failure(step, error=reason.getTraceback())
