"""Messages between a VM's control process and its balancer."""

import typing

import msgspec

from pistachioshed.core import events, tables

# An alias, since the field `tables` shadows the module inside the class body.
Tables = tuple[tables.Table, ...]


class Update(typing.NamedTuple):
    """An update from a control process to its balancer; empty fields change nothing."""

    tables: Tables = ()
    vms: tuple[events.Vm, ...] = ()
    probes: tuple[events.ProbeReported, ...] = ()


class Report(typing.NamedTuple):
    """A balancer's report to its control process, sent each second.

    `state` is the balancer's lifecycle state, `versions` the table version in force
    per service, `members` the names of the balancers that it considers active.
    """

    name: str
    zone: str
    state: str
    versions: dict[str, int]
    members: tuple[str, ...]


class LinkError(ValueError):
    """A message on the local link that cannot be decoded."""


def encode_message(message: Update | Report) -> bytes:
    """Encode a message as msgpack."""
    return msgspec.msgpack.encode(message)


def decode_update(payload: bytes) -> Update:
    """Decode an update.

    Raises
    ------
    LinkError
        If the payload is not an update.
    """
    try:
        return msgspec.msgpack.decode(payload, type=Update)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise LinkError(f"decode update: {error}") from error


def decode_report(payload: bytes) -> Report:
    """Decode a report.

    Raises
    ------
    LinkError
        If the payload is not a report.
    """
    try:
        return msgspec.msgpack.decode(payload, type=Report)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise LinkError(f"decode report: {error}") from error
