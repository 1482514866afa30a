"""The UDP sockets of the balancer and the packet path between them and the core."""

import collections
import functools
import ipaddress
import socket
import typing
from collections import abc

from twisted.internet import error, protocol

from pistachioshed.adapters import jsonlog, quic, relay
from pistachioshed.core import addresses, events, tables

Address = tuple[str, int]
Send = abc.Callable[[bytes, Address], int]
# Holds a burst of a fleet's packets that arrives during a garbage collection pause.
RECEIVE_BUFFER_BYTES: typing.Final = 4 * 1024 * 1024
MAX_PEERS: typing.Final = 8_192
CACHED_FLOWS: typing.Final = 65_536


class PacketHandler(typing.Protocol):
    """The interface of `core.node.Node` that the packet path uses."""

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Return the actions to perform in response to an event."""


class UpstreamPort(protocol.DatagramProtocol):
    """The UDP socket of one port slot, for datagrams to and from upstreams.

    `port` is the number of the slot. `upstreams_by_address` maps the address of each
    upstream that the socket has sent to, to the upstream's name.
    """

    transport: typing.Any
    noisy = False
    send: Send

    def __init__(self, service: str, port: int, packet_path: "Datagrams") -> None:
        self.service = service
        self.port = port
        self.packet_path = packet_path
        self.upstreams_by_address: dict[Address, str] = {}

    def datagramReceived(self, datagram: bytes, addr: typing.Any) -> None:
        """Accept a datagram only from an upstream that the socket has sent to."""
        upstream = self.upstreams_by_address.get(addr)
        if upstream is None:
            self.packet_path.counts["dropped", "upstream_address"] += 1
            return
        self.packet_path.receive_upstream(self, upstream, datagram)


class Listener(protocol.DatagramProtocol):
    """The UDP socket to which the fabric delivers a service's datagrams."""

    transport: typing.Any
    noisy = False
    send: Send

    def __init__(self, service: str, packet_path: "Datagrams") -> None:
        self.service = service
        self.packet_path = packet_path

    def datagramReceived(self, datagram: bytes, addr: typing.Any) -> None:
        """Pass a caller's datagram to the packet path."""
        self.packet_path.receive_caller(self.service, datagram, addr)


class PeerPort(protocol.DatagramProtocol):
    """The UDP socket for relayed packets and control messages of other balancers."""

    transport: typing.Any
    noisy = False
    send: Send

    def __init__(self, packet_path: "Datagrams") -> None:
        self.packet_path = packet_path

    def datagramReceived(self, datagram: bytes, addr: typing.Any) -> None:
        """Pass a peer's datagram to the packet path."""
        self.packet_path.receive_peer(datagram, addr)


