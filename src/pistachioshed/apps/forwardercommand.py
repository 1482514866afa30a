"""The command line of the forwarder."""

import signal
import socket
import sys
import time
from collections import abc

from pistachioshed.adapters import jsonlog, packetsocket
from pistachioshed.apps import forwarder, forwarderoptions


def main(
    arguments: abc.Sequence[str] = tuple(sys.argv[1:]),
    packet_socket: socket.socket | None = None,
    started_at: float | None = None,
) -> int:
    """Run a forwarder with the settings file named by the first argument.

    `packet_socket` is already bound, if it is given; `started_at` is the monotonic time
    at which it was.
    """
    if list(arguments) == ["--list-settings"]:
        print("\n".join(forwarderoptions.list_options()))
        return 0
    if len(arguments) != 1:
        print(
            "usage: pistachioshed-forwarder SETTINGS|--list-settings", file=sys.stderr
        )
        return 2
    try:
        settings = forwarderoptions.read_forwarder_settings(arguments[0])
    except ExceptionGroup as group:
        for fault in group.exceptions:
            print(fault, file=sys.stderr)
        return 2
    identity = {"program": "forwarder", "node": settings.name, "zone": settings.zone}
    stream = jsonlog.BoundedStream(sys.stdout.fileno())
    jsonlog.set_sink(jsonlog.make_sink(identity, stream))
    process = forwarder.Forwarder(
        settings,
        arguments[0],
        stream,
        packet_socket
        or socket.socket(fileno=packetsocket.bind_descriptor(settings.packets)),
    )
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, process.handle_signal)
    bound_s = 0.0 if started_at is None else time.monotonic() - started_at
    process.start(bound_s)
    process.loop.run_until(lambda: process.is_stopped)
    process.close()
    return 0
