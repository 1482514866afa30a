"""The balancer's UDP sockets, and the packet path between them and the core."""

import collections
import functools
import ipaddress
import socket
import typing
from collections import abc

from twisted.internet import error, protocol

from pistachioshed.adapters import jsonlog, quic, relay
from pistachioshed.core import events, tables

Address = tuple[str, int]
Send = abc.Callable[[bytes, Address], int]
# A burst of a fleet's packets while the process is in a garbage collection.
RECEIVE_BUFFER_BYTES: typing.Final = 4 * 1024 * 1024
MAX_PEERS: typing.Final = 8_192
CACHED_FLOWS: typing.Final = 65_536


class Decider(typing.Protocol):
    """The part of `core.node.Node` that the packet path needs."""

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Return the actions that an event leads to."""


class Slot(protocol.DatagramProtocol):
    """One upstream-side port; `bound` maps an upstream's address to its name."""

    transport: typing.Any
    noisy = False
    send: Send

    def __init__(self, service: str, port: int, path: "Datagrams") -> None:
        self.service = service
        self.port = port
        self.path = path
        self.bound: dict[Address, str] = {}

    def datagramReceived(self, datagram: bytes, addr: typing.Any) -> None:
        """Accept a datagram only from an upstream that the slot was used for."""
        upstream = self.bound.get(addr)
        if upstream is None:
            self.path.counts["dropped", "upstream_address"] += 1
            return
        self.path.receive_upstream(self, upstream, datagram)


class Listener(protocol.DatagramProtocol):
    """The port that the fabric delivers a service's datagrams to."""

    transport: typing.Any
    noisy = False
    send: Send

    def __init__(self, service: str, path: "Datagrams") -> None:
        self.service = service
        self.path = path

    def datagramReceived(self, datagram: bytes, addr: typing.Any) -> None:
        """Hand a caller's datagram to the packet path."""
        self.path.receive_caller(self.service, datagram, addr)


class PeerPort(protocol.DatagramProtocol):
    """The port for relayed packets and control messages."""

    transport: typing.Any
    noisy = False
    send: Send

    def __init__(self, path: "Datagrams") -> None:
        self.path = path

    def datagramReceived(self, datagram: bytes, addr: typing.Any) -> None:
        """Hand a peer's datagram to the packet path."""
        self.path.receive_peer(datagram, addr)


