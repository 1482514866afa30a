"""The socket on which callers' packets arrive and from which they are sent on."""

import collections
import socket
import typing
from collections import abc

from pistachioshed.core import admission, dispatch, segments

# A burst of the users' grown tables on one machine, 400 packets of 1.3 kB.
RECEIVE_BUFFER_BYTES: typing.Final = 1_048_576
DATAGRAM_MAX_BYTES: typing.Final = 2_048
PACKETS_PER_RECEIVE_MAX: typing.Final = (
    64  # Timers and other sockets get their turn after it.
)

Count = abc.Callable[..., None]


class Codec(typing.NamedTuple):
    """Functions that translate packets; `decode` raises `ValueError`."""

    decode: abc.Callable[[bytes], segments.Segment]
    encode_forward: abc.Callable[[bytes, segments.Forward], bytes]
    encode_reset: abc.Callable[[segments.Segment], bytes]
    format_ip: abc.Callable[[int], str]


class PacketSocket:
    """Owns the packet socket: reads packets, asks for a decision, carries it out.

    `held` keeps what arrives before `release`, with the time of its arrival.
    """

    def __init__(
        self,
        address: tuple[str, int],
        dispatcher: dispatch.Dispatcher,
        codec: Codec,
        clock: abc.Callable[[], float],
        count: Count,
    ) -> None:
        self.dispatcher = dispatcher
        self.codec = codec
        self.clock = clock
        self.count = count
        self.port = address[1]
        self.received_at = clock()
        self.held_packets: collections.deque[tuple[float, bytes]] | None = (
            collections.deque(maxlen=admission.HELD_PACKETS_MAX)
        )
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.bind(address)

    def receive(self) -> None:
        """Handle the packets that have arrived, up to a bounded number."""
        now = self.clock()
        for _ in range(PACKETS_PER_RECEIVE_MAX):
            try:
                data = self.sock.recv(DATAGRAM_MAX_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # An upstream's port was closed; the packet it concerns is not known.
                self.count("receive_errors", reason=error.strerror or "unknown")
                continue
            self.received_at = now
            if self.held_packets is None:
                self.handle(data, now)
            else:
                self.held_packets.append((now, data))

    def release_held_packets(self) -> None:
        """Handle the packets that were held, and the next ones as they arrive."""
        if self.held_packets is None:
            return
        now = self.clock()
        held_packets, self.held_packets = self.held_packets, None
        for arrived_at, data in held_packets:
            if now - arrived_at <= admission.HELD_PACKET_AGE_MAX_S:
                self.handle(data, now)
            else:
                self.count("packets", outcome="outdated")

    def handle(self, data: bytes, now: float) -> None:
        """Decide about one packet and send what follows from it."""
        try:
            segment = self.codec.decode(data)
        except ValueError:
            self.count("packets", outcome="malformed")
            return
        action = self.dispatcher.handle(segment, data, now)
        if isinstance(action, segments.Drop):
            self.count("packets", outcome="dropped")
            return
        self.perform(segments.QueuedAction(action, segment, data))

    def perform_queued_actions(self) -> None:
        """Send what was decided without a packet that asked for it."""
        queued, self.dispatcher.queued_actions = self.dispatcher.queued_actions, []
        for queued_action in queued:
            self.perform(queued_action)

    def perform(self, queued_action: segments.QueuedAction) -> None:
        """Send a packet on to its upstream, or a reset to its caller."""
        action = queued_action.action
        if isinstance(action, segments.Forward):
            outcome = "placed" if action.write_token else "carried"
            self.count("packets", outcome=outcome)
            data = self.codec.encode_forward(queued_action.packet, action)
            self._send(data, action.upstream.address)
        else:
            self.count("packets", outcome="refused")
            caller = self.codec.format_ip(queued_action.segment.caller[0])
            self._send(
                self.codec.encode_reset(queued_action.segment), (caller, self.port)
            )

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self.sock.sendto(data, address)
        except OSError as error:
            # As any datagram it may be lost; the caller repeats it.
            self.count("send_errors", reason=error.strerror or "unknown")
