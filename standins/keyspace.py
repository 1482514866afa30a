"""State of the store stand-in: keys with revisions, history and leases."""

import base64
import itertools
import typing
from collections import abc

Message = dict[str, typing.Any]


# The platform's size limit for one value.
MAX_VALUE_BYTES: typing.Final = 1_000_000


class ValueTooLarge(Exception):
    """A value exceeds the platform's size limit."""


class Lease(typing.NamedTuple):
    """A lease and the time at which it expires."""

    ttl_seconds: int
    end: float


def encode_bytes(value: bytes) -> str:
    """Return bytes in the gateway's encoding, base64."""
    return base64.b64encode(value).decode()


def decode_bytes(message: Message, field: str) -> bytes:
    """Return a bytes field of a gateway message, empty if absent."""
    return base64.b64decode(message.get(field, ""))


class Copy(typing.NamedTuple):
    """The content of a key space at a revision."""

    revision: int
    compacted_revision: int
    pairs: dict[bytes, Message]
    history: tuple[tuple[int, list[Message]], ...]


class KeySpace:
    """Multi-version key space of the etcd v3 API, operating on gateway messages.

    A restoration from a copy gives the cluster a new id.
    """

    def __init__(self) -> None:
        self.cluster_id = 1
        self.revision = 1
        self.compacted_revision = 0
        self.pairs: dict[bytes, Message] = {}
        self.history: list[tuple[int, list[Message]]] = []
        self.leases: dict[int, Lease] = {}
        self.lease_ids = itertools.count(7_001)

    def make_header(self) -> Message:
        """Return the header of a response."""
        return {
            "cluster_id": str(self.cluster_id),
            "member_id": "1",
            "revision": str(self.revision),
        }

    def make_copy(self) -> Copy:
        """Return the current content without its leases, to restore it later."""
        return Copy(
            self.revision,
            self.compacted_revision,
            dict(self.pairs),
            tuple(self.history),
        )

    def restore(self, copy: Copy) -> None:
        """Return to the content of a copy; all that was written since is lost."""
        self.cluster_id += 1
        self.revision = copy.revision
        self.compacted_revision = copy.compacted_revision
        self.pairs = dict(copy.pairs)
        self.history = list(copy.history)
        self.leases = {}

    def select_keys(self, message: Message) -> list[bytes]:
        """Return the existing keys in the range of a request, in order."""
        key = decode_bytes(message, "key")
        end = decode_bytes(message, "range_end")
        if not end:
            return [key] if key in self.pairs else []
        return sorted(k for k in self.pairs if key <= k and (end == b"\0" or k < end))

    def read_range(self, message: Message) -> Message:
        """Return the response to a range request."""
        keys = self.select_keys(message)
        if message.get("sort_order") == "DESCEND":
            keys.reverse()
        limit = int(message.get("limit", 0))
        response: Message = {"header": self.make_header(), "count": str(len(keys))}
        if limit and len(keys) > limit:
            keys, response["more"] = keys[:limit], True
        if keys:
            response["kvs"] = [self.pairs[key] for key in keys]
        return response

    def run_transaction(self, message: Message) -> tuple[Message, list[Message]]:
        """Run a transaction; return its response and the events it caused."""
        for request in (*message.get("success", ()), *message.get("failure", ())):
            put = request.get("request_put", {})
            if len(decode_bytes(put, "value")) > MAX_VALUE_BYTES:
                raise ValueTooLarge
        succeeded = all(self._check(compare) for compare in message.get("compare", ()))
        events: list[Message] = []
        responses: list[Message] = []
        for request in message.get("success" if succeeded else "failure", ()):
            if "request_put" in request:
                events.append(self._put(request["request_put"]))
                responses.append({"response_put": {"header": self.make_header()}})
            elif "request_delete_range" in request:
                keys = self.select_keys(request["request_delete_range"])
                events += [self._delete(key) for key in keys]
                responses.append({"response_delete_range": {"deleted": str(len(keys))}})
            else:
                response = self.read_range(request["request_range"])
                responses.append({"response_range": response})
        self._commit(events)
        response = {"header": self.make_header(), "responses": responses}
        if succeeded:
            response["succeeded"] = True
        return response, events

    def grant_lease(self, ttl_seconds: int, now: float) -> int:
        """Create a lease and return its id."""
        lease_id = next(self.lease_ids)
        self.leases[lease_id] = Lease(ttl_seconds, now + ttl_seconds)
        return lease_id

    def keep_alive(self, lease_id: int, now: float) -> int:
        """Renew a lease and return its time to live, or 0 if it does not exist."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        self.leases[lease_id] = lease._replace(end=now + lease.ttl_seconds)
        return lease.ttl_seconds

    def delete_lease(self, lease_id: int) -> list[Message]:
        """Delete a lease and its keys; return the events."""
        self.leases.pop(lease_id, None)
        keys = [
            key
            for key, pair in sorted(self.pairs.items())
            if int(pair.get("lease", 0)) == lease_id
        ]
        events = [self._delete(key) for key in keys]
        self._commit(events)
        return events

    def find_expired_leases(self, now: float) -> list[int]:
        """Return the ids of the leases that have expired."""
        return [lease_id for lease_id, lease in self.leases.items() if lease.end <= now]

    def compact(self, revision: int) -> None:
        """Discard the history up to and including a revision."""
        self.compacted_revision = revision
        self.history = [entry for entry in self.history if entry[0] > revision]

    def read_history(self, revision: int) -> abc.Iterator[list[Message]]:
        """Yield the events of each revision, starting at `revision`."""
        for event_revision, events in self.history:
            if event_revision >= revision:
                yield events

    def _check(self, compare: Message) -> bool:
        field = {"MOD": "mod_revision", "CREATE": "create_revision"}.get(
            compare["target"], "version"
        )
        expected = int(compare.get(field, 0))
        keys = self.select_keys(compare)
        found = [int(self.pairs[key][field]) for key in keys]
        if not found and not compare.get("range_end"):
            found = [0]
        if compare.get("result") == "LESS":
            return all(value < expected for value in found)
        return all(value == expected for value in found)

    def _put(self, request: Message) -> Message:
        key = decode_bytes(request, "key")
        revision = str(self.revision + 1)
        old = self.pairs.get(key)
        pair = {
            "key": request["key"],
            "create_revision": old["create_revision"] if old else revision,
            "mod_revision": revision,
            "version": str(int(old["version"]) + 1 if old else 1),
            "value": request.get("value", ""),
        }
        if int(request.get("lease", 0)):
            pair["lease"] = str(request["lease"])
        self.pairs[key] = pair
        return {"kv": pair}

    def _delete(self, key: bytes) -> Message:
        del self.pairs[key]
        revision = str(self.revision + 1)
        return {
            "type": "DELETE",
            "kv": {"key": encode_bytes(key), "mod_revision": revision},
        }

    def _commit(self, events: list[Message]) -> None:
        if events:
            self.revision += 1
            self.history.append((self.revision, events))
