"""Upstream hosts of one service: HTTP/3 for callers, HTTP for probes and admin.

Run as `python -m standins.upstream --service booking --host booking-1=127.0.0.1:20001`.
Each host serves HTTP/3 over UDP and `/health`, `/load` and `/admin` over TCP on the
same port number.
"""

import asyncio
import json
import pathlib
import signal
import time
import typing

import klein
import typer
from twisted.internet import task
from twisted.web import http, server

from pistachioshed.adapters import reactors
from standins import hosts, http3, http3server

ADMIN_FIELDS: typing.Final = {
    "speed": float,
    "queue_limit": int,
    "shedding": bool,
    "probe_lag_s": float,
    "probe_lie": dict,
}


class Upstream:
    """The listeners of one host."""

    def __init__(
        self,
        host: hosts.Host,
        address: http3.Address,
        reactor: typing.Any,
    ) -> None:
        self.host = host
        self.address = address
        self.reactor = reactor
        self.connections: set[http3server.Server] = set()
        self.quic_server: typing.Any = None

    async def start(self) -> None:
        """Open the listeners."""
        await self._listen()
        site = server.Site(make_app(self).resource())
        self.reactor.listenTCP(self.address[1], site, interface=self.address[0])

    async def _listen(self) -> None:
        self.quic_server = await http3server.serve(
            self.address,
            self.host.respond,
            self.connections,
            self.host.record_opening,
        )

    async def drain(self) -> None:
        """Report draining and send GOAWAY on all connections."""
        self.host.draining = True
        for connection in list(self.connections):
            connection.send_goaway()

    async def restart(self) -> None:
        """Drop all connections without notifying the callers, and start cold."""
        self.quic_server._transport.abort()
        for connection in list(self.connections):
            for running in connection.tasks.values():
                running.cancel()
            if connection._timer is not None:
                connection._timer.cancel()
        self.connections.clear()
        self.host.restart()
        await asyncio.sleep(0.05)
        await self._listen()

    def describe(self) -> dict[str, object]:
        """Return the counts that the admin endpoint shows."""
        return {
            "host": self.host.name,
            "service": self.host.service,
            "opened": self.host.opened,
            "handled": self.host.handled,
            "connections": len(self.connections),
            "executed": len(self.host.executed),
            "busy": self.host.busy,
            "waiting": self.host.waiting,
        }


def make_app(upstream: Upstream) -> klein.Klein:
    """Return the HTTP application of a host."""
    app = klein.Klein()
    host = upstream.host

    @app.route("/health")
    async def show_health(request: http.Request) -> bytes:
        await task.deferLater(upstream.reactor, host.probe_lag_s, lambda: None)
        request.setHeader("Content-Type", "application/json")
        health = host.describe_health()
        if health["status"] not in ("ok", "draining"):
            request.setResponseCode(503)
        return json.dumps(health).encode()

    @app.route("/load")
    async def show_load(request: http.Request) -> bytes:
        await task.deferLater(upstream.reactor, host.probe_lag_s, lambda: None)
        request.setHeader("Content-Type", "application/json")
        return json.dumps(host.describe_load()).encode()

    @app.route("/admin", methods=["GET"])
    def show_host(request: http.Request) -> bytes:
        return json.dumps(upstream.describe()).encode()

    @app.route("/admin", methods=["POST"])
    def change_host(request: typing.Any) -> bytes:
        change = json.loads(request.content.read())
        loop = asyncio.get_running_loop()
        for action in ("drain", "restart"):
            if change.pop(action, False):
                started_task = loop.create_task(getattr(upstream, action)())
                started_task.add_done_callback(lambda done: done.result())
        for field, value in change.items():
            setattr(host, field, ADMIN_FIELDS[field](value))
        return b"{}"

    return app


def run(
    service: typing.Annotated[str, typer.Option(help="Name of the service.")],
    host: typing.Annotated[
        list[str], typer.Option(help="NAME=IP:PORT of a host; repeatable.")
    ],
    record: typing.Annotated[
        pathlib.Path,
        typer.Option(help="JSON Lines file, one line per execution."),
    ],
    speed: typing.Annotated[
        list[str] | None,
        typer.Option(help="NAME=FACTOR, 1 by default; repeatable."),
    ] = None,
) -> None:
    """Run upstream hosts until SIGTERM."""
    loop, reactor = reactors.install_reactor()

    file = record.open("a", buffering=1)

    def write_record(entry: dict[str, object]) -> None:
        file.write(json.dumps(entry) + "\n")

    speeds = dict(text.split("=") for text in speed or [])

    async def start() -> None:
        for text in host:
            name, _, address = text.partition("=")
            ip, _, port = address.rpartition(":")
            model = hosts.Host(service, name, write_record)
            model.speed = float(speeds.get(name, "1"))
            await Upstream(model, (ip, int(port)), reactor).start()
        print(json.dumps({"ready": service, "time": time.time()}), flush=True)

    stop = reactor.stop
    loop.add_signal_handler(signal.SIGTERM, stop)
    started_task = loop.create_task(start())
    started_task.add_done_callback(lambda done: done.result())
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    typer.run(run)