class Datagrams:
    """Receives datagrams, asks the core, and carries out what it decides.

    `counts` holds (metric, label) totals; plain integers, since a metrics library's
    counter costs more than the decision about a packet.
    """

    def __init__(
        self,
        decider: Decider,
        key: bytes,
        host: str,
        reactor: typing.Any,
        clock: abc.Callable[[], float],
        finish: abc.Callable[[], None] = lambda: None,
    ) -> None:
        self.decider = decider
        self.key = key
        self.host = host
        self.reactor = reactor
        self.clock = clock
        self.finish = finish
        self.counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self.listeners: dict[str, Listener] = {}
        self.slots: dict[tuple[str, int], Slot] = {}
        self.peer_port = PeerPort(self)
        self.peers: dict[str, Address] = {}
        self.peer_names: dict[Address, str] = {}
        self.ports: list[typing.Any] = []
        self.pack_flow = functools.lru_cache(CACHED_FLOWS)(relay.pack_flow)
        self.unpack_flow = functools.lru_cache(CACHED_FLOWS)(relay.unpack_flow)
        self.parse_address = functools.lru_cache(tables.ROWS_MAX)(parse_address)

    def open_listener(self, service: str, address: Address) -> None:
        """Listen for a service's callers."""
        self.listeners[service] = Listener(service, self)
        self._listen(self.listeners[service], address)

    def open_peer_port(self, address: Address) -> None:
        """Listen for the other balancers."""
        self._listen(self.peer_port, address)

    def add_peers(self, peers: dict[str, str]) -> None:
        """Accept relays and messages of peers, by name, from their addresses.

        Peers that the VM list no longer shows stay: the list lags, and the core decides
        about their membership.
        """
        for name, text in peers.items():
            self.peers.pop(name, None)
            self.peers[name] = parse_address(text)
        for name in list(self.peers)[: len(self.peers) - MAX_PEERS]:
            del self.peers[name]
        self.peer_names = {address: name for name, address in self.peers.items()}

    def close(self) -> None:
        """Close all sockets."""
        for port in self.ports:
            port.stopListening()

    def handle(self, event: events.Event) -> None:
        """Feed an event without a packet into the core."""
        self._perform(self.decider.handle(event, self.clock()), b"", "", b"")

    def receive_caller(self, service: str, data: bytes, address: Address) -> None:
        """Handle a datagram that the fabric delivered."""
        classified = quic.classify_datagram(data)
        if classified.kind is None:
            self.counts["dropped", classified.reason] += 1
            return
        if classified.early_data_at:
            data = quic.blank_early_data(data, classified.early_data_at)
            self.counts["dropped", "early_data"] += 1
        flow = self.pack_flow(address)
        event = events.CallerPacket(
            service,
            flow,
            classified.kind,
            classified.opening_id,
            classified.may_carry_request,
        )
        actions = self.decider.handle(event, self.clock())
        self._perform(actions, data, service, flow)

    def receive_peer(self, data: bytes, address: Address) -> None:
        """Handle a control message or relayed packet of another balancer."""
        peer = self.peer_names.get(address)
        if peer is None:
            self.counts["dropped", "peer_address"] += 1
        elif data[:1] == bytes((relay.CONTROL,)):
            self.counts["control_bytes", "in"] += len(data)
            self.handle(events.PeerMessage(peer, data[1:]))
        elif data[:1] == bytes((relay.RELAY,)):
            self._receive_relay(peer, data)
        else:
            self.counts["dropped", "peer_kind"] += 1

    def _receive_relay(self, peer: str, payload: bytes) -> None:
        try:
            service, flow, data = relay.decode_relay(payload, self.key)
        except relay.RelayError as fault:
            self.counts["dropped", fault.reason] += 1
            return
        classified = quic.classify_datagram(data)
        if classified.kind is None or service not in self.listeners:
            self.counts["dropped", classified.reason or "relay_service"] += 1
            return
        event = events.RelayedPacket(
            peer,
            service,
            flow,
            classified.kind,
            classified.opening_id,
            classified.may_carry_request,
        )
        actions = self.decider.handle(event, self.clock())
        self._perform(actions, data, service, flow)

    def receive_upstream(self, slot: Slot, upstream: str, data: bytes) -> None:
        """Handle a datagram of the upstream that a slot is bound to."""
        event = events.UpstreamPacket(
            slot.service,
            upstream,
            slot.port,
            len(data) > quic.MAX_ACK_BYTES,
        )
        actions = self.decider.handle(event, self.clock())
        self._perform(actions, data, slot.service, b"")

    def _perform(
        self,
        actions: list[events.Action],
        data: bytes,
        service: str,
        flow: bytes,
    ) -> None:
        for action in actions:
            if isinstance(action, events.SendUpstream):
                self._send_upstream(action, data)
            elif isinstance(action, events.SendCaller):
                listener = self.listeners[action.service]
                self._write(listener, data, self.unpack_flow(action.flow), "returned")
            elif isinstance(action, events.SendOwner):
                framed = relay.encode_relay(
                    relay.Relayed(service, flow, data),
                    self.key,
                )
                self._send_peer(action.peer, framed, "relayed")
            elif isinstance(action, events.SendPeer):
                payload = bytes((relay.CONTROL,)) + action.payload
                self.counts["control_bytes", "out"] += len(payload)
                self._send_peer(action.peer, payload, "control")
            else:
                self._perform_rare(action, data, service, flow)

    def _perform_rare(
        self,
        action: events.Action,
        data: bytes,
        service: str,
        flow: bytes,
    ) -> None:
        if isinstance(action, events.DropPacket):
            self.counts["dropped", action.reason] += 1
        elif isinstance(action, events.RefuseOpening):
            self.counts["refused", action.reason] += 1
            refusal = quic.build_refusal(data)
            listener = self.listeners[service]
            self._write(listener, refusal, self.unpack_flow(flow), "refusals")
        elif isinstance(action, events.Notice):
            jsonlog.log_event(action.name, **action.fields)
        elif isinstance(action, events.Finished):
            self.finish()

    def _send_upstream(self, action: events.SendUpstream, data: bytes) -> None:
        slot = self.slots.get((action.service, action.port))
        if slot is None:
            slot = Slot(action.service, action.port, self)
            try:
                self._listen(slot, (self.host, 0))
            except error.CannotListenError as fault:
                self.counts["dropped", "no_port"] += 1
                jsonlog.log_failure("open port", peer=action.address, error=str(fault))
                return
            self.slots[action.service, action.port] = slot
        address = self.parse_address(action.address)
        slot.bound[address] = action.upstream
        self._write(slot, data, address, "forwarded")

    def _send_peer(self, peer: str, payload: bytes, metric: str) -> None:
        address = self.peers.get(peer)
        if address is None:
            self.counts["dropped", "unknown_peer"] += 1
            return
        self._write(self.peer_port, payload, address, metric)

    def _write(
        self,
        port: Slot | Listener | PeerPort,
        data: bytes,
        address: Address,
        metric: str,
    ) -> None:
        try:
            port.send(data, address)
        except OSError:
            # A full send buffer or a lost route; callers and peers send again.
            self.counts["dropped", "send_failed"] += 1
            return
        self.counts[metric, ""] += 1

    def _listen(self, port: Slot | Listener | PeerPort, address: Address) -> None:
        host, number = address
        listening = self.reactor.listenUDP(number, port, interface=host)
        handle = port.transport.getHandle()
        # `transport.write` checks the address on each call: 45,000 datagrams per
        # processor second, against 55,000 without (medians of tools/bench_udp.py).
        port.send = handle.sendto
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.ports.append(listening)


def parse_address(text: str) -> Address:
    """Parse "ip:port" into the form in which the kernel reports a sender."""
    host, port = tables.parse_address(text)
    return str(ipaddress.ip_address(host)), port
