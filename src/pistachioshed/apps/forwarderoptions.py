"""Settings of the forwarder, a balancer that keeps no flow state, as an INI file."""

import pathlib
import typing
from collections import abc

from pistachioshed.adapters import ini
from pistachioshed.core import tables

Address = tuple[str, int]


class ForwarderSettings(typing.NamedTuple):
    """Checked settings of the forwarder.

    `stop_s` is how long the process may go on after a request to stop; `seeds` are
    addresses of a few peers, of which the port may differ from theirs. `capacity` is
    that of the machine's link in Mbit/s.
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


def parse_ip_port(text: str) -> Address:
    """Parse "ip:port"."""
    return tables.parse_address(text)


def parse_hosts(text: str) -> tuple[str, ...]:
    """Parse the IP numbers of a list "ip:port,ip:port"; it may be empty."""
    entries = [entry.strip() for entry in text.split(",")]
    return tuple(tables.parse_address(entry)[0] for entry in entries if entry)


OPTIONS: typing.Final = (
    ini.Option("balancer", "name", "name", ini.parse_name, "a name"),
    ini.Option("balancer", "zone", "zone", ini.parse_name, "an availability zone"),
    ini.Option(
        "balancer", "stop_s", "stop_s", ini.parse_positive, "seconds above 0", "6"
    ),
    ini.Option(
        "balancer", "capacity", "capacity", ini.parse_positive, "Mbit/s above 0", "1000"
    ),
    ini.Option("listen", "packets", "packets", parse_ip_port, "ip:port"),
    ini.Option("listen", "ready", "ready", parse_ip_port, "ip:port"),
    ini.Option("listen", "peers", "peers", parse_ip_port, "ip:port"),
    ini.Option("listen", "metrics", "metrics", parse_ip_port, "ip:port"),
    ini.Option("store", "address", "store", parse_ip_port, "ip:port"),
    ini.Option("peers", "seeds", "seeds", parse_hosts, "ip:port,ip:port", ""),
)


def read_forwarder_settings(path: pathlib.Path) -> ForwarderSettings:
    """Read and check the settings file.

    Raises
    ------
    ExceptionGroup
        Of one `ini.SettingError` per fault.
    """
    return ini.read_settings(path, OPTIONS, ForwarderSettings)


def list_options() -> abc.Iterator[str]:
    """Yield a line for each setting."""
    for option in OPTIONS:
        default = "required" if option.default is None else f"default {option.default}"
        yield f"[{option.section}] {option.key}: {option.allowed} ({default})"
