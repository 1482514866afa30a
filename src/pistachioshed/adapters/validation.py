"""Check the types of decoded values that come from outside the process."""

import socket
import typing


def require(value: object, *expected_types: type) -> typing.Any:
    """Return a value if it has one of the types; a bool is not an int.

    Raises
    ------
    ValueError
        If it has another type.
    """
    if isinstance(value, bool) and bool not in expected_types:
        raise ValueError("unexpected type bool")
    if not isinstance(value, expected_types):
        raise ValueError(f"unexpected type {type(value).__name__}")
    return value


def get_field(
    fields: dict[str, typing.Any], name: str, *expected_types: type
) -> typing.Any:
    """Return a field if it has one of the types.

    Raises
    ------
    ValueError
        If it is missing or has another type.
    """
    if name not in fields:
        raise ValueError(f"{name} is missing")
    try:
        return require(fields[name], *expected_types)
    except ValueError as error:
        raise ValueError(f"{name}: {error}") from error


def require_count(value: object) -> int:
    """Return a whole number of 0 or more."""
    if require(value, int) < 0:
        raise ValueError(f"{value} is negative")
    return typing.cast(int, value)


def require_below(value: object, limit: int) -> int:
    """Return a whole number of 0 or more that is below a limit."""
    number = require_count(value)
    if number >= limit:
        raise ValueError(f"{number} is not below {limit}")
    return number


def require_amount(value: object) -> float:
    """Return a finite number of 0 or more."""
    number = float(require(value, int, float))
    if not 0.0 <= number < float("inf"):
        raise ValueError(f"{number} is not a finite number of 0 or more")
    return number


def require_address(value: object) -> tuple[str, int]:
    """Return an IPv4 address and port, given as a list or tuple.

    Raises
    ------
    ValueError
        If either is not valid.
    """
    ip, port = require_length(value, 2)
    try:
        socket.inet_pton(socket.AF_INET, require(ip, str))
    except OSError as error:
        raise ValueError(f"{ip!r} is not an IPv4 address") from error
    if not 0 < require(port, int) < 65_536:
        raise ValueError(f"port {port} is out of range")
    return ip, port


def require_length(value: object, length: int) -> list[typing.Any]:
    """Return a list or tuple if it has the length."""
    items = list(require(value, list, tuple))
    if len(items) != length:
        raise ValueError(f"{len(items)} items in place of {length}")
    return items
