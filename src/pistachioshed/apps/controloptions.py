"""Settings of the control process: their keys, checks and help texts."""

import pathlib
import typing

from pistachioshed.adapters import ini
from pistachioshed.core import addresses, controlevents, events

ADDRESS_FORMAT: typing.Final = "ip:port, with a port from 1 to 65535"
NAME_FORMAT: typing.Final = "1 to 63 printable characters without spaces"
SECONDS_FORMAT: typing.Final = "a number of seconds above 0"


class ControlSettings(typing.NamedTuple):
    """The settings of a control process, as read from its settings file."""

    policy: controlevents.Settings
    key: bytes
    store_addresses: tuple[str, ...]
    vm_list_url: str
    vm_list_interval_s: float
    balancer_link: str
    metrics_address: tuple[str, int]
    probe_port_offset: int
    seeds: tuple[controlevents.Member, ...]


def parse_bus(text: str) -> str:
    """Check an "ip:port" whose port plus 1 is a valid port too, and return it.

    The bus publishes on the port and serves fetches on the next one.
    """
    _, port = addresses.parse_address(text)
    if port == 65_535:
        raise ValueError(text)
    return text


def parse_addresses(text: str) -> tuple[str, ...]:
    """Parse one or more "ip:port" addresses separated by spaces."""
    addresses = tuple(ini.parse_address_text(part) for part in text.split())
    if not addresses:
        raise ValueError(text)
    return addresses


def parse_url(text: str) -> str:
    """Check an `http://` URL without spaces, and return it."""
    if not text.startswith("http://") or " " in text:
        raise ValueError(text)
    return text


def parse_offset(text: str) -> int:
    """Parse a port offset from -65534 to 65534."""
    value = int(text)
    if not -65_534 <= value <= 65_534:
        raise ValueError(text)
    return value


OPTIONS: typing.Final = (
    ini.Option("node", "name", "name", ini.parse_name, NAME_FORMAT),
    ini.Option("node", "zone", "zone", ini.parse_name, NAME_FORMAT),
    ini.Option(
        "bus",
        "address",
        "bus",
        parse_bus,
        ADDRESS_FORMAT,
        help="other controls subscribe here and fetch at the next port",
    ),
    ini.Option("bus", "key", "key", ini.parse_key, "32 to 128 hexadecimal digits"),
    ini.Option(
        "store", "addresses", "store_addresses", parse_addresses, ADDRESS_FORMAT
    ),
    ini.Option("vms", "url", "vm_list_url", parse_url, "an http:// URL"),
    ini.Option(
        "vms",
        "interval_s",
        "vm_list_interval_s",
        ini.parse_positive,
        SECONDS_FORMAT,
        "2",
    ),
    ini.Option(
        "balancer", "link", "balancer_link", ini.parse_address_text, ADDRESS_FORMAT
    ),
    ini.Option(
        "metrics", "address", "metrics_address", addresses.parse_address, ADDRESS_FORMAT
    ),
    ini.Option(
        "probes",
        "port_offset",
        "probe_port_offset",
        parse_offset,
        "a whole number from -65534 to 65534",
        "0",
        help="added to the port of a row's address",
    ),
    ini.Option(
        "probes",
        "interval_s",
        "probe_interval_s",
        ini.parse_positive,
        SECONDS_FORMAT,
        "1",
    ),
    ini.Option(
        "status", "lease_ttl_s", "lease_ttl_s", ini.parse_positive, SECONDS_FORMAT, "15"
    ),
)


def read_control_settings(path: pathlib.Path) -> ControlSettings:
    """Read and check a settings file.

    Raises
    ------
    ExceptionGroup
        With one `ini.SettingError` per fault.
    """

    def build(**values: typing.Any) -> ControlSettings:
        return build_settings(str(path), values)

    return ini.read_settings(path, OPTIONS, build, ("seeds",))


def build_settings(path: str, values: dict[str, typing.Any]) -> ControlSettings:
    """Build the settings from checked values and the unchecked seeds section.

    Raises
    ------
    ExceptionGroup
        With one `ini.SettingError` per fault of the seeds or the lease TTL.
    """
    seeds: list[controlevents.Member] = []
    errors: list[ini.SettingError] = []
    for name, text in values.pop("seeds").items():
        zone, _, bus = text.partition(" ")
        try:
            ini.parse_name(zone)
            seeds.append(
                controlevents.Member(events.Vm(name, zone, ""), parse_bus(bus))
            )
        except ValueError:
            problem = f"{text!r} is not allowed: a zone and ip:port"
            errors.append(ini.SettingError(path, "seeds", name, problem))
    # A lease is renewed every third of its TTL, so that one renewal may fail.
    ttl_s = values.pop("lease_ttl_s")
    policy = controlevents.Settings(
        name=values.pop("name"),
        zone=values.pop("zone"),
        bus=values.pop("bus"),
        probe_interval_s=values.pop("probe_interval_s"),
        lease_ttl_s=ttl_s,
        lease_renew_s=ttl_s / 3,
        lease_margin_s=ttl_s / 5,
    )
    if ttl_s < 5:
        error = ini.SettingError(path, "status", "lease_ttl_s", "5 or more")
        errors.append(error)
    if errors:
        raise ExceptionGroup("settings", errors)
    return ControlSettings(policy=policy, seeds=tuple(seeds), **values)


def list_options() -> list[str]:
    """Return one line of help per setting."""
    lines = ini.describe_options(OPTIONS)
    return [*lines, "[seeds] NAME: a zone and a bus ip:port (optional)"]
