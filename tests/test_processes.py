"""Process-level checks, judged by what callers get."""

import asyncio
import pathlib
import signal
import typing

from tests import processfleet
from tools import controlplane, fleet

FLOWS: typing.Final = 12
SHEET_BYTES: typing.Final = 200_000
DOWNLOAD_S: typing.Final = 8.0
EXIT_LIMIT_S: typing.Final = 40.0
FROZEN_DOWNLOAD_S: typing.Final = 10.0
EDIT_LIMIT_S: typing.Final = 4.0


def test_downloads_survive_the_death_of_a_balancer(tmp_path: pathlib.Path) -> None:
    """Guards against flows that are lost with the balancer that owned them."""
    with processfleet.run_fleet(tmp_path) as running_fleet:

        def kill() -> None:
            running_fleet.kill_balancer(0)
            processfleet.wait_for_member_removal(running_fleet, 0)
            running_fleet.remove_from_fabric(0)

        results = asyncio.run(
            processfleet.download(
                running_fleet.layout, FLOWS, SHEET_BYTES, DOWNLOAD_S, kill
            ),
        )
    assert [failure for _, failure in results if failure] == []
    assert all(completed > 0 for completed, _ in results)


def test_graceful_stop_breaks_no_download(tmp_path: pathlib.Path) -> None:
    """Guards against a planned stop that drops what only the leaver knows."""
    with processfleet.run_fleet(tmp_path) as running_fleet:
        name = running_fleet.name(running_fleet.vms[0].name)

        def stop() -> None:
            running_fleet.supervisor.send_signal(name, signal.SIGTERM)
            running_fleet.remove_from_fabric(0)

        results = asyncio.run(
            processfleet.download(
                running_fleet.layout, FLOWS, SHEET_BYTES, DOWNLOAD_S, stop
            ),
        )
        assert running_fleet.supervisor.wait_for_end(name, EXIT_LIMIT_S) == 0
        log = running_fleet.supervisor.read_tail(name, 200)
    assert '"state":"left"' in log, "the balancer ended without its planned leave"
    assert [failure for _, failure in results if failure] == []
    assert all(completed > 0 for completed, _ in results)


def test_downloads_survive_a_frozen_balancer(tmp_path: pathlib.Path) -> None:
    """Guards against a resumed balancer that takes flows from its successors."""
    with processfleet.run_fleet(tmp_path) as running_fleet:
        name = running_fleet.name(running_fleet.vms[0].name)

        def freeze() -> None:
            running_fleet.supervisor.send_signal(name, signal.SIGSTOP)
            processfleet.wait_for_member_removal(running_fleet, 0)
            running_fleet.supervisor.send_signal(name, signal.SIGCONT)

        results = asyncio.run(
            processfleet.download(
                running_fleet.layout, FLOWS, SHEET_BYTES, FROZEN_DOWNLOAD_S, freeze
            ),
        )
    assert [failure for _, failure in results if failure] == []
    assert all(completed > 0 for completed, _ in results)


def test_store_outage_stops_edits_only(tmp_path: pathlib.Path) -> None:
    """Guards against requests that need the store, and against a silent edit."""
    with processfleet.run_platform(tmp_path) as control:
        edit = ("set", "sheets", "sheets-1", "--weight", "0.5")
        errors: list[str] = []

        def stop_store() -> None:
            fleet.post_json(f"http://{control.store}/admin", {"down": True})
            try:
                control.run_command(*edit)
            except controlplane.CommandError as error:
                errors.append(str(error))
            fleet.post_json(f"http://{control.store}/admin", {"down": False})

        results = asyncio.run(
            processfleet.download(
                control.layout, FLOWS, SHEET_BYTES, DOWNLOAD_S, stop_store
            ),
        )
        assert len(errors) == 1 and "store" in errors[0]
        control.run_command(*edit)
        processfleet.wait_for_version(control, 2, EDIT_LIMIT_S)
    assert [failure for _, failure in results if failure] == []
    assert all(completed > 0 for completed, _ in results)
