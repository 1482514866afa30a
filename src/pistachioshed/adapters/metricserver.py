"""HTTP server for the metrics of a Twisted daemon."""

import typing

import klein
from twisted.internet import interfaces
from twisted.web import http, server

from pistachioshed.adapters import metrics


def serve_metrics(
    process_metrics: metrics.Metrics,
    reactor: typing.Any,
    address: tuple[str, int],
) -> interfaces.IListeningPort:
    """Serve `/metrics` at an address.

    Returns
    -------
    interfaces.IListeningPort
        The listening port; the caller must stop it.
    """
    app = klein.Klein()

    @app.route("/metrics")
    def show_metrics(request: http.Request) -> bytes:
        request.setHeader("Content-Type", metrics.CONTENT_TYPE)
        return process_metrics.render()

    host, port = address
    site = server.Site(app.resource())
    listening_port: interfaces.IListeningPort = reactor.listenTCP(
        port, site, interface=host
    )
    return listening_port
