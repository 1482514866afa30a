"""Start a forwarder: bind its packet socket before the imports that take longer.

After a power failure of all machines callers repeat their packets within fractions of a
second. What arrives during the imports waits in the socket.
"""

import gc
import sys
import time

from pistachioshed.adapters import inifile, packetsocket


def find_packet_address(path: str) -> tuple[str, int] | None:
    """Return the packets' address in a settings file, None if it can not be read.

    The complete check of the settings, which reports all faults, comes later.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = inifile.parse_sections(file.read())["listen"]["packets"]
        host, _, port = text.rpartition(":")
        return host, int(port)
    except (OSError, ValueError, KeyError):
        return None


def bind_early(path: str) -> int | None:
    """Return the descriptor of the packet socket, None if it can not be bound yet."""
    address = find_packet_address(path)
    if address is None:
        return None
    try:
        return packetsocket.bind_descriptor(address)
    except (OSError, OverflowError):
        return None


def main() -> int:
    """Run a forwarder with the arguments of the process."""
    started_at = time.monotonic()
    arguments = sys.argv[1:]
    descriptor = bind_early(arguments[0]) if len(arguments) == 1 else None
    # What the imports create stays until the process ends.
    gc.disable()
    import socket

    from pistachioshed.apps import forwardercommand

    gc.freeze()
    gc.enable()
    packet_socket = None if descriptor is None else socket.socket(fileno=descriptor)
    return forwardercommand.main(arguments, packet_socket, started_at)


if __name__ == "__main__":
    sys.exit(main())