class Datagrams:
    """Pass received datagrams to the core and perform the actions that it returns.

    `counts` holds totals by metric and label. They are plain integers, since a counter
    of a metrics library takes more time than the decision about a packet.

    Parameters
    ----------
    packet_handler : PacketHandler
        The core.
    key : bytes
        Authenticates relayed datagrams.
    host : str
        The local address of the sockets towards upstreams.
    reactor : IReactorUDP
        Opens the sockets.
    clock : callable
        Returns the time of a monotonic clock in seconds.
    on_finished : callable, optional
        Called when the core has completed a graceful stop.
    """

    def __init__(
        self,
        packet_handler: PacketHandler,
        key: bytes,
        host: str,
        reactor: typing.Any,
        clock: abc.Callable[[], float],
        on_finished: abc.Callable[[], None] = lambda: None,
    ) -> None:
        self.packet_handler = packet_handler
        self.key = key
        self.host = host
        self.reactor = reactor
        self.clock = clock
        self.on_finished = on_finished
        self.counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self.listeners: dict[str, Listener] = {}
        self.upstream_ports: dict[tuple[str, int], UpstreamPort] = {}
        self.peer_port = PeerPort(self)
        self.peers: dict[str, Address] = {}
        self.peer_names: dict[Address, str] = {}
        self.ports: list[typing.Any] = []
        self.pack_flow = functools.lru_cache(CACHED_FLOWS)(relay.pack_flow)
        self.unpack_flow = functools.lru_cache(CACHED_FLOWS)(relay.unpack_flow)
        self.parse_address = functools.lru_cache(tables.ROWS_MAX)(parse_address)

    def open_listener(self, service: str, address: Address) -> None:
        """Open the socket for a service's callers."""
        self.listeners[service] = Listener(service, self)
        self._listen(self.listeners[service], address)

    def open_peer_port(self, address: Address) -> None:
        """Open the socket for the other balancers."""
        self._listen(self.peer_port, address)

    def add_peers(self, peers: dict[str, str]) -> None:
        """Accept relayed packets and control messages from these addresses.

        `peers` maps names to "ip:port". Peers that are missing from a later VM list are
        kept, since the list may be out of date and membership is decided by the core.
        Beyond `MAX_PEERS`, the peers that were added or updated the longest time ago
        are removed.
        """
        for name, text in peers.items():
            self.peers.pop(name, None)
            self.peers[name] = parse_address(text)
        excess = max(0, len(self.peers) - MAX_PEERS)
        for name in list(self.peers)[:excess]:
            del self.peers[name]
        self.peer_names = {address: name for name, address in self.peers.items()}

    def close(self) -> None:
        """Close all sockets."""
        for port in self.ports:
            port.stopListening()

    def handle(self, event: events.Event) -> None:
        """Pass an event without a packet to the core and perform its actions."""
        self._perform(self.packet_handler.handle(event, self.clock()), b"", "", b"")

    def receive_caller(self, service: str, data: bytes, address: Address) -> None:
        """Handle a caller's datagram that the fabric delivered."""
        classified = quic.classify_datagram(data)
        if classified.kind is None:
            self.counts["dropped", classified.reason] += 1
            return
        if classified.early_data_offset:
            data = quic.blank_early_data(data, classified.early_data_offset)
            self.counts["dropped", "early_data"] += 1
        flow = self.pack_flow(address)
        event = events.CallerPacket(
            service,
            flow,
            classified.kind,
            classified.opening_id,
            classified.may_carry_request,
        )
        actions = self.packet_handler.handle(event, self.clock())
        self._perform(actions, data, service, flow)

    def receive_peer(self, data: bytes, address: Address) -> None:
        """Handle a control message or relayed packet from another balancer."""
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
        actions = self.packet_handler.handle(event, self.clock())
        self._perform(actions, data, service, flow)

    def receive_upstream(
        self, upstream_port: UpstreamPort, upstream: str, data: bytes
    ) -> None:
        """Handle a datagram from an upstream, received on one of its port slots."""
        event = events.UpstreamPacket(
            upstream_port.service,
            upstream,
            upstream_port.port,
            len(data) > quic.MAX_ACK_BYTES,
        )
        actions = self.packet_handler.handle(event, self.clock())
        self._perform(actions, data, upstream_port.service, b"")

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
                    relay.RelayedDatagram(service, flow, data),
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
            self.on_finished()

    def _send_upstream(self, action: events.SendUpstream, data: bytes) -> None:
        upstream_port = self.upstream_ports.get((action.service, action.port))
        if upstream_port is None:
            upstream_port = UpstreamPort(action.service, action.port, self)
            try:
                self._listen(upstream_port, (self.host, 0))
            except error.CannotListenError as fault:
                self.counts["dropped", "no_port"] += 1
                jsonlog.log_failure("open port", peer=action.address, error=str(fault))
                return
            self.upstream_ports[action.service, action.port] = upstream_port
        address = self.parse_address(action.address)
        upstream_port.upstreams_by_address[address] = action.upstream
        self._write(upstream_port, data, address, "forwarded")

    def _send_peer(self, peer: str, payload: bytes, metric: str) -> None:
        address = self.peers.get(peer)
        if address is None:
            self.counts["dropped", "unknown_peer"] += 1
            return
        self._write(self.peer_port, payload, address, metric)

    def _write(
        self,
        port: UpstreamPort | Listener | PeerPort,
        data: bytes,
        address: Address,
        metric: str,
    ) -> None:
        try:
            port.send(data, address)
        except OSError:
            # The send buffer is full or there is no route; callers and peers resend.
            self.counts["dropped", "send_failed"] += 1
            return
        self.counts[metric, ""] += 1

    def _listen(
        self, port: UpstreamPort | Listener | PeerPort, address: Address
    ) -> None:
        host, number = address
        listening = self.reactor.listenUDP(number, port, interface=host)
        handle = port.transport.getHandle()
        # `transport.write` validates the address on each call, which lowers the
        # throughput from 55,000 to 45,000 datagrams per second of CPU time
        # (tools/bench_udp.py).
        port.send = handle.sendto
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.ports.append(listening)


def parse_address(text: str) -> Address:
    """Parse "ip:port" into the form in which the kernel reports a sender's address."""
    host, port = addresses.parse_address(text)
    return str(ipaddress.ip_address(host)), port
