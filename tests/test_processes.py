"""Process-level tests that check what callers receive."""

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
    """Guard against losing the flows that a killed balancer owned."""
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
    """Guard against losing flow state that only the stopping balancer holds."""
    with processfleet.run_fleet(tmp_path) as running_fleet:
        name = running_fleet.get_process_name(running_fleet.vms[0].name)

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
    assert '"state":"left"' in log, "the balancer exited without leaving gracefully"
    assert [failure for _, failure in results if failure] == []
    assert all(completed > 0 for completed, _ in results)


def test_downloads_survive_a_frozen_balancer(tmp_path: pathlib.Path) -> None:
    """Guard against a resumed balancer that takes flows back from their new owners.

    The balancer is stopped by SIGSTOP until the others have removed it.
    """
    with processfleet.run_fleet(tmp_path) as running_fleet:
        name = running_fleet.get_process_name(running_fleet.vms[0].name)

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
    """Guard against requests that depend on the store, and edits that fail silently.

    An edit during a store outage must report an error that names the store.
    """
    with processfleet.run_platform(tmp_path) as control:
        edit = ("set", "sheets", "sheets-1", "--weight", "0.5")
        errors: list[str] = []

        def stop_store() -> None:
            fleet.post_json(f"http://{control.store_address}/admin", {"down": True})
            try:
                control.run_command(*edit)
            except controlplane.CommandError as error:
                errors.append(str(error))
            fleet.post_json(f"http://{control.store_address}/admin", {"down": False})

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
