"""Reports and heartbeats between forwarders, sent as UDP datagrams."""

import json
import socket
import struct
import typing
from collections import abc

from pistachioshed.adapters import validation
from pistachioshed.core import loadtable, peertable, reportbuilder

REPORT_MAX_BYTES: typing.Final = 8_192
REPORTS_PER_RECEIVE_MAX: typing.Final = 64

# First byte of a datagram. The fields of a report follow as a JSON list; those of a
# heartbeat, of which there are many, as a number and names joined by commas. In a
# heartbeat with loads, packed numbers precede the names.
REPORT_KIND: typing.Final = b"r"
HEARTBEAT_KIND: typing.Final = b"l"
LOAD_KIND: typing.Final = b"o"
SEQUENCE_BYTES: typing.Final = 4
# Sequence number, time of sending, digest and number of services, whether loaded.
LOAD_HEADER: typing.Final = struct.Struct("!IHHBB")
LOAD_ENTRY: typing.Final = struct.Struct("!HH")  # Outstanding requests, openings.


def encode_message(message: reportbuilder.Message) -> bytes:
    """Return the datagram for a report or heartbeat."""
    if isinstance(message, peertable.Heartbeat):
        sequence = message.sequence.to_bytes(SEQUENCE_BYTES, "big")
        return HEARTBEAT_KIND + sequence + ",".join(message.unheard_zones).encode()
    if isinstance(message, loadtable.LoadReport):
        return LOAD_KIND + _encode_load(message)
    fields = [
        sorted(value) if isinstance(value, frozenset) else value for value in message
    ]
    return REPORT_KIND + json.dumps(fields, separators=(",", ":")).encode()


def decode_message(data: bytes) -> reportbuilder.Message:
    """Decode a datagram into a report or heartbeat.

    Raises
    ------
    ValueError
        If the datagram is malformed.
    """
    kind, content = data[:1], data[1:]
    if kind == HEARTBEAT_KIND:
        return _build_heartbeat(content)
    if kind == LOAD_KIND:
        return _build_load(content)
    if kind != REPORT_KIND:
        raise ValueError("datagram is of an unknown kind")
    try:
        return _build_report(json.loads(content))
    except RecursionError as error:
        raise ValueError("datagram is nested too deeply") from error


def _build_heartbeat(content: bytes) -> peertable.Heartbeat:
    sequence, names = content[:SEQUENCE_BYTES], content[SEQUENCE_BYTES:]
    if len(sequence) < SEQUENCE_BYTES:
        raise ValueError("heartbeat is too short")
    zones = tuple(names.decode().split(",")) if names else ()
    return peertable.Heartbeat(int.from_bytes(sequence, "big"), zones)


def _encode_load(report: loadtable.LoadReport) -> bytes:
    header = LOAD_HEADER.pack(
        report.sequence,
        report.sent_ms,
        report.services_digest,
        len(report.loads),
        report.is_loaded,
    )
    entries = [LOAD_ENTRY.pack(*map(round, load)) for load in report.loads]
    return header + b"".join(entries) + ",".join(report.unheard_zones).encode()


def _build_load(content: bytes) -> loadtable.LoadReport:
    try:
        sequence, sent_ms, digest, count, is_loaded = LOAD_HEADER.unpack_from(content)
        entries_end = LOAD_HEADER.size + count * LOAD_ENTRY.size
        entries = LOAD_ENTRY.iter_unpack(content[LOAD_HEADER.size : entries_end])
        loads = tuple(loadtable.Load(*entry) for entry in entries)
    except struct.error as error:
        raise ValueError("load report is too short") from error
    if len(loads) != count:
        raise ValueError("load report is too short")
    names = content[entries_end:]
    zones = tuple(names.decode().split(",")) if names else ()
    return loadtable.LoadReport(sequence, zones, sent_ms, digest, is_loaded > 0, loads)


def _build_report(value: object) -> peertable.Report:
    fields = validation.require_length(value, len(peertable.Report._fields))
    name, zone, address, start_ms, sequence, *flags = fields[:8]
    capacity, changed_revision, version, suspected, peers, unheard_zones = fields[8:]
    watches_store, store_unreachable, leaving = flags
    return peertable.Report(
        validation.require(name, str),
        validation.require(zone, str),
        validation.require_address(address),
        validation.require_count(start_ms),
        validation.require_count(sequence),
        validation.require(watches_store, bool),
        validation.require(store_unreachable, bool),
        validation.require(leaving, bool),
        validation.require_amount(capacity),
        validation.require_count(changed_revision),
        validation.require_count(version),
        frozenset(map(validation.require_count, validation.require(suspected, list))),
        tuple(map(validation.require_address, validation.require(peers, list))),
        tuple(
            validation.require(zone, str)
            for zone in validation.require(unheard_zones, list)
        ),
    )


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
            except ValueError:
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
