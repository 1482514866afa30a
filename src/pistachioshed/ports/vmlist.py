"""The interface to the platform's VM list."""

import typing

from pistachioshed.core import controlevents


class VmListError(Exception):
    """The list could not be read; the text names the step and the peer."""

    def __init__(self, step: str, peer: str, cause: str) -> None:
        self.step = step
        self.peer = peer
        self.cause = cause
        super().__init__(f"{step}: VM list {peer}: {cause}")


class VmList(typing.Protocol):
    """The platform's list of live and leaving VMs, possibly out of date.

    Its coroutine awaits Twisted deferreds.
    """

    async def read(self) -> tuple[controlevents.Member, ...]:
        """Return the listed VMs, or raise `VmListError`."""
