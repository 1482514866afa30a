"""Builders of test data."""

from pistachioshed.core import controlevents, events, tables


def build_row(service: str, number: int, zone: str = "riga-a") -> tables.Row:
    """Return the row of a service's upstream by its number, counted from 1."""
    port = 20_000 + number
    return tables.Row(f"{service}-{number}", f"127.0.0.1:{port}", zone)


def build_table(service: str, hosts: int, version: int = 1) -> tables.Table:
    """Return a table whose rows differ only in name and address."""
    rows = tuple(build_row(service, number + 1) for number in range(hosts))
    return tables.Table(service, version, rows, f"edit-{version}")


def build_member(name: str, zone: str) -> controlevents.Member:
    """Return a member of the VM list with its control process's address."""
    return controlevents.Member(
        events.Vm(name, zone, "127.0.0.1:7000"), "127.0.0.1:7100"
    )
