"""Define and read the settings of the forwarder, an INI file."""

import os
import typing
from collections import abc

from pistachioshed.adapters import ini
from pistachioshed.core import addresses, hedging

Address = tuple[str, int]


class ForwarderSettings(typing.NamedTuple):
    """Validated settings of the forwarder.

    `stop_s` is how long the process may continue to run after a request to stop.
    `seeds` are the IP addresses of a few peers; the ports in the file may differ from
    those of the peers. `capacity` is that of the machine's link in Mbit/s.
    `configuration_ms` and `drain_ms` limit the time from a change in the store until
    the configuration is in force and until a draining upstream gets no new flow,
    `evacuation_ms` the time until no upstream of an evacuated zone does; it is None if
    the deployment sets no bound. `cold_overshoot` and `cold_slack` limit the openings
    at cold upstreams. `hedging_share` is the number of second offers per opening.
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
    configuration_ms: float
    drain_ms: float
    cold_overshoot: float
    cold_slack: float
    hedging_share: float
    evacuation_ms: float | None = None


def parse_hedging_share(text: str) -> float:
    """Return a number from 0 to `hedging.SHARE_MAX`."""
    share = float(text)
    if not 0 <= share <= hedging.SHARE_MAX:
        raise ValueError(text)
    return share


def parse_hosts(text: str) -> tuple[str, ...]:
    """Return the IP addresses in a list "ip:port,ip:port", which may be empty.

    The ports are ignored.
    """
    entries = [entry.strip() for entry in text.split(",")]
    return tuple(addresses.parse_address(entry)[0] for entry in entries if entry)


def parse_optional_positive(text: str) -> float | None:
    """Return a finite number above 0, or None for an empty text."""
    return ini.parse_positive(text) if text else None


def get_change_bound_s(settings: ForwarderSettings) -> float:
    """Return the shortest time in which a change must reach all forwarders."""
    bounds_ms = [settings.configuration_ms, settings.drain_ms]
    if settings.evacuation_ms is not None:
        bounds_ms.append(settings.evacuation_ms)
    return min(bounds_ms) / 1000


def parse_amount(text: str) -> float:
    """Return a finite number of 0 or more."""
    value = float(text)
    if not 0 <= value < float("inf"):
        raise ValueError(text)
    return value


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
        addresses.parse_address,
        "ip:port",
        help="where callers' packets arrive, over UDP",
    ),
    ini.Option(
        "listen",
        "ready",
        "ready",
        addresses.parse_address,
        "ip:port",
        help="where the fabric asks whether this forwarder takes flows, over HTTP",
    ),
    ini.Option(
        "listen",
        "peers",
        "peers",
        addresses.parse_address,
        "ip:port",
        help="where the other forwarders reach this one, over UDP and HTTP",
    ),
    ini.Option(
        "listen",
        "metrics",
        "metrics",
        addresses.parse_address,
        "ip:port",
        help="where /metrics is served over HTTP",
    ),
    ini.Option(
        "store",
        "address",
        "store",
        addresses.parse_address,
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
    ini.Option(
        "bounds",
        "configuration_ms",
        "configuration_ms",
        ini.parse_positive,
        "milliseconds, above 0",
        "3000",
        "longest time until a new configuration is in force on all forwarders",
    ),
    ini.Option(
        "bounds",
        "drain_ms",
        "drain_ms",
        ini.parse_positive,
        "milliseconds, above 0",
        "3000",
        "longest time until no forwarder opens flows at a draining upstream",
    ),
    ini.Option(
        "bounds",
        "evacuation_ms",
        "evacuation_ms",
        parse_optional_positive,
        "milliseconds, above 0; may be empty",
        "",
        "longest time until no forwarder opens flows in an evacuated zone",
    ),
    ini.Option(
        "bounds",
        "cold_overshoot",
        "cold_overshoot",
        parse_amount,
        "a number of 0 or more",
        "0",
        "largest ratio of the openings at a cold upstream to its rate; with this and "
        "cold_slack 0 nothing is limited",
    ),
    ini.Option(
        "bounds",
        "cold_slack",
        "cold_slack",
        parse_amount,
        "openings per second, 0 or more",
        "0",
        "openings per second at a cold upstream above that ratio",
    ),
    ini.Option(
        "hedging",
        "share",
        "hedging_share",
        parse_hedging_share,
        "a number from 0 to 0.1",
        "0",
        "late openings offered to a second upstream, per opening; 0 turns it off",
    ),
)


def read_forwarder_settings(path: str | os.PathLike[str]) -> ForwarderSettings:
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
