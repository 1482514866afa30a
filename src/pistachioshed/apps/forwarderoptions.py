"""Define and read the settings of the forwarder, an INI file."""

import pathlib
import typing
from collections import abc

from pistachioshed.adapters import ini
from pistachioshed.core import tables

Address = tuple[str, int]


class ForwarderSettings(typing.NamedTuple):
    """Validated settings of the forwarder.

    `stop_s` is how long the process may continue to run after a request to stop.
    `seeds` are the IP addresses of a few peers; the ports in the file may differ from
    those of the peers. `capacity` is that of the machine's link in Mbit/s.
    """

    name: str
    zone: str
    packets: Address
    ready: Address
    peers: Address
    metrics: Address
    store: Address
    seeds: tuple[str, ...]
    stop_s: float
    capacity: float


def parse_hosts(text: str) -> tuple[str, ...]:
    """Return the IP addresses in a list "ip:port,ip:port", which may be empty.

    The ports are ignored.
    """
    entries = [entry.strip() for entry in text.split(",")]
    return tuple(tables.parse_address(entry)[0] for entry in entries if entry)


OPTIONS: typing.Final = (
    ini.Option(
        "balancer",
        "name",
        "name",
        ini.parse_name,
        "1 to 63 characters",
        help="name of this VM",
    ),
    ini.Option(
        "balancer",
        "zone",
        "zone",
        ini.parse_name,
        "1 to 63 characters",
        help="availability zone",
    ),
    ini.Option(
        "balancer",
        "stop_s",
        "stop_s",
        ini.parse_positive,
        "seconds, above 0",
        "6",
        "longest time from a request to stop until the process ends",
    ),
    ini.Option(
        "balancer",
        "capacity",
        "capacity",
        ini.parse_positive,
        "Mbit/s, above 0",
        "1000",
        "link bandwidth; the VMs with the most in a zone follow the store",
    ),
    ini.Option(
        "listen",
        "packets",
        "packets",
        tables.parse_address,
        "ip:port",
        help="where callers' packets arrive, over UDP",
    ),
    ini.Option(
        "listen",
        "ready",
        "ready",
        tables.parse_address,
        "ip:port",
        help="where the fabric asks whether this forwarder takes flows, over HTTP",
    ),
    ini.Option(
        "listen",
        "peers",
        "peers",
        tables.parse_address,
        "ip:port",
        help="where the other forwarders reach this one, over UDP and HTTP",
    ),
    ini.Option(
        "listen",
        "metrics",
        "metrics",
        tables.parse_address,
        "ip:port",
        help="where /metrics is served over HTTP",
    ),
    ini.Option(
        "store",
        "address",
        "store",
        tables.parse_address,
        "ip:port",
        help="the platform's metadata store",
    ),
    ini.Option(
        "peers",
        "seeds",
        "seeds",
        parse_hosts,
        "ip:port,ip:port; may be empty",
        "",
        "a few forwarders; only their IP numbers are used",
    ),
)


def read_forwarder_settings(path: pathlib.Path) -> ForwarderSettings:
    """Read and check the settings file.

    Raises
    ------
    ExceptionGroup
        Contains one `ini.SettingError` per fault.
    """
    return ini.read_settings(path, OPTIONS, ForwarderSettings)


def list_options() -> abc.Iterator[str]:
    """Yield one line of help per setting."""
    yield from ini.describe_options(OPTIONS)
