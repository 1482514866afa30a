"""Apply the changes that an operator made in an exported sheet."""

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
    """Apply the differences between a sheet and the version it was exported from.

    Parameters
    ----------
    store : Store
        The key-value store.
    service : str
        The service.
    sheet : Sheet
        The edited sheet.
    edit_id : str
        The id of the edit.
    author : Author
        The operator and the time, for the audit trail.
    force : bool
        Whether the edit may leave the service without an active row.

    Returns
    -------
    Result
        The result, with the version that contains the edit.

    Raises
    ------
    EditConflict, EditRefused, ExceptionGroup
        If the edit conflicts with another one or violates a rule.
    OutcomeUnknown
        If a response was lost and the outcome could not be determined.
    """
    async with edits.record_refusals(store, service, edit_id, sheet.version, author):
        check_service(service, sheet)
        current, _, cluster_id = await edits.read_snapshot(store, service)
        newer = await edits.read_newer_records(store, current, sheet.version)
    base = audit.revert_edits(current, newer)
    edit = sheets.make_edit(base, sheet, edit_id)
    if not tables.list_edited_rows(edit):
        found = commits.Result("unchanged", service, current.version, edit_id)
        return await edits.confirm_result(store, found, cluster_id, author)
    return await edits.apply_edit(store, service, edit, sheet.version, author, force)


def check_service(service: str, sheet: sheets.Sheet) -> None:
    """Check that a sheet belongs to a service.

    Raises
    ------
    EditRefused
        If the sheet belongs to another service.
    """
    if sheet.service != service:
        reason = f"the sheet is of service {sheet.service!r}"
        raise editrules.EditRefused(service, (), reason)
