"""Stand-in for the platform's key-value store: the etcd v3 JSON gateway.

It implements the calls that this project makes. `POST /admin` sets faults and
`GET /admin` returns them with counts of all calls by kind.
"""

import argparse
import collections
import contextlib
import typing
from collections import abc

import klein
import msgspec
from twisted.internet import defer, error, interfaces, task
from twisted.web import http, server

from standins import keyspace

PROGRESS_INTERVAL_SECONDS: typing.Final = 2.0
LEASE_CHECK_INTERVAL_SECONDS: typing.Final = 0.1


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults in force.

    `lose_answers` counts the next writes whose response is lost after they take effect,
    and `drop_writes` those whose connection is aborted before they take effect;
    `late_writes` counts those that lose their response and take effect `late_seconds`
    later. `silence_watches` stops all further messages to the watches that are open
    when it is set; `cancel_watches` cancels each new one.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0
    drop_writes: int = 0
    late_writes: int = 0
    late_seconds: float = 0.0
    expire_lease: int = 0
    silence_watches: bool = False
    cancel_watches: bool = False
    compact: int = 0


class Watcher(typing.NamedTuple):
    """An open watch."""

    request: http.Request
    key: bytes
    end: bytes
    start: int


class Store:
    """The store's keys, its faults and its open watches."""

    def __init__(self, clock: typing.Any) -> None:
        self.clock = clock
        self.keys = keyspace.KeySpace()
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.watchers: list[Watcher] = []
        self.app = make_app(self)
        self.loops = [
            task.LoopingCall(self.report_progress),
            task.LoopingCall(self.delete_expired_leases),
        ]
        for loop, seconds in zip(
            self.loops, (PROGRESS_INTERVAL_SECONDS, LEASE_CHECK_INTERVAL_SECONDS)
        ):
            loop.clock = clock
            loop.start(seconds, now=False)

    def publish(self, events: list[keyspace.Message]) -> None:
        """Send the events of one revision to the watches that match them."""
        for watcher in tuple(self.watchers):
            matching = [
                event
                for event in events
                if watcher.key <= keyspace.decode_bytes(event["kv"], "key")
                and keyspace.decode_bytes(event["kv"], "key") < watcher.end
                and int(event["kv"]["mod_revision"]) >= watcher.start
            ]
            if matching:
                self.send(watcher.request, {"events": matching})

    def send(self, request: http.Request, result: keyspace.Message) -> None:
        """Write one line to a watch."""
        result = {"header": self.keys.make_header(), **result}
        request.write(msgspec.json.encode({"result": result}) + b"\n")

    def report_progress(self) -> None:
        """Send the current revision to all open watches as a progress notification."""
        if not self.faults.down:
            for watcher in tuple(self.watchers):
                self.send(watcher.request, {})

    def delete_expired_leases(self) -> None:
        """Delete expired leases with their keys."""
        for lease_id in self.keys.find_expired_leases(self.clock.seconds()):
            self.publish(self.keys.delete_lease(lease_id))

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults and apply those that take effect at once."""
        self.faults = faults
        if faults.expire_lease:
            self.publish(self.keys.delete_lease(faults.expire_lease))
        if faults.compact:
            self.keys.compact(faults.compact)
        if faults.silence_watches:
            self.watchers.clear()
        if faults.down:
            watchers, self.watchers = self.watchers, []
            for watcher in watchers:
                abort_connection(watcher.request)

    def open_watch(self, request: http.Request, message: keyspace.Message) -> None:
        """Open a watch and send it the changes since its start revision."""
        create_request = message["create_request"]
        start = int(create_request.get("start_revision", 0)) or self.keys.revision + 1
        self.send(request, {"created": True})
        if self.faults.cancel_watches:
            self.send(request, {"canceled": True, "cancel_reason": "no leader"})
            request.finish()
            return
        if start <= self.keys.compacted_revision:
            compacted = str(self.keys.compacted_revision + 1)
            self.send(request, {"canceled": True, "compact_revision": compacted})
            request.finish()
            return
        key = keyspace.decode_bytes(create_request, "key")
        end = keyspace.decode_bytes(create_request, "range_end") or key + b"\0"
        watcher = Watcher(request, key, end, start)
        others, self.watchers = self.watchers, [watcher]
        for events in self.keys.read_history(start):
            self.publish(events)
        self.watchers = [*others, watcher]

        def close(_: object) -> None:
            if watcher in self.watchers:
                self.watchers.remove(watcher)

        request.notifyFinish().addBoth(close)


def make_app(state: Store) -> klein.Klein:
    """Return the HTTP application of a store."""
    app = klein.Klein()

    def read_range(message: keyspace.Message) -> keyspace.Message:
        return state.keys.read_range(message)

    def transact(message: keyspace.Message) -> keyspace.Message:
        response, events = state.keys.run_transaction(message)
        state.publish(events)
        return response

    def grant(message: keyspace.Message) -> keyspace.Message:
        lease_id = state.keys.grant_lease(int(message["TTL"]), state.clock.seconds())
        header = state.keys.make_header()
        return {"header": header, "ID": str(lease_id), "TTL": message["TTL"]}

    def keep_alive(message: keyspace.Message) -> keyspace.Message:
        ttl = state.keys.keep_alive(int(message["ID"]), state.clock.seconds())
        response = {"header": state.keys.make_header(), "ID": message["ID"]}
        return {"result": {**response, "TTL": str(ttl)} if ttl else response}

    def revoke(message: keyspace.Message) -> keyspace.Message:
        state.publish(state.keys.delete_lease(int(message["ID"])))
        return {"header": state.keys.make_header()}

    def serve(
        path: str,
        handler: abc.Callable[[keyspace.Message], keyspace.Message],
        writes: bool,
    ) -> None:
        @app.route(f"/v3/{path}", methods=["POST"], endpoint=path)
        async def handle(request: http.Request) -> bytes:
            state.calls[path] += 1
            message = read_message(request)
            if state.faults.delay_seconds:
                await task.deferLater(state.clock, state.faults.delay_seconds)
            if state.faults.down or (writes and consume_fault(state, "drop_writes")):
                await abort_connection(request)
            if writes and consume_fault(state, "late_writes"):
                state.clock.callLater(state.faults.late_seconds, handler, message)
                await abort_connection(request)
            try:
                result = handler(message)
            except keyspace.ValueTooLarge:
                request.setResponseCode(400)
                result = {"code": 3, "message": "request is too large"}
            if writes and consume_fault(state, "lose_answers"):
                await abort_connection(request)
            request.setHeader("Content-Type", "application/json")
            return msgspec.json.encode(result)

    serve("kv/range", read_range, False)
    serve("kv/txn", transact, True)
    serve("lease/grant", grant, True)
    serve("lease/keepalive", keep_alive, True)
    serve("kv/lease/revoke", revoke, True)
    serve("lease/revoke", revoke, True)

    @app.route("/v3/watch", methods=["POST"])
    async def watch(request: http.Request) -> None:
        state.calls["watch"] += 1
        message = read_message(request)
        if state.faults.delay_seconds:
            await task.deferLater(state.clock, state.faults.delay_seconds)
        if state.faults.down:
            await abort_connection(request)
        ended = request.notifyFinish()
        state.open_watch(request, message)
        with contextlib.suppress(error.ConnectionClosed):
            await ended

    @app.route("/admin", methods=["POST"])
    def set_faults(request: http.Request) -> bytes:
        state.set_faults(msgspec.convert(read_message(request), Faults))
        return b"{}"

    @app.route("/admin", methods=["GET"])
    def show(request: http.Request) -> bytes:
        return msgspec.json.encode(
            {
                "faults": state.faults,
                "calls": dict(state.calls),
                "open_watches": len(state.watchers),
                "revision": state.keys.revision,
            }
        )

    return app


def read_message(request: http.Request) -> keyspace.Message:
    """Return the JSON object in the body of a request."""
    content = typing.cast(typing.BinaryIO, request.content)
    return msgspec.json.decode(content.read(), type=keyspace.Message)


def consume_fault(state: Store, name: str) -> bool:
    """Return whether a counted fault applies, and decrement its count."""
    remaining: int = getattr(state.faults, name)
    setattr(state.faults, name, max(remaining - 1, 0))
    return remaining > 0


def abort_connection(request: http.Request) -> defer.Deferred[None]:
    """Abort a request's connection; the returned deferred never fires."""
    typing.cast(typing.Any, request.transport).abortConnection()
    return defer.Deferred()


def serve_store(
    reactor: typing.Any, address: str
) -> tuple[Store, interfaces.IListeningPort]:
    """Create a store and serve it at "ip:port"."""
    state = Store(reactor)
    host, _, port = address.rpartition(":")
    site = server.Site(state.app.resource())
    return state, reactor.listenTCP(int(port), site, interface=host)


def main() -> None:
    """Run a store until the process is stopped."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True, help="ip:port to listen on")
    _, listening = serve_store(reactor, parser.parse_args().address)
    host = typing.cast(typing.Any, listening).getHost()
    print(f"listening at {host.host}:{host.port}", flush=True)
    typing.cast(typing.Any, reactor).run()


if __name__ == "__main__":
    main()
