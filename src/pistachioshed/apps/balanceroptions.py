"""Settings of the balancer process: their keys, checks and help texts."""

import pathlib
import typing
from collections import abc

from pistachioshed.adapters import ini
from pistachioshed.core import addresses, settings

Address = tuple[str, int]
FREE_SECTIONS: typing.Final = ("services", "seeds")
ADDRESS_FORMAT: typing.Final = "ip:port, with a port from 1 to 65535"


class BalancerSettings(typing.NamedTuple):
    """The settings of a balancer process, as read from its settings file.

    `services` maps each service to the address of its listener, `seeds` the names of
    other balancers to their peer addresses.
    """

    core: settings.Settings
    services: dict[str, Address]
    peer_address: Address
    control_address: str
    metrics_address: Address
    seeds: dict[str, str]


def parse_share(text: str) -> float:
    """Parse a number from 0 to 1."""
    value = float(text)
    if not 0 <= value <= 1:
        raise ValueError(text)
    return value


def parse_factor(text: str) -> float:
    """Parse a finite number of 1 or more."""
    value = ini.parse_positive(text)
    if value < 1:
        raise ValueError(text)
    return value


def parse_positive_count(text: str) -> int:
    """Parse a whole number of 1 or more."""
    value = ini.parse_count(text)
    if value < 1:
        raise ValueError(text)
    return value


def parse_ports(text: str) -> int:
    """Parse a port count from 1 to 30000."""
    value = parse_positive_count(text)
    if value > 30_000:
        raise ValueError(text)
    return value


def _make_option(
    key: str,
    parse: ini.Parse,
    allowed: str,
    help_text: str,
    default: str | None = None,
) -> ini.Option:
    return ini.Option("balancer", key, key, parse, allowed, default, help_text)


def _make_tunable(
    key: str,
    parse: ini.Parse,
    allowed: str,
    help_text: str,
) -> ini.Option:
    default: object = settings.Settings._field_defaults[key]
    if isinstance(default, bool):
        default = "yes" if default else "no"
    return ini.Option("tunables", key, key, parse, allowed, str(default), help_text)


def _make_duration(key: str, help_text: str) -> ini.Option:
    return _make_tunable(key, ini.parse_positive, "seconds, above 0", help_text)


OPTIONS: typing.Final = (
    _make_option("name", ini.parse_name, "1 to 63 characters", "name of this VM"),
    _make_option("zone", ini.parse_name, "1 to 63 characters", "availability zone"),
    _make_option(
        "peer_address",
        ini.parse_address_text,
        ADDRESS_FORMAT,
        "where the other balancers reach this one, over UDP",
    ),
    _make_option(
        "control_address",
        ini.parse_address_text,
        ADDRESS_FORMAT,
        "where this VM's control process listens for its balancer",
    ),
    _make_option(
        "metrics_address",
        ini.parse_address_text,
        ADDRESS_FORMAT,
        "where /metrics is served over HTTP",
    ),
    _make_option(
        "key",
        ini.parse_key,
        "16 to 64 bytes as hexadecimal digits",
        "key shared by all balancers of the deployment",
    )._replace(secret=True),
    _make_option(
        "capacity",
        ini.parse_positive,
        "a number above 0",
        "size of this machine relative to the other balancers",
        "1.0",
    ),
    _make_duration("ping_interval_s", "time between membership pings"),
    _make_tunable(
        "indirect_probes",
        ini.parse_count,
        "a whole number of 0 or more",
        "members asked to ping a member that did not respond",
    ),
    _make_duration("suspicion_s", "time a suspect member has to refute"),
    _make_duration("rejoin_interval_s", "time between pings of listed dead members"),
    _make_duration("join_timeout_s", "longest wait for handovers before owning"),
    _make_duration("leave_timeout_s", "longest wait for held flows before exiting"),
    _make_duration("flow_idle_s", "silence after which a flow is forgotten"),
    _make_duration("refusal_memory_s", "time a refused opening is refused again"),
    _make_duration("settle_s", "unsettled time after a member or table change"),
    _make_duration("slow_start_s", "time until a recovered row has its full share"),
    _make_duration("silence_s", "silence that makes an upstream suspect"),
    _make_tunable(
        "hysteresis",
        parse_factor,
        "a number of 1 or more",
        "how much worse the home must score before a flow is moved",
    ),
    _make_tunable(
        "max_ejected_weight",
        parse_share,
        "a number from 0 to 1",
        "largest share of a service's weight ejected on local evidence",
    ),
    _make_tunable(
        "generations_kept",
        parse_positive_count,
        "a whole number of 1 or more",
        "tables of a service kept for flows without state",
    ),
    _make_tunable(
        "ports_per_upstream",
        parse_ports,
        "a whole number from 1 to 30000",
        "flows per upstream and balancer, one UDP port each, shared by the upstreams",
    ),
    _make_tunable(
        "replication_bytes_per_s",
        ini.parse_count,
        "a whole number of 0 or more",
        "byte budget for sending overrides to backup owners",
    ),
    _make_tunable(
        "openings_carry_requests",
        ini.parse_flag,
        "yes or no",
        "whether a flow's first packet holds a request",
    ),
)


def read_balancer_settings(path: pathlib.Path) -> BalancerSettings:
    """Read and check a settings file.

    Raises
    ------
    ExceptionGroup
        With one `ini.SettingError` per fault.
    """

    def build(
        services: dict[str, str],
        seeds: dict[str, str],
        peer_address: str,
        control_address: str,
        metrics_address: str,
        **values: typing.Any,
    ) -> BalancerSettings:
        return BalancerSettings(
            core=settings.Settings(address=peer_address, seeds=tuple(seeds), **values),
            services={
                name: addresses.parse_address(text) for name, text in services.items()
            },
            peer_address=addresses.parse_address(peer_address),
            control_address=control_address,
            metrics_address=addresses.parse_address(metrics_address),
            seeds=seeds,
        )

    def find_faults(sections: ini.Sections) -> list[ini.SettingError]:
        return list(_find_section_faults(str(path), sections))

    return ini.read_settings(path, OPTIONS, build, FREE_SECTIONS, find_faults)


def _find_section_faults(
    path: str,
    sections: ini.Sections,
) -> abc.Iterator[ini.SettingError]:
    for section, entries in sections.items():
        for name, text in entries.items():
            if not _is_address(text):
                problem = f"{text!r} is not allowed: {ADDRESS_FORMAT}"
                yield ini.SettingError(path, section, name, problem)
    services = sections.get("services", {})
    if not services:
        yield ini.SettingError(path, "services", "*", "at least one service")
    if len(set(services.values())) < len(services):
        yield ini.SettingError(path, "services", "*", "addresses must differ")


def _is_address(text: str) -> bool:
    try:
        addresses.parse_address(text)
    except ValueError:
        return False
    return True


def list_options() -> abc.Iterator[str]:
    """Yield one line of help per key."""
    yield "[services] NAME: the service's listener, ip:port"
    yield "[seeds] NAME: another balancer's peer address, used until a VM list arrives"
    yield from ini.describe_options(OPTIONS)
