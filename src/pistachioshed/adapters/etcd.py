"""A client of the key-value store over the JSON gateway of the etcd v3 API."""

import itertools
import random as standard_random
import typing
from collections import abc

import treq.client
from twisted.internet import task

from pistachioshed.adapters import etcdgateway, etcdwatch, jsonlog
from pistachioshed.core import revisions
from pistachioshed.ports import store

DEADLINE_SECONDS: typing.Final = 2.0
READ_ATTEMPTS: typing.Final = 4
BACKOFF_SECONDS: typing.Final = 0.1


class EtcdStore:
    """Call the key-value service at one or more addresses, tried in turn.

    Reads are retried with exponential backoff. A write is sent to the next address
    only if no connection to the previous one was made, so that it is never sent twice.

    A store that is restored from a backup has a new cluster id. `era` counts them, and
    is part of all revisions (`core/revisions`).
    """

    def __init__(
        self,
        addresses: abc.Sequence[str],
        http: treq.client.HTTPClient,
        clock: typing.Any,
        random: standard_random.Random,
        deadline_seconds: float = DEADLINE_SECONDS,
    ) -> None:
        self.addresses = list(addresses)
        self.http = http
        self.clock = clock
        self.random = random
        self.deadline_seconds = deadline_seconds
        self.cluster_id = ""
        self.era = 0

    async def get(self, key: str) -> store.GetResponse:
        """Read one key."""
        response = await self.read(
            f"get {key}", "kv/range", etcdgateway.make_key_selector(key)
        )
        pairs = [
            etcdgateway.parse_pair(pair, self.era) for pair in response.get("kvs", ())
        ]
        return store.GetResponse(
            etcdgateway.parse_revision(response, self.era),
            pairs[0] if pairs else None,
            etcdgateway.parse_cluster_id(response),
        )

    async def get_prefix(
        self, prefix: str, limit: int = 0, descending: bool = False
    ) -> store.RangeResponse:
        """Read the pairs whose keys have a prefix, ordered by key.

        A limit of 0 means all.
        """
        message = etcdgateway.make_prefix_selector(prefix)
        message["limit"] = str(limit)
        message["sort_target"] = "KEY"
        message["sort_order"] = "DESCEND" if descending else "ASCEND"
        response = await self.read(f"get below {prefix}", "kv/range", message)
        pairs = tuple(
            etcdgateway.parse_pair(pair, self.era) for pair in response.get("kvs", ())
        )
        revision = etcdgateway.parse_revision(response, self.era)
        cluster_id = etcdgateway.parse_cluster_id(response)
        return store.RangeResponse(revision, pairs, cluster_id)

    async def transact(
        self, compares: abc.Sequence[store.Compare], writes: abc.Sequence[store.Write]
    ) -> store.TransactResponse:
        """Apply all writes at one revision if all conditions are true.

        A condition on a revision of an earlier era is false: the store may have given
        the same revision out again.
        """
        if any(self.is_outdated(compare) for compare in compares):
            return store.TransactResponse(
                revisions.combine_revision(self.era, 0), False
            )
        message = {
            "compare": [etcdgateway.make_compare(compare) for compare in compares],
            "success": [etcdgateway.make_write(write) for write in writes],
        }
        response = await self.write("transact", "kv/txn", message)
        return store.TransactResponse(
            etcdgateway.parse_revision(response, self.era),
            bool(response.get("succeeded", False)),
            etcdgateway.parse_cluster_id(response),
        )

    def is_outdated(self, compare: store.Compare) -> bool:
        """Return whether a condition is on a revision of an earlier era."""
        if compare.target == "version" or not compare.value:
            return False
        return revisions.get_era(compare.value) != self.era

    async def grant_lease(self, ttl_seconds: int) -> store.LeaseResponse:
        """Grant a lease."""
        message = {"TTL": str(ttl_seconds)}
        response = await self.write("grant lease", "lease/grant", message)
        return _parse_lease(response, self.era)

    async def keep_alive(self, lease: int) -> store.LeaseResponse:
        """Renew a lease for its full time to live."""
        message = {"ID": str(lease)}
        response = await self.write("keep lease", "lease/keepalive", message)
        return _parse_lease(response.get("result", response), self.era)

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys."""
        await self.write("revoke lease", "kv/lease/revoke", {"ID": str(lease)})

    def watch(
        self, prefix: str, revision: int, deliver: store.Deliver
    ) -> etcdwatch.EtcdWatch:
        """Deliver changes of keys with a prefix from a revision on, without gaps."""
        etcd_watch = etcdwatch.EtcdWatch(self, prefix, revision, deliver)
        etcd_watch.start()
        return etcd_watch

    async def read(
        self, step: str, path: str, message: etcdgateway.Message
    ) -> etcdgateway.Message:
        """Make a call without side effects, up to `READ_ATTEMPTS` times."""
        for attempt in itertools.count(1):
            address = self.addresses[0]
            try:
                return await self.call(address, path, message)
            except etcdgateway.Rejected as cause:
                raise store.StoreRefused(step, address, str(cause)) from cause
            except (etcdgateway.NotSent, etcdgateway.NoAnswer) as cause:
                self.demote(address)
                if attempt == READ_ATTEMPTS:
                    raise store.StoreUnavailable(step, address, str(cause)) from cause
            await self.pause(attempt)
        raise AssertionError("unreachable")

    async def write(
        self, step: str, path: str, message: etcdgateway.Message
    ) -> etcdgateway.Message:
        """Make a call with side effects; it is sent at most once."""
        addresses = tuple(self.addresses)
        for address in addresses:
            try:
                return await self.call(address, path, message)
            except etcdgateway.Rejected as cause:
                raise store.StoreRefused(step, address, str(cause)) from cause
            except etcdgateway.NoAnswer as cause:
                self.demote(address)
                raise store.AnswerLost(step, address, str(cause)) from cause
            except etcdgateway.NotSent as cause:
                self.demote(address)
                reason = str(cause)
        raise store.StoreUnavailable(step, ", ".join(addresses), reason)

    async def call(
        self, address: str, path: str, message: etcdgateway.Message
    ) -> etcdgateway.Message:
        """Make one call to one address, without retries."""
        url = f"http://{address}/v3/{path}"
        response = await etcdgateway.call(
            self.http, self.clock, url, message, self.deadline_seconds
        )
        self.update_era(response.get("result", response))
        return response

    def update_era(self, response: etcdgateway.Message) -> None:
        """Start a new era if a response comes from another cluster than the last."""
        cluster_id = etcdgateway.parse_cluster_id(response)
        if not cluster_id or cluster_id == self.cluster_id:
            return
        if self.cluster_id:
            self.era += 1
            jsonlog.log_event(
                "store restored",
                era=self.era,
                cluster=cluster_id,
                previous=self.cluster_id,
            )
        self.cluster_id = cluster_id

    def demote(self, address: str) -> None:
        """Move an address that failed to the end of the list."""
        self.addresses.remove(address)
        self.addresses.append(address)

    async def pause(self, attempt: int) -> None:
        """Wait before the next attempt: exponential backoff with full jitter."""
        max_delay_seconds = min(BACKOFF_SECONDS * 2.0**attempt, self.deadline_seconds)
        await task.deferLater(self.clock, self.random.uniform(0, max_delay_seconds))


def _parse_lease(response: etcdgateway.Message, era: int) -> store.LeaseResponse:
    return store.LeaseResponse(
        etcdgateway.parse_revision(response, era),
        int(response.get("ID", 0)),
        int(response.get("TTL", 0)),
    )
