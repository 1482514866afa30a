"""The port to the other control processes."""

import typing
from collections import abc

from pistachioshed.core import controlevents, digests, tables

Deliver = abc.Callable[[controlevents.Event], None]


class Peers(typing.Protocol):
    """Publications to subscribers, and fetches from single peers.

    What arrives is delivered as `DigestReceived`, `TableReceived`, `ProbesReceived`,
    `FetchRequested`, `FetchAnswered` and `FetchFailed` events. Publications may be
    lost.
    """

    def publish(
        self, message: digests.Digest | digests.TableMessage | digests.ProbesMessage
    ) -> None:
        """Send a message to all subscribers."""

    def subscribe(self, peers: abc.Sequence[tuple[str, str]]) -> None:
        """Hold subscriptions to exactly these (name, bus address) pairs."""

    def fetch(self, peer: str, bus: str, held_versions: dict[str, int]) -> None:
        """Ask a peer for tables newer than the versions held."""

    def answer_fetch(
        self, request: int, newer_tables: tuple[tables.Table, ...]
    ) -> None:
        """Answer a `FetchRequested` event."""

    def close(self) -> None:
        """End all subscriptions and fetches."""
