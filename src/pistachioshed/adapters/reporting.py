"""Reports between balancers as UDP datagrams."""

import socket
import typing
from collections import abc

import msgspec

from pistachioshed.core import peertable

REPORT_MAX_BYTES: typing.Final = 8_192
REPORTS_PER_TURN: typing.Final = 64


def encode_report(report: peertable.Report) -> bytes:
    """Return a report as msgpack."""
    return msgspec.msgpack.encode(report)


def decode_report(data: bytes) -> peertable.Report:
    """Read a report.

    Raises
    ------
    msgspec.MsgspecError
        If the bytes are none.
    """
    return msgspec.msgpack.decode(data, type=peertable.Report)


class ReportSocket:
    """Owns the socket for reports; passes those that arrive on."""

    def __init__(
        self,
        address: tuple[str, int],
        deliver: abc.Callable[[peertable.Report], None],
        count: abc.Callable[..., None],
    ) -> None:
        self.deliver = deliver
        self.count = count
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)

    def receive(self) -> None:
        """Take the reports that have arrived, up to a bounded number."""
        for _ in range(REPORTS_PER_TURN):
            try:
                data = self.sock.recv(REPORT_MAX_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self.count("receive_errors", reason=error.strerror or "unknown")
                continue
            try:
                report = decode_report(data)
            except msgspec.MsgspecError:
                self.count("reports", outcome="malformed")
                continue
            self.deliver(report)

    def send(
        self, report: peertable.Report, addresses: abc.Iterable[tuple[str, int]]
    ) -> None:
        """Send a report to all addresses; a lost one is made good by the next."""
        data = encode_report(report)
        for address in addresses:
            try:
                self.sock.sendto(data, address)
            except OSError as error:
                self.count("send_errors", reason=error.strerror or "unknown")

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()
