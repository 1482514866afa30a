"""Apply a forwarder's settings file again when it changes."""

import typing
from collections import abc

from pistachioshed.adapters import eventloop, jsonlog
from pistachioshed.apps import forwarderoptions
from pistachioshed.core import peertable

SETTINGS_POLL_S: typing.Final = 2.0
# The other settings are those of sockets and of the identity that peers know.
APPLIED_FIELDS: typing.Final = ("seeds", "stop_s")

Address = tuple[str, int]


class SettingsWatch:
    """Reload the settings on a signal or when the content of the file changes.

    `APPLIED_FIELDS` apply at once; the other settings need a restart. A file with any
    fault changes nothing.

    Parameters
    ----------
    loop : EventLoop
        Runs the waits between two looks at the file.
    settings : ForwarderSettings
        The settings at the start.
    path : str
        Path of the file.
    peers : PeerTable
        Receives new seeds.
    """

    def __init__(
        self,
        loop: eventloop.EventLoop,
        settings: forwarderoptions.ForwarderSettings,
        path: str,
        peers: peertable.PeerTable,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.path = path
        self.peers = peers

    async def run(self) -> None:
        """Reload the settings when their file changes, without a signal."""
        content = b""
        while True:
            await self.loop.sleep(SETTINGS_POLL_S)
            try:
                with open(self.path, "rb") as file:
                    new_content = file.read()
            except OSError as error:
                jsonlog.log_failure("settings not read", cause=str(error))
                continue
            if new_content != content:
                content = new_content
                self.reload("file")

    def reload(self, cause: typing.Literal["file", "signal"]) -> None:
        """Apply the settings file if all of it is valid."""
        try:
            settings = forwarderoptions.read_forwarder_settings(self.path)
        except ExceptionGroup as group:
            faults = [str(fault) for fault in group.exceptions]
            jsonlog.log_failure("reload refused", cause=cause, faults=faults)
            return
        self.peers.add_seeds(list_seeds(settings))
        changed = [
            field
            for field, old, new in zip(
                settings._fields, self.settings, settings, strict=True
            )
            if old != new
        ]
        if changed or cause == "signal":
            jsonlog.log_event(
                "reloaded",
                cause=cause,
                applied=[field for field in changed if field in APPLIED_FIELDS],
                needs_restart=[
                    field for field in changed if field not in APPLIED_FIELDS
                ],
            )
        self.settings = self.settings._replace(
            **{field: getattr(settings, field) for field in APPLIED_FIELDS}
        )


def list_seeds(
    settings: forwarderoptions.ForwarderSettings,
) -> abc.Iterator[Address]:
    """Yield the addresses of the seeds; all forwarders use the same ports."""
    for host in settings.seeds:
        if host != settings.peers[0]:
            yield host, settings.peers[1]
