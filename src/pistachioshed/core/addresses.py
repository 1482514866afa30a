"""Parse the addresses of tables, settings and records."""

import socket


def parse_address(address: str) -> tuple[str, int]:
    """Split "ip:port" or "[ip6]:port" into IP address and port.

    Parameters
    ----------
    address : str
        The address to split.

    Returns
    -------
    tuple of str and int
        The IP address and the port, 1 to 65535.

    Raises
    ------
    ValueError
        If either part is missing or out of range.
    """
    host, _, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except OSError as error:
        raise ValueError(f"{host!r} is not an IP address") from error
    if not port.isascii() or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"{address!r} does not end in a port from 1 to 65535")
    return host, int(port)
