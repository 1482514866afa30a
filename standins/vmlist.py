"""Stand-in for the platform's VM list, which lags behind the actual VMs.

`GET /vms` returns the list as it was `lag_s` ago. `POST /admin` takes
`{"vms": [...], "lag_s": N, "down": bool}`, each field optional; `GET /admin` returns
the current list and the number of reads.
"""

import argparse
import typing

import klein
import msgspec
from twisted.web import http, server

DEFAULT_LAG_S: typing.Final = 2.0


class ListedVm(msgspec.Struct):
    """A VM; `control` is the bus address of its control process."""

    name: str
    zone: str
    address: str
    control: str
    capacity: float = 1.0
    leaving: bool = False


class Change(msgspec.Struct, forbid_unknown_fields=True):
    """A request to the admin endpoint."""

    vms: list[ListedVm] | None = None
    lag_s: float | None = None
    down: bool | None = None


class VmList:
    """The current list and the earlier lists, which are shown with a lag."""

    def __init__(self, clock: typing.Any, lag_s: float = DEFAULT_LAG_S) -> None:
        self.clock = clock
        self.lag_s = lag_s
        self.down = False
        self.reads = 0
        self.history: list[tuple[float, list[ListedVm]]] = [(float("-inf"), [])]
        self.app = make_app(self)

    def change(self, change: Change) -> None:
        """Apply a change."""
        if change.lag_s is not None:
            self.lag_s = change.lag_s
        if change.down is not None:
            self.down = change.down
        if change.vms is not None:
            # The first list is shown without a lag, because the platform knows the VMs
            # that it starts with.
            first = len(self.history) == 1
            time = float("-inf") if first else self.clock.seconds()
            self.history.append((time, change.vms))

    def get_lagged_list(self) -> list[ListedVm]:
        """Return the list as it was `lag_s` ago."""
        shown_until = self.clock.seconds() - self.lag_s
        return [vms for time, vms in self.history if time <= shown_until][-1]


def make_app(state: VmList) -> klein.Klein:
    """Return the HTTP application of a VM list."""
    app = klein.Klein()

    @app.route("/vms", methods=["GET"])
    def show_vms(request: http.Request) -> bytes:
        state.reads += 1
        if state.down:
            request.setResponseCode(503)
            return b""
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(state.get_lagged_list())

    @app.route("/admin", methods=["GET"])
    def show_state(request: http.Request) -> bytes:
        response = {"vms": state.history[-1][1], "reads": state.reads}
        return msgspec.json.encode(response)

    @app.route("/admin", methods=["POST"])
    def change_state(request: typing.Any) -> bytes:
        try:
            change = msgspec.json.decode(request.content.read(), type=Change)
        except msgspec.MsgspecError as error:
            request.setResponseCode(400)
            return str(error).encode()
        state.change(change)
        return b"{}"

    return app


def main() -> None:
    """Run a VM list until the process is stopped."""
    from twisted.internet import reactor as installed_reactor

    reactor: typing.Any = installed_reactor
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--lag", type=float, default=DEFAULT_LAG_S)
    arguments = parser.parse_args()
    state = VmList(reactor, arguments.lag)
    site = server.Site(state.app.resource())
    reactor.listenTCP(arguments.port, site, interface=arguments.host)
    reactor.run()


if __name__ == "__main__":
    main()
