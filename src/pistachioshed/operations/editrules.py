"""Rules for merging and validating edits, and the errors for rejected edits."""

import ipaddress
from collections import abc

from pistachioshed.core import addresses, tables
from pistachioshed.operations import audit


class EditConflict(Exception):
    """An edit that cannot be merged with edits applied before it.

    `upstreams` names the rows affected; `conflicting_edits` describes the edits that
    were applied first.
    """

    def __init__(
        self,
        service: str,
        upstreams: abc.Iterable[str],
        conflicting_edits: str,
        reason: str,
    ) -> None:
        self.service = service
        self.upstreams = tuple(sorted(upstreams))
        self.conflicting_edits = conflicting_edits
        self.reason = reason
        names = ", ".join(self.upstreams)
        super().__init__(
            f"{service}: conflict with {conflicting_edits}: {reason}: {names}"
        )


class EditRefused(Exception):
    """An edit that violates a rule."""

    def __init__(self, service: str, upstreams: abc.Iterable[str], reason: str) -> None:
        self.service = service
        self.upstreams = tuple(sorted(upstreams))
        self.reason = reason
        super().__init__(f"{service}: refused: {reason}")


class ServiceUnknown(Exception):
    """A service that has no table."""

    def __init__(self, service: str) -> None:
        self.service = service
        super().__init__(f"{service}: there is no such service")


class OutcomeUnknown(Exception):
    """An edit that was sent to the store but may or may not have taken effect."""

    def __init__(self, service: str, edit_id: str, cause: Exception) -> None:
        self.service = service
        self.edit_id = edit_id
        super().__init__(
            f"{service}: edit {edit_id} may or may not have taken effect, "
            f"repeat it with --edit-id {edit_id}: {cause}"
        )


def merge_edit(
    table: tables.Table,
    edit: tables.Edit,
    newer: abc.Sequence[audit.Record],
    force: bool = False,
) -> tables.Table:
    """Apply an edit to the current table.

    Parameters
    ----------
    table : Table
        The current version.
    edit : Edit
        The rows to change, based on the current or an earlier version.
    newer : sequence of Record
        The edits applied since the base version of the edit, newest first.
    force : bool
        Whether the edit may leave no active row. Ignored if `newer` is not empty, since
        the author of the edit has not seen the rows that would remain.

    Returns
    -------
    Table
        The next version.

    Raises
    ------
    EditConflict
        If a newer edit changed one of the same rows, or if there are newer edits and
        the merged table is invalid or has no active row.
    EditRefused
        If there are no newer edits and no active row would be left without `force`.
    ExceptionGroup
        If there are no newer edits and the edited table is invalid.
    """
    edited_names = tables.list_edited_rows(edit)
    overlapping = [r for r in newer if edited_names & audit.list_changed_rows(r)]
    if overlapping:
        changed = frozenset().union(*map(audit.list_changed_rows, overlapping))
        conflicting_edits = ", ".join(describe_edit(record) for record in overlapping)
        raise EditConflict(
            table.service, edited_names & changed, conflicting_edits, "rows changed"
        )
    try:
        edited = tables.apply_edit(table, edit)
    except ExceptionGroup as cause:
        if not newer:
            raise
        reason = "; ".join(str(row_error) for row_error in cause.exceptions)
        conflicting_edits = describe_edit(newer[0])
        raise EditConflict(
            table.service, edited_names, conflicting_edits, reason
        ) from cause
    if tables.count_active_rows(edited) == 0:
        if newer:
            conflicting_edits = describe_edit(newer[0])
            reason = "together they leave no active row"
            raise EditConflict(table.service, edited_names, conflicting_edits, reason)
        if not force:
            reason = "no active row would be left; --force applies the edit anyway"
            raise EditRefused(table.service, edited_names, reason)
    return edited


def describe_edit(record: audit.Record) -> str:
    """Return a description of an applied edit for messages."""
    return f"edit {record.edit_id} by {record.who} (version {record.version})"


def list_added_rows(table: tables.Table, edit: tables.Edit) -> tuple[tables.Row, ...]:
    """Return the rows of an edit whose addresses are not in the table."""
    present = {normalize_address(row.address) for row in table.rows}
    return tuple(
        row for row in edit.upserts if normalize_address(row.address) not in present
    )


def check_addresses(
    service: str, added: abc.Iterable[tables.Row], others: abc.Iterable[tables.Table]
) -> None:
    """Check that no other service uses the addresses of added rows.

    A host shared by two services could receive packets of one service on flows of the
    other.

    Raises
    ------
    EditRefused
        If another service uses one of the addresses; the reason names all such rows and
        the services that use their addresses.
    """
    services_by_address = {
        normalize_address(row.address): other.service
        for other in others
        if other.service != service
        for row in other.rows
    }
    conflicting = {
        row.upstream: services_by_address[normalize_address(row.address)]
        for row in added
        if normalize_address(row.address) in services_by_address
    }
    if conflicting:
        uses = ", ".join(
            f"{name} (of {conflicting[name]})" for name in sorted(conflicting)
        )
        reason = f"addresses that another service's table uses: {uses}"
        raise EditRefused(service, conflicting, reason)


def normalize_address(address: str) -> tuple[str, int]:
    """Return the canonical form of an address, equal for equal endpoints."""
    host, port = addresses.parse_address(address)
    return ipaddress.ip_address(host).compressed, port
