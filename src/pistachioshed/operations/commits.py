"""The transaction that puts an edit in force, and what becomes of it."""

import typing
from collections import abc

from pistachioshed.core import tables
from pistachioshed.operations import audit, documents, editrules
from pistachioshed.ports import store as store_port

# Each attempt but the last lost a race or an answer; tables see few edits a minute.
MAX_ATTEMPTS: typing.Final = 8

Outcome = typing.Literal["created", "applied", "merged", "replayed", "unchanged"]


class Author(typing.NamedTuple):
    """Who makes an edit, and when."""

    who: str
    when: str


class Result(typing.NamedTuple):
    """What became of an edit; `version` is the one that holds it."""

    outcome: Outcome
    service: str
    version: int
    edit_id: str
    upstreams: tuple[str, ...] = ()


class EditTransaction(typing.NamedTuple):
    """A transaction that puts an edit in force."""

    compares: tuple[store_port.Compare, ...]
    table: tables.Table
    record: audit.Record


PrepareTransaction = abc.Callable[[], abc.Awaitable[EditTransaction | Result]]


async def commit_edit(
    store: store_port.Store, service: str, edit_id: str, prepare: PrepareTransaction
) -> Result:
    """Prepare and send a transaction until one succeeds or the edit is found done.

    A transaction whose answer was lost may still take effect. Its conditions no
    longer hold once the table has changed, and an unchanged table gives the next
    transaction the same conditions, so at most one of them succeeds.
    """
    lost_response: store_port.AnswerLost | None = None
    sent_record: audit.Record | None = None
    for _ in range(MAX_ATTEMPTS):
        try:
            transaction = await prepare()
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
            ]
            sent_record = transaction.record
            response = await store.transact(transaction.compares, writes)
        except store_port.AnswerLost as error:
            lost_response = error
            continue
        except (store_port.StoreError, documents.DocumentError) as error:
            if lost_response is None:
                raise
            raise editrules.OutcomeUnknown(service, edit_id, lost_response) from error
        if response.succeeded:
            return make_result(transaction.record.result, transaction.record)
    if lost_response is not None:
        raise editrules.OutcomeUnknown(service, edit_id, lost_response)
    reason = f"lost {MAX_ATTEMPTS} races"
    raise editrules.EditConflict(service, (), "other edits", reason)


def make_result(outcome: Outcome, record: audit.Record) -> Result:
    """Return the result of the edit that a record describes."""
    upstreams = tuple(sorted(audit.list_changed_rows(record)))
    return Result(outcome, record.service, record.version, record.edit_id, upstreams)
