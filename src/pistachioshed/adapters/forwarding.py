"""The UDP socket that receives the packets of callers and forwards them."""

import collections
import socket
import typing
from collections import abc

from pistachioshed.core import admission, dispatch, segments

DATAGRAM_MAX_BYTES: typing.Final = 2_048
# Bounded so that the event loop can serve timers and other sockets in between.
PACKETS_PER_RECEIVE_MAX: typing.Final = 64
# More than the socket's buffer holds of the smallest packets.
DISCARDED_MAX: typing.Final = 10_000

Count = abc.Callable[..., None]


class Codec(typing.NamedTuple):
    """Functions that decode and encode packets.

    `decode` raises `ValueError` for a malformed packet.
    """

    decode: abc.Callable[[bytes], segments.Segment]
    encode_forward: abc.Callable[[bytes, segments.Forward], bytes]
    encode_reset: abc.Callable[[segments.Segment], bytes]
    format_ip: abc.Callable[[int], str]


class PacketSocket:
    """Receive packets and perform the actions that the dispatcher decides on.

    `held_packets` stores the packets that arrive before `release_held_packets` is
    called, each with its arrival time. It is None afterwards.
    """

    def __init__(
        self,
        sock: socket.socket,
        dispatcher: dispatch.Dispatcher,
        codec: Codec,
        clock: abc.Callable[[], float],
        count: Count,
    ) -> None:
        self.dispatcher = dispatcher
        self.codec = codec
        self.clock = clock
        self.count = count
        self.port = sock.getsockname()[1]
        self.received_at = clock()
        self.held_packets: collections.deque[tuple[float, bytes]] | None = (
            collections.deque(maxlen=admission.HELD_PACKETS_MAX)
        )
        self.sock = sock

    def receive(self) -> None:
        """Handle received packets, at most `PACKETS_PER_RECEIVE_MAX`."""
        now = self.clock()
        for _ in range(PACKETS_PER_RECEIVE_MAX):
            try:
                data = self.sock.recv(DATAGRAM_MAX_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # An earlier packet reached a closed port of an upstream. The error does
                # not show which packet it was.
                self.count("receive_errors", reason=error.strerror or "unknown")
                continue
            self.received_at = now
            if self.held_packets is None:
                self.handle(data, now)
            else:
                self.held_packets.append((now, data))

    def hold_packets(self) -> None:
        """Hold packets until `release_held_packets` is called."""
        if self.held_packets is None:
            self.held_packets = collections.deque(maxlen=admission.HELD_PACKETS_MAX)

    def discard_waiting_packets(self) -> int:
        """Discard all packets that have arrived so far, and return their number."""
        discarded = 0
        if self.held_packets is not None:
            discarded += len(self.held_packets)
            self.held_packets.clear()
        while discarded < DISCARDED_MAX:
            try:
                self.sock.recv(DATAGRAM_MAX_BYTES)
            except BlockingIOError:
                break
            except OSError as error:
                self.count("receive_errors", reason=error.strerror or "unknown")
                continue
            discarded += 1
        self.count("packets", discarded, outcome="outdated")
        return discarded

    def release_held_packets(self) -> None:
        """Handle the held packets, and handle later ones on arrival."""
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
        """Dispatch one packet and perform the resulting action."""
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
        """Perform the actions that timeouts and failed probes have queued."""
        queued, self.dispatcher.queued_actions = self.dispatcher.queued_actions, []
        for queued_action in queued:
            self.perform(queued_action)

    def perform(self, queued_action: segments.QueuedAction) -> None:
        """Forward a packet to its upstream, or send a reset to its caller."""
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
            # Like any datagram, the packet may be lost; the caller retransmits it.
            self.count("send_errors", reason=error.strerror or "unknown")
