"""The command line of the forwarder."""

import signal
import socket
import sys
import time
import typing
from collections import abc

from pistachioshed.adapters import jsonlog, packetsocket
from pistachioshed.apps import explaining, forwarder, forwarderoptions

USAGE: typing.Final = """\
usage: pistachioshed-forwarder SETTINGS
       pistachioshed-forwarder --explain SETTINGS ROUTE
       pistachioshed-forwarder --list-settings"""


def main(
    arguments: abc.Sequence[str] = tuple(sys.argv[1:]),
    packet_socket: socket.socket | None = None,
    started_at: float | None = None,
) -> int:
    """Run a forwarder with the settings file named by the first argument.

    With `--explain`, ask the running forwarder with these settings about a route.
    `packet_socket` is already bound, if it is given; `started_at` is the monotonic time
    at which it was.
    """
    if list(arguments) == ["--list-settings"]:
        print("\n".join(forwarderoptions.list_options()))
        return 0
    is_explaining = len(arguments) == 3 and arguments[0] == "--explain"
    if len(arguments) != 1 and not is_explaining:
        print(USAGE, file=sys.stderr)
        return 2
    path = arguments[1 if is_explaining else 0]
    try:
        settings = forwarderoptions.read_forwarder_settings(path)
    except ExceptionGroup as group:
        for fault in group.exceptions:
            print(fault, file=sys.stderr)
        return 2
    if is_explaining:
        return explaining.print_explanation(settings.metrics, arguments[2])
    identity = {"program": "forwarder", "node": settings.name, "zone": settings.zone}
    stream = jsonlog.BoundedStream(sys.stdout.fileno())
    jsonlog.set_sink(jsonlog.make_sink(identity, stream))
    process = forwarder.Forwarder(
        settings,
        path,
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
