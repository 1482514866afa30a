"""Simulate balancers without flow state, with routers, callers, hosts and reports.

The simulation runs in virtual time. Each balancer is a real `dispatch.Dispatcher` that
exchanges reports with its peers. Callers open one flow per request, as in the users'
system. The store, configuration changes, packet loss and the bytes of responses are not
simulated.
"""

import itertools
import random
import typing
import zlib

from pistachioshed.core import (
    directory,
    dispatch,
    loadtable,
    peertable,
    reportbuilder,
    reportpacer,
    routing,
    segments,
    selection,
)
from pistachioshed.lab import fleet, hosts, tokencallers

SERVICE: typing.Final = "booking"
# One-way delays in seconds, according to the users' expected traffic.
CALLER_DELAY_S: typing.Final = 0.001
ZONE_DELAY_S: typing.Final = 0.0001
OTHER_ZONE_DELAY_S: typing.Final = 0.0009
# The fabric removes a balancer after two failed health checks of 0.5 s each.
FABRIC_REMOVAL_S: typing.Final = 1.0
TICK_S: typing.Final = 0.05
# Tick interval while a flow waits for its handshake.
PENDING_TICK_S: typing.Final = 0.02
# Sizes of encoded messages.
HEARTBEAT_BYTES: typing.Final = 5
REPORT_BYTES: typing.Final = 170


class Site(typing.NamedTuple):
    """The parameters of a deployment; times are in seconds, rates per second.

    `slots` and `queue_limit` apply to each host; `duration_factors`, which multiply the
    time that a request takes, are assigned to the hosts in turn. `work_s` is the median
    time that a request takes on a host of factor 1, `requests_per_s` the rate over all
    zones.
    """

    zones: tuple[str, ...]
    balancers: int
    hosts: int
    slots: int
    queue_limit: int
    duration_factors: tuple[float, ...]
    work_s: float
    requests_per_s: float
    target_latency_s: float
    deadline_s: float


BOOKING: typing.Final = Site(
    ("riga-a", "riga-b", "riga-c"), 8, 14, 2, 8, (0.7, 0.7, 1.7), 0.032, 375, 0.15, 1.5
)


class Balancer:
    """A balancer; `epoch` counts starts and kills, so that older ticks are ignored."""

    def __init__(self, name: str, zone: str, number: int) -> None:
        self.name = name
        self.zone = zone
        self.number = number
        self.address = (f"10.1.0.{number}", 7720)
        self.up = False
        self.down_since_s = 0.0
        self.epoch = 0
        self.dispatcher: dispatch.Dispatcher
        self.report_builder: reportbuilder.ReportBuilder


