"""Commit an edit to the store and determine its outcome."""

import typing
from collections import abc

from pistachioshed.core import tables
from pistachioshed.operations import audit, documents, editrules, histories
from pistachioshed.ports import store as store_port

# An attempt fails on a concurrent edit or a lost response. A table gets only a few
# edits per minute, so repeated failures are rare.
MAX_ATTEMPTS: typing.Final = 8

Outcome = typing.Literal[
    "created", "applied", "merged", "reissued", "replayed", "unchanged"
]


class Author(typing.NamedTuple):
    """The operator who makes an edit and the time of the edit, for the audit trail."""

    who: str
    when: str


class Result(typing.NamedTuple):
    """The outcome of an edit; `version` is the table version that contains it."""

    outcome: Outcome
    service: str
    version: int
    edit_id: str
    upstreams: tuple[str, ...] = ()


class EditTransaction(typing.NamedTuple):
    """The conditions, the new table and the audit record of an edit to commit.

    `history` is the history of the store that the table was read from.
    """

    compares: tuple[store_port.Compare, ...]
    table: tables.Table
    record: audit.Record
    history: histories.History


Prepared = EditTransaction | Result | None
PrepareTransaction = abc.Callable[[], abc.Awaitable[Prepared]]


async def commit_edit(
    store: store_port.Store, service: str, edit_id: str, prepare: PrepareTransaction
) -> Result:
    """Commit an edit by compare-and-swap, retrying after conflicts and lost responses.

    `prepare` is called before each attempt. It returns a `Result` if no transaction is
    needed, for example because an earlier attempt has taken effect, and None if the
    store was restored between two of its reads.

    A transaction whose response was lost may still take effect later. If the table has
    changed by then, its conditions no longer hold. If the table has not changed, the
    next transaction has the same conditions on it. At most one of them succeeds.

    A transaction that a restored store has run may have made a version that the store
    had given out before. It is not the edit's result: `prepare` is called once more.
    """
    lost_response: store_port.AnswerLost | None = None
    sent_record: audit.Record | None = None
    for _ in range(MAX_ATTEMPTS):
        try:
            transaction = await prepare()
            if transaction is None:
                continue
            if isinstance(transaction, Result):
                if sent_record is not None and transaction.outcome == "replayed":
                    return transaction._replace(outcome=sent_record.result)
                return transaction
            writes = [
                store_port.Put(
                    documents.make_table_key(service),
                    documents.encode_table(transaction.table),
                ),
                *audit.make_writes(transaction.record),
                *transaction.history.writes,
            ]
            sent_record = transaction.record
            compares = (*transaction.compares, *transaction.history.conditions)
            response = await store.transact(compares, writes)
        except store_port.AnswerLost as error:
            lost_response = error
            continue
        except (store_port.StoreError, documents.DocumentError) as error:
            if lost_response is None:
                raise
            raise editrules.OutcomeUnknown(service, edit_id, lost_response) from error
        if response.succeeded:
            if response.cluster_id != transaction.history.cluster_id:
                cause = "the store was restored before the transaction"
                lost_response = store_port.AnswerLost(
                    "transact", f"cluster {response.cluster_id}", cause
                )
                continue
            return make_result(transaction.record.result, transaction.record)
    if lost_response is not None:
        raise editrules.OutcomeUnknown(service, edit_id, lost_response)
    reason = f"lost {MAX_ATTEMPTS} races"
    raise editrules.EditConflict(service, (), "other edits", reason)


def make_result(outcome: Outcome, record: audit.Record) -> Result:
    """Return the result of the edit that a record describes."""
    upstreams = tuple(sorted(audit.list_changed_rows(record)))
    return Result(outcome, record.service, record.version, record.edit_id, upstreams)
