"""Define the two deployments of the design page, on loopback ports."""

import contextlib
import socket
import typing
from collections import abc

from pistachioshed.core import events, tables

BALANCERS: typing.Final = 8
KEY: typing.Final = "4f" * 32
PORTS_PER_RUN: typing.Final = 1_000
# Below the ephemeral ports, which start at 32768.
BASE_PORTS: typing.Final = range(11_000, 32_000, PORTS_PER_RUN)


class Service(typing.NamedTuple):
    """A service of a deployment and the mix of requests that callers send."""

    name: str
    host_count: int
    mix: str


class Layout(typing.NamedTuple):
    """A deployment; `base_port` is the first port of its range."""

    name: str
    title: str
    zones: tuple[str, ...]
    services: tuple[Service, ...]
    executing: str
    delay_ms: float
    base_port: int = 0

    def list_vms(self) -> tuple[events.Vm, ...]:
        """Return the balancers' VMs, distributed over the zones."""
        return tuple(
            events.Vm(
                f"entry-{balancer_index + 1}",
                self.zones[balancer_index % len(self.zones)],
                f"127.0.0.1:{self.base_port + balancer_index}",
            )
            for balancer_index in range(BALANCERS)
        )

    def find_listener(self, balancer_index: int, service_index: int) -> str:
        """Return the address on which a balancer listens for a service."""
        return f"127.0.0.1:{self.base_port + 100 + 20 * service_index + balancer_index}"

    def find_control_link(self, balancer_index: int) -> str:
        """Return the address of the link from a balancer to its control process."""
        return f"127.0.0.1:{self.base_port + 200 + balancer_index}"

    def find_metrics(self, balancer_index: int) -> str:
        """Return the address of a balancer's metrics endpoint."""
        return f"127.0.0.1:{self.base_port + 300 + balancer_index}"

    def find_service_address(self, service_index: int) -> str:
        """Return the fabric's address of a service, which callers use."""
        return f"127.0.0.1:{self.base_port + 400 + service_index}"

    def find_fabric_admin(self) -> str:
        """Return the address of the fabric's admin endpoint."""
        return f"127.0.0.1:{self.base_port + 420}"

    def build_table(self, service_index: int, version: int = 1) -> tables.Table:
        """Return a table of a service, with its hosts distributed over the zones."""
        name = self.services[service_index].name
        rows = tuple(
            tables.Row(
                f"{name}-{host_index + 1}",
                f"127.0.0.1:{self.base_port + 500 + 50 * service_index + host_index}",
                self.zones[host_index % len(self.zones)],
            )
            for host_index in range(self.services[service_index].host_count)
        )
        return tables.Table(name, version, rows, f"edit-{version}")


@contextlib.contextmanager
def reserve_ports(layout: Layout) -> abc.Iterator[Layout]:
    """Yield the layout with a port range that no other run on this machine uses.

    The last port of the range stays bound, as a lock, until the context ends.

    Raises
    ------
    OSError
        If every port range is in use.
    """
    with socket.socket() as lock_socket:
        for base_port in BASE_PORTS:
            with contextlib.suppress(OSError):
                lock_socket.bind(("127.0.0.1", base_port + PORTS_PER_RUN - 1))
                break
        else:
            raise OSError("all port ranges are in use by other runs")
        yield layout._replace(base_port=base_port)


KRASOTAVA: typing.Final = Layout(
    "krasotava",
    "Krāsotava Slots SIA",
    ("riga-a", "riga-b", "riga-c"),
    (Service("booking", 7, "requests"), Service("sheets", 3, "sheets")),
    "reservation",
    1.0,
)
ZILINSKA: typing.Final = Layout(
    "zilinska",
    "Žilinská Lisovňa Kravát, s.r.o.",
    ("hall-a", "hall-b", "cutting-room", "dispatch-office"),
    (Service("press-console", 7, "requests"), Service("pattern-library", 4, "sheets")),
    "confirmation",
    3.0,
)
LAYOUTS: typing.Final = (KRASOTAVA, ZILINSKA)