class TokenFleet:
    """The balancers, hosts and callers of one site.

    `select` is the balancers' policy for choosing upstreams. `results` holds the
    requests that ended, `shed` counts the requests rejected by a host whose queue was
    full, and `sent_bytes` is the size of the datagrams that balancers sent each other.
    """

    def __init__(self, site: Site, select: selection.Select, seed: int) -> None:
        self.site = site
        self.select = select
        self.clock = fleet.Clock()
        self.rng = random.Random(seed)
        self.rate_factor = 1.0
        self.results: list[tokencallers.Result] = []
        self.shed = 0
        self.sent_bytes = 0
        self.request_numbers = itertools.count(1)
        self.caller_ports = itertools.count(1_024)
        self.attempts: dict[str, tokencallers.Attempt] = {}
        self.upstreams = [self._build_upstream(n) for n in range(1, site.hosts + 1)]
        self.hosts = {
            upstream.token: self._build_host(
                upstream, site.duration_factors[n % len(site.duration_factors)]
            )
            for n, upstream in enumerate(self.upstreams)
        }
        zones = site.zones
        self.balancers = [
            Balancer(f"front-{n}", zones[n % len(zones)], n)
            for n in range(site.balancers)
        ]
        for balancer in self.balancers:
            self.start_balancer(balancer)

    def start_balancer(self, balancer: Balancer) -> None:
        """Start a balancer that has only the configuration, upstreams and seeds."""
        now = self.clock.now
        seeds = [other.address for other in self.balancers if other is not balancer]
        peers = peertable.PeerTable(balancer.name, balancer.zone, seeds)
        balancer.epoch += 1
        seed = balancer.number * 1_000 + balancer.epoch
        dispatcher = dispatch.Dispatcher(
            balancer.zone, peers, _ignore_event, _ignore_latency, seed
        )
        dispatcher.upstream_selector.select = self.select
        dispatcher.configure(self._build_configuration(), now)
        changes = [
            directory.Change(upstream.name, upstream, 1) for upstream in self.upstreams
        ]
        dispatcher.update_directory(changes, 1, True, now)
        identity = reportbuilder.Identity(
            balancer.name, balancer.zone, balancer.address, int(now * 1000), 1.0
        )
        balancer.dispatcher = dispatcher
        balancer.report_builder = reportbuilder.ReportBuilder(
            identity, dispatcher, reportpacer.ReportPacer()
        )
        balancer.up = True
        self._tick(balancer, balancer.epoch)

    def kill_balancer(self, balancer: Balancer, down_s: float) -> None:
        """Stop a balancer without notice and start it again after `down_s`."""
        balancer.up = False
        balancer.down_since_s = self.clock.now
        balancer.epoch += 1
        self.clock.schedule(down_s, lambda: self.start_balancer(balancer))

    def start_load(self, end_s: float) -> None:
        """Start requests as a Poisson process until `end_s`."""
        if self.clock.now >= end_s:
            return
        request = tokencallers.Request(
            next(self.request_numbers),
            self.rng.choice(self.site.zones),
            self.clock.now,
            self.rng.lognormvariate(0.0, 0.5) * self.site.work_s,
        )
        tokencallers.Attempt(self, request, tokencallers.MAX_RETRIES).start()
        wait_s = self.rng.expovariate(self.site.requests_per_s * self.rate_factor)
        self.clock.schedule(wait_s, lambda: self.start_load(end_s))

    def send(
        self, zone: str, segment: segments.Segment, attempt: tokencallers.Attempt
    ) -> None:
        """Send a caller's packet to the balancer chosen by the routers."""
        balancer = self._choose_balancer(zone, segment)
        self.clock.schedule(
            CALLER_DELAY_S,
            lambda: self._deliver_to_balancer(balancer, segment, attempt),
        )

    def has_acknowledged(self, token: int, flow: str) -> bool:
        """Return whether a host is up and has received the request of a flow."""
        host = self.hosts[token]
        return host.up and flow in host.finished_by_request

    def deliver_response(self, request: hosts.Request) -> None:
        """Deliver a host's response to the caller."""
        attempt: tokencallers.Attempt = request.path
        self.clock.schedule(CALLER_DELAY_S, attempt.receive_response)

    def _choose_balancer(self, zone: str, segment: segments.Segment) -> Balancer:
        now = self.clock.now

        def rank(balancer: Balancer) -> tuple[bool, bool, int]:
            is_removed = (
                not balancer.up and now - balancer.down_since_s > FABRIC_REMOVAL_S
            )
            weight = zlib.crc32(f"{balancer.name}{segment.caller}".encode())
            return is_removed, balancer.zone != zone, weight

        return min(self.balancers, key=rank)

    def _deliver_to_balancer(
        self,
        balancer: Balancer,
        segment: segments.Segment,
        attempt: tokencallers.Attempt,
    ) -> None:
        if not balancer.up:
            return
        now = self.clock.now
        action = balancer.dispatcher.handle(segment, b"", now)
        self._perform(balancer, action, segment, attempt)

    def _perform(
        self,
        balancer: Balancer,
        action: segments.Action,
        segment: segments.Segment,
        attempt: tokencallers.Attempt,
    ) -> None:
        if isinstance(action, segments.Refuse):
            self.clock.schedule(CALLER_DELAY_S, attempt.retry_or_fail)
        elif isinstance(action, segments.Forward):
            upstream = action.upstream
            delay_s = _find_delay(balancer.zone, upstream.zone)
            self.clock.schedule(
                delay_s, lambda: self._deliver_to_host(upstream, segment, attempt)
            )

    def _deliver_to_host(
        self,
        upstream: directory.Upstream,
        segment: segments.Segment,
        attempt: tokencallers.Attempt,
    ) -> None:
        host = self.hosts[upstream.token]
        if not host.up:
            return
        if segment.opening:
            host.open_connection(attempt.name, attempt)
            self.clock.schedule(
                CALLER_DELAY_S, lambda: attempt.receive_acceptance(upstream.token)
            )
        elif segment.length and not segment.closing:
            host_request = hosts.Request(
                attempt.name, attempt.name, attempt.request.work_s, attempt
            )
            if not host.receive_request(host_request):
                self.shed += 1
                self.clock.schedule(CALLER_DELAY_S, attempt.retry_or_fail)

    def _tick(self, balancer: Balancer, epoch: int) -> None:
        if not balancer.up or balancer.epoch != epoch:
            return
        now = self.clock.now
        dispatcher = balancer.dispatcher
        for upstream in dispatcher.tick(now):
            passed = self.hosts[upstream.token].up
            outcome: segments.ProbeOutcome = "passed" if passed else "silent"
            dispatcher.record_probe(upstream, outcome, "experiment", now)
        queued_actions, dispatcher.queued_actions = dispatcher.queued_actions, []
        for queued_action in queued_actions:
            attempt = self.attempts.get(tokencallers.name_flow(queued_action.segment))
            if attempt is not None:
                self._perform(
                    balancer, queued_action.action, queued_action.segment, attempt
                )
        self._send_due_report(balancer, now)
        wait_s = PENDING_TICK_S if dispatcher.flow_tracker.pending else TICK_S
        self.clock.schedule(wait_s, lambda: self._tick(balancer, epoch))

    def _send_due_report(self, balancer: Balancer, now: float) -> None:
        status = reportbuilder.Status(False, False, (0, 0), False)
        outgoing = balancer.report_builder.build_due_report(status, now)
        if outgoing is None:
            return
        message = outgoing.message
        is_report = isinstance(message, peertable.Report)
        message_bytes = REPORT_BYTES if is_report else HEARTBEAT_BYTES
        balancer.report_builder.record_sent(outgoing, message_bytes, now)
        datagram_bytes = message_bytes + reportpacer.DATAGRAM_HEADER_BYTES
        self.sent_bytes += datagram_bytes * len(outgoing.recipients)
        for peer in self.balancers:
            if peer.address in outgoing.recipients:
                delay_s = _find_delay(balancer.zone, peer.zone)
                self.clock.schedule(
                    delay_s, self._make_delivery(peer, balancer.address, message)
                )

    def _make_delivery(
        self, peer: Balancer, sender: tuple[str, int], message: reportbuilder.Message
    ) -> fleet.Task:
        def deliver() -> None:
            if not peer.up:
                return
            if isinstance(message, peertable.Heartbeat):
                peer.dispatcher.peers.record_heartbeat(sender, message, self.clock.now)
            elif isinstance(message, loadtable.LoadReport):
                load_table = peer.dispatcher.upstream_selector.load_table
                load_table.receive(sender, message, self.clock.now)
            else:
                peer.dispatcher.monitor.handle_peer_report(message, self.clock.now)

        return deliver

    def _build_upstream(self, number: int) -> directory.Upstream:
        zone = self.site.zones[number % len(self.site.zones)]
        address = (f"10.2.0.{number}", 8080)
        return directory.Upstream(
            f"i-{number:08x}",
            number,
            number,
            SERVICE,
            address,
            zone,
            self.site.slots,
            False,
            0.0,
            1,
            1,
        )

    def _build_host(
        self, upstream: directory.Upstream, duration_factor: float
    ) -> hosts.Host:
        host = hosts.Host(
            SERVICE,
            upstream.name,
            upstream.zone,
            self.site.slots,
            # The users' expected traffic gives factors of the time a request takes.
            1 / duration_factor,
            self.clock.schedule,
            self.deliver_response,
            _ignore_event,
        )
        host.queue_limit = self.site.queue_limit
        return host

    def _build_configuration(self) -> routing.Configuration:
        route = routing.Route(
            "check",
            tokencallers.TARGET,
            (routing.Share(SERVICE, 1.0),),
            "safe",
            self.site.deadline_s,
            self.site.target_latency_s,
            1,
        )
        limits = routing.ServiceLimits("/health", 2_000)
        return routing.Configuration(
            1, {tokencallers.TARGET: route}, {SERVICE: limits}, 15.0
        )


def _find_delay(zone: str, other_zone: str) -> float:
    return ZONE_DELAY_S if zone == other_zone else OTHER_ZONE_DELAY_S


def _ignore_event(*details: typing.Any, **fields: typing.Any) -> None:
    """Ignore an event, since experiments do not evaluate events."""


def _ignore_latency(route: str, latency_s: float) -> None:
    """Ignore a latency, since the simulated callers measure their own."""
