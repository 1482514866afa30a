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


class Plan(typing.NamedTuple):
    """A transaction that puts an edit in force."""

    compares: tuple[store_port.Compare, ...]
    table: tables.Table
    record: audit.Record


Prepare = abc.Callable[[], abc.Awaitable[Plan | Result]]


async def commit_edit(
    store: store_port.Store, service: str, edit_id: str, prepare: Prepare
) -> Result:
    """Prepare and send a transaction until one succeeds or the edit is found done.

    A transaction whose answer was lost may still take effect. Its conditions no
    longer hold once the table has changed, and an unchanged table gives the next
    transaction the same conditions, so at most one of them succeeds.
    """
    lost: store_port.AnswerLost | None = None
    sent: audit.Record | None = None
    for _ in range(MAX_ATTEMPTS):
        try:
            plan = await prepare()
            if isinstance(plan, Result):
                if sent is not None and plan.outcome == "replayed":
                    return plan._replace(outcome=sent.result)
                return plan
            writes = [
                store_port.Put(
                    documents.make_table_key(service),
                    documents.encode_table(plan.table),
                ),
                *audit.make_writes(plan.record),
            ]
            sent = plan.record
            answer = await store.transact(plan.compares, writes)
        except store_port.AnswerLost as error:
            lost = error
            continue
        except (store_port.StoreError, documents.DocumentError) as error:
            if lost is None:
                raise
            raise editrules.OutcomeUnknown(service, edit_id, lost) from error
        if answer.succeeded:
            return make_result(plan.record.result, plan.record)
    if lost is not None:
        raise editrules.OutcomeUnknown(service, edit_id, lost)
    reason = f"lost {MAX_ATTEMPTS} races"
    raise editrules.EditConflict(service, (), "other edits", reason)


def make_result(outcome: Outcome, record: audit.Record) -> Result:
    """Return the result of the edit that a record describes."""
    upstreams = tuple(sorted(audit.list_changed_rows(record)))
    return Result(outcome, record.service, record.version, record.edit_id, upstreams)
