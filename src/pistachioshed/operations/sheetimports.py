"""Apply a sheet to the version of the table that it was exported from."""

from pistachioshed.core import tables
from pistachioshed.operations import audit, commits, editrules, edits, sheets
from pistachioshed.ports import store as store_port


async def apply_sheet(
    store: store_port.Store,
    service: str,
    sheet: sheets.Sheet,
    edit_id: str,
    author: commits.Author,
    force: bool = False,
) -> commits.Result:
    """Apply what an operator changed in a sheet.

    Parameters
    ----------
    store : Store
        The platform's store.
    service : str
        The service.
    sheet : Sheet
        The edited sheet.
    edit_id : str
        The edit's id.
    author : Author
        For the audit trail.
    force : bool
        Whether the edit may leave the service without an active row.

    Returns
    -------
    Result
        With the version that holds the edit.

    Raises
    ------
    EditConflict, EditRefused, ExceptionGroup
        If the edit is not allowed.
    OutcomeUnknown
        If the answer was lost and the store can not be asked.
    """
    async with edits.record_refusals(store, service, edit_id, sheet.version, author):
        check_service(service, sheet)
        current = await edits.read_table(store, service)
        newer = await edits.read_newer_records(store, current, sheet.version)
    base = audit.revert_edits(current, newer)
    edit = sheets.make_edit(base, sheet, edit_id)
    if not tables.list_edited_rows(edit):
        return commits.Result("unchanged", service, current.version, edit_id)
    return await edits.apply_edit(store, service, edit, sheet.version, author, force)


def check_service(service: str, sheet: sheets.Sheet) -> None:
    """Check that a sheet is of a service.

    Raises
    ------
    EditRefused
        If it is of another one.
    """
    if sheet.service != service:
        reason = f"the sheet is of service {sheet.service!r}"
        raise editrules.EditRefused(service, (), reason)
