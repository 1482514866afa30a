"""Reports and heartbeats between forwarders, sent as UDP datagrams."""

import socket
import typing
from collections import abc

import msgspec

from pistachioshed.core import peertable, reportbuilder

REPORT_MAX_BYTES: typing.Final = 8_192
REPORTS_PER_RECEIVE_MAX: typing.Final = 64

# First byte of a datagram; the rest is encoded with msgpack.
REPORT_KIND: typing.Final = b"r"
HEARTBEAT_KIND: typing.Final = b"l"


def encode_message(message: reportbuilder.Message) -> bytes:
    """Return the datagram for a report or heartbeat."""
    kind = REPORT_KIND if isinstance(message, peertable.Report) else HEARTBEAT_KIND
    return kind + msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> reportbuilder.Message:
    """Decode a datagram into a report or heartbeat.

    Raises
    ------
    msgspec.MsgspecError
        If the datagram is malformed.
    """
    if data[:1] == REPORT_KIND:
        return msgspec.msgpack.decode(data[1:], type=peertable.Report)
    if data[:1] == HEARTBEAT_KIND:
        return msgspec.msgpack.decode(data[1:], type=peertable.Heartbeat)
    raise msgspec.DecodeError("datagram is neither a report nor a heartbeat")


class ReportSocket:
    """Send reports and heartbeats over UDP; pass received ones to `deliver`."""

    def __init__(
        self,
        address: tuple[str, int],
        deliver: abc.Callable[[reportbuilder.Message, tuple[str, int]], None],
        count: abc.Callable[..., None],
    ) -> None:
        self.deliver = deliver
        self.count = count
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)

    def receive(self) -> None:
        """Deliver received messages, at most `REPORTS_PER_RECEIVE_MAX`."""
        for _ in range(REPORTS_PER_RECEIVE_MAX):
            try:
                data, address = self.sock.recvfrom(REPORT_MAX_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self.count("receive_errors", reason=error.strerror or "unknown")
                continue
            try:
                message = decode_message(data)
            except msgspec.MsgspecError:
                self.count("reports", outcome="malformed")
                continue
            self.deliver(message, address)

    def send(
        self, message: reportbuilder.Message, addresses: abc.Iterable[tuple[str, int]]
    ) -> int:
        """Send a message to all addresses and return its size in bytes.

        A lost message is not retransmitted, since the next one replaces it.
        """
        data = encode_message(message)
        for address in addresses:
            try:
                self.sock.sendto(data, address)
            except OSError as error:
                self.count("send_errors", reason=error.strerror or "unknown")
        return len(data)

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()
