"""The history of the store that tables are edited in, and the floor of its versions.

One key names the cluster id of the store and holds the floor. If the store answers with
another cluster id, it was restored from a backup.
"""

import typing

import msgspec

from pistachioshed.core import tableversions
from pistachioshed.operations import documents, status
from pistachioshed.ports import store as store_port

HISTORIES_PREFIX: typing.Final = "/pistachioshed/histories/"


class History(typing.NamedTuple):
    """The history in which an edit is made, and what its transaction needs.

    `floor` is below all versions that the history gives out. `conditions` fail the
    transaction if the store has entered another history, or its floor was changed.
    `reported_version` is the highest version of the service in force on a node.
    """

    cluster_id: str
    floor: int
    time: str
    reported_version: int
    conditions: tuple[store_port.Compare, ...]
    writes: tuple[store_port.Write, ...] = ()


async def read_history(store: store_port.Store, service: str, time: str) -> History:
    """Read the history of the store, or start one if the store was restored.

    Call it before the table is read: a node then cannot have a version in force that is
    higher than the table's, unless the store has lost that version.
    """
    reported = await _read_reported_versions(store)
    response = await store.get_prefix(HISTORIES_PREFIX)
    floors = {pair.key: _decode_floor(pair) for pair in response.pairs}
    conditions = tuple(
        store_port.Compare(pair.key, "version", pair.version) for pair in response.pairs
    )
    key = HISTORIES_PREFIX + response.cluster_id
    history = History(
        response.cluster_id,
        floors.get(key, 0),
        time,
        reported.get(service, 0),
        conditions,
    )
    if key in floors:
        return history
    absent = store_port.Compare(key, "version", 0)
    history = history._replace(conditions=(absent, *conditions))
    # Without a key, a version in force on a node shows that the store is not a new one:
    # it was written by an earlier release, or restored from a backup of that time.
    if not floors and not reported:
        return _set_floor(history, 0)
    known_floor = max(floors.values(), default=0)
    history = _set_floor(history, tableversions.choose_floor(known_floor, time))
    # The key of the former history must not satisfy the conditions of an editor that
    # has read the store before it was restored.
    deletions = tuple(store_port.Delete(former_key) for former_key in floors)
    return history._replace(writes=(*history.writes, *deletions))


def check_reported(history: History, version: int) -> History:
    """Return the history with a higher floor if nodes are ahead of the stored table.

    Parameters
    ----------
    history : History
        The history, read before the table.
    version : int
        The version of the table, 0 if there is none.
    """
    if history.reported_version <= max(version, history.floor):
        return history
    known_version = max(history.reported_version, history.floor)
    floor = tableversions.choose_floor(known_version, history.time)
    return _set_floor(history, floor)


def _set_floor(history: History, floor: int) -> History:
    key = HISTORIES_PREFIX + history.cluster_id
    put = store_port.Put(key, msgspec.json.encode(floor))
    others = tuple(write for write in history.writes if write.key != key)
    return history._replace(floor=floor, writes=(put, *others))


def _decode_floor(pair: store_port.Pair) -> int:
    try:
        return msgspec.json.decode(pair.value, type=int)
    except msgspec.DecodeError as cause:
        raise documents.DocumentError(pair.key, str(cause)) from cause


async def _read_reported_versions(store: store_port.Store) -> dict[str, int]:
    """Return the highest version in force of each service, as the zones report it."""
    highest: dict[str, int] = {}
    for zone_status in await status.read_valid_status(store):
        for versions in zone_status["nodes"].values():
            for service, version in versions.items():
                highest[service] = max(highest.get(service, 0), version)
    return highest
