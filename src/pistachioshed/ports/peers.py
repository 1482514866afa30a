"""The interface to the other control processes."""

import typing
from collections import abc

from pistachioshed.core import controlevents, digests, tables

Deliver = abc.Callable[[controlevents.Event], None]


class Peers(typing.Protocol):
    """Publish messages to subscribers and fetch tables from single peers.

    Received messages and the results of fetches are delivered as `DigestReceived`,
    `TableReceived`, `ProbesReceived`, `FetchRequested`, `FetchAnswered` and
    `FetchFailed` events. Publications may be lost.
    """

    def publish(
        self, message: digests.Digest | digests.TableMessage | digests.ProbesMessage
    ) -> None:
        """Send a message to all subscribers."""

    def subscribe(self, peers: abc.Sequence[tuple[str, str]]) -> None:
        """Subscribe to exactly these (name, bus address) pairs."""

    def fetch(self, peer: str, bus: str, held_versions: dict[str, int]) -> None:
        """Start a fetch of tables newer than the held versions from a peer."""

    def answer_fetch(
        self, request: int, newer_tables: tuple[tables.Table, ...]
    ) -> None:
        """Reply to a `FetchRequested` event, given by its request number."""

    def close(self) -> None:
        """Close all subscriptions and cancel all fetches."""
