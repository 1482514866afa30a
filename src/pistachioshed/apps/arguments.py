"""Arguments and options shared by the operators' commands."""

import typing

import typer

from pistachioshed.core import tables

Service = typing.Annotated[str, typer.Argument(help="Name of the service.")]
Upstream = typing.Annotated[
    str, typer.Argument(help="Name of the upstream: the row to change.")
]
EditId = typing.Annotated[
    str,
    typer.Option(
        help="Id of an earlier edit whose outcome was unknown. If that edit took "
        "effect, nothing is changed again."
    ),
]
Force = typing.Annotated[
    bool,
    typer.Option("--force", help="Apply the edit even if no active row is left."),
]
Address = typing.Annotated[
    str | None,
    typer.Option(
        help="ip:port. The address of a row can not change, since its established "
        "flows are bound to it: add a row and drain this one."
    ),
]
Zone = typing.Annotated[str | None, typer.Option(help="Availability zone of the host.")]
Weight = typing.Annotated[
    float | None,
    typer.Option(help="Share of new flows relative to the other rows, 0 to 1000."),
]
Connections = typing.Annotated[
    int | None,
    typer.Option(help="Limit of open flows across all balancers, 0 to 1000000."),
]
Slots = typing.Annotated[
    int | None,
    typer.Option(help="Requests that the host processes concurrently, 1 to 10000."),
]
State = typing.Annotated[
    tables.RowState | None,
    typer.Option(help="active, or drain: no new flows, established ones stay."),
]
Json = typing.Annotated[
    bool, typer.Option("--json", help="Print JSON, one document on one line.")
]
