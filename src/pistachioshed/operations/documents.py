"""Store keys and JSON documents of service tables."""

import re
import typing

import msgspec

from pistachioshed.core import tables

TABLES_PREFIX: typing.Final = "/pistachioshed/tables/"
SERVICE_PATTERN: typing.Final = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
SERVICE_RULE: typing.Final = (
    "1 to 63 of a-z, 0-9 and hyphen, with no hyphen at either end"
)


class RowDocument(typing.TypedDict):
    """A table row as stored."""

    upstream: str
    address: str
    zone: str
    weight: float
    connections: int
    slots: int
    state: tables.RowState


class TableDocument(typing.TypedDict):
    """A table as stored."""

    service: str
    version: int
    edit_id: str
    rows: list[RowDocument]


class ServiceNameError(ValueError):
    """An invalid service name."""

    def __init__(self, service: str) -> None:
        self.service = service
        super().__init__(f"service {service!r}: {SERVICE_RULE}")


class DocumentError(ValueError):
    """A stored value that is not a valid document for its key."""

    def __init__(self, key: str, cause: str) -> None:
        self.key = key
        self.cause = cause
        super().__init__(f"read {key}: {cause}")


def make_table_key(service: str) -> str:
    """Return the key of a service's table.

    Raises
    ------
    ServiceNameError
        If the name is invalid.
    """
    if not SERVICE_PATTERN.fullmatch(service):
        raise ServiceNameError(service)
    return TABLES_PREFIX + service


def make_table_document(table: tables.Table) -> TableDocument:
    """Return the document of a table."""
    rows = [typing.cast(RowDocument, row._asdict()) for row in table.rows]
    return TableDocument(
        service=table.service,
        version=table.version,
        edit_id=table.edit_id,
        rows=rows,
    )


def encode_table(table: tables.Table) -> bytes:
    """Return a table encoded as a store value."""
    return msgspec.json.encode(make_table_document(table))


def decode_table(key: str, value: bytes) -> tables.Table:
    """Decode a table from a store value.

    Raises
    ------
    DocumentError
        If the value is not a valid table or belongs to another service.
    """
    try:
        document = msgspec.json.decode(value, type=TableDocument)
    except msgspec.DecodeError as cause:
        raise DocumentError(key, str(cause)) from cause
    if TABLES_PREFIX + document["service"] != key:
        raise DocumentError(key, f"holds the table of {document['service']!r}")
    rows = tuple(tables.Row(**row) for row in document["rows"])
    table = tables.Table(
        document["service"], document["version"], rows, document["edit_id"]
    )
    for row_error in tables.find_row_errors(table):
        raise DocumentError(key, str(row_error)) from row_error
    return table
