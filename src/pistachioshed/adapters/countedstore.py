"""A wrapper of a store that counts calls by kind."""

from collections import abc

from pistachioshed.ports import store


class CountedStore:
    """Forward calls to a store and count them; a watch counts as one call."""

    def __init__(self, inner: store.Store, count: abc.Callable[..., None]) -> None:
        self.inner = inner
        self.count = count

    async def get(self, key: str) -> store.GetResponse:
        """Read one key."""
        self.count("store_calls", kind="get")
        return await self.inner.get(key)

    async def get_prefix(
        self, prefix: str, limit: int = 0, descending: bool = False
    ) -> store.RangeResponse:
        """Read the pairs whose keys have a prefix."""
        self.count("store_calls", kind="get_prefix")
        return await self.inner.get_prefix(prefix, limit, descending)

    async def transact(
        self, compares: abc.Sequence[store.Compare], writes: abc.Sequence[store.Write]
    ) -> store.TransactResponse:
        """Apply all writes if all conditions are true."""
        self.count("store_calls", kind="transact")
        return await self.inner.transact(compares, writes)

    async def grant_lease(self, ttl_seconds: int) -> store.LeaseResponse:
        """Grant a lease."""
        self.count("store_calls", kind="grant_lease")
        return await self.inner.grant_lease(ttl_seconds)

    async def keep_alive(self, lease: int) -> store.LeaseResponse:
        """Renew a lease."""
        self.count("store_calls", kind="keep_alive")
        return await self.inner.keep_alive(lease)

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease."""
        self.count("store_calls", kind="revoke_lease")
        await self.inner.revoke_lease(lease)

    def watch(self, prefix: str, revision: int, deliver: store.Deliver) -> store.Watch:
        """Deliver changes of keys with a prefix from a revision on."""
        self.count("store_calls", kind="watch")
        return self.inner.watch(prefix, revision, deliver)
