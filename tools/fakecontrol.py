"""A stand-in for the control processes, which sends updates over the local links."""

import typing
from collections import abc

import pynng

from pistachioshed.core import events, link, tables

SEND_TIMEOUT_MS: typing.Final = 100


class FakeControlProcesses:
    """Listen as the control process of every VM and send the same state to all."""

    def __init__(self, addresses: abc.Sequence[str]) -> None:
        self.sockets = [
            pynng.Pair0(
                listen=f"tcp://{address}",
                send_timeout=SEND_TIMEOUT_MS,
                recv_timeout=1,
                send_buffer_size=8,
                recv_buffer_size=8,
            )
            for address in addresses
        ]
        self.reports: dict[str, link.Report] = {}

    def send(
        self,
        table_list: abc.Sequence[tables.Table],
        vms: abc.Sequence[events.Vm],
    ) -> None:
        """Send tables and the VM list to every balancer that is connected."""
        update = link.Update(tuple(table_list), tuple(vms))
        payload = link.encode_message(update)
        for socket in self.sockets:
            try:
                socket.send(payload)
            except pynng.Timeout:
                continue

    def read_reports(self) -> dict[str, link.Report]:
        """Return the latest report of each balancer."""
        for socket in self.sockets:
            while True:
                try:
                    report = link.decode_report(socket.recv())
                except pynng.Timeout:
                    break
                self.reports[report.name] = report
        return self.reports

    def close(self) -> None:
        """Close all links."""
        for socket in self.sockets:
            socket.close()
