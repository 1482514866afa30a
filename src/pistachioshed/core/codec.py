"""Tables as the store holds them: JSON objects."""

import typing

import msgspec

from pistachioshed.core import tables

TABLES_PREFIX: typing.Final = "/pistachioshed/tables/"
COLUMN_TYPES: typing.Final = typing.get_type_hints(tables.Row)


class CodecError(ValueError):
    """A value that is not a table; names the key."""


class StoredTable(msgspec.Struct):
    """The JSON form of a table."""

    service: str
    version: int
    edit_id: str
    rows: list[dict[str, object]]


def make_table_key(service: str) -> str:
    """Return the store key of a service's table."""
    return TABLES_PREFIX + service


def encode_table(table: tables.Table) -> bytes:
    """Encode a table for the store."""
    rows = [row._asdict() for row in table.rows]
    return msgspec.json.encode(
        StoredTable(table.service, table.version, table.edit_id, rows)
    )


def decode_table(key: str, value: bytes) -> tables.Table:
    """Decode a table from the store.

    Raises
    ------
    CodecError
        If the value is not a table of the key's service.
    """
    try:
        stored = msgspec.json.decode(value, type=StoredTable)
        rows = tuple(_convert_row(row) for row in stored.rows)
    except (msgspec.DecodeError, msgspec.ValidationError, TypeError) as error:
        raise CodecError(f"decode {key}: {error}") from error
    if make_table_key(stored.service) != key:
        raise CodecError(f"decode {key}: it holds service {stored.service!r}")
    return tables.Table(stored.service, stored.version, rows, stored.edit_id)


def _convert_row(row: dict[str, object]) -> tables.Row:
    unknown = row.keys() - COLUMN_TYPES.keys()
    if unknown:
        raise TypeError(f"unknown columns {sorted(unknown)}")
    types = typing.get_type_hints(tables.Row)
    values = {name: msgspec.convert(value, types[name]) for name, value in row.items()}
    return tables.Row(**values)
