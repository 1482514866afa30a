"""Process-level checks, judged by what callers get."""

import asyncio
import pathlib
import signal
import typing

from tests import processfleet
from tools import controlplane, fleet

FLOWS: typing.Final = 12
SHEET_BYTES: typing.Final = 200_000
SECONDS: typing.Final = 8.0
LEFT_OVER_S: typing.Final = 40.0
FROZEN_SECONDS: typing.Final = 10.0
EDIT_LIMIT_S: typing.Final = 4.0


def test_downloads_survive_the_death_of_a_balancer(tmp_path: pathlib.Path) -> None:
    """Guards against flows that are lost with the balancer that owned them."""
    with processfleet.run_fleet(tmp_path) as running:

        def kill() -> None:
            running.kill_balancer(0)
            processfleet.wait_for_successors(running, 0)
            running.remove_from_fabric(0)

        results = asyncio.run(
            processfleet.download(running.layout, FLOWS, SHEET_BYTES, SECONDS, kill),
        )
    assert [broken for _, broken in results if broken] == []
    assert all(whole > 0 for whole, _ in results)


def test_graceful_stop_cuts_no_download(tmp_path: pathlib.Path) -> None:
    """Guards against a planned stop that drops what only the leaver knows."""
    with processfleet.run_fleet(tmp_path) as running:
        name = running.name(running.vms[0].name)

        def stop() -> None:
            running.supervisor.send_signal(name, signal.SIGTERM)
            running.remove_from_fabric(0)

        results = asyncio.run(
            processfleet.download(running.layout, FLOWS, SHEET_BYTES, SECONDS, stop),
        )
        assert running.supervisor.wait_for_end(name, LEFT_OVER_S) == 0
        log = running.supervisor.read_tail(name, 200)
    assert '"state":"left"' in log, "the balancer ended without its planned leave"
    assert [broken for _, broken in results if broken] == []
    assert all(whole > 0 for whole, _ in results)


def test_downloads_survive_a_frozen_balancer(tmp_path: pathlib.Path) -> None:
    """Guards against a resumed balancer that takes flows from its successors."""
    with processfleet.run_fleet(tmp_path) as running:
        name = running.name(running.vms[0].name)

        def freeze() -> None:
            running.supervisor.send_signal(name, signal.SIGSTOP)
            processfleet.wait_for_successors(running, 0)
            running.supervisor.send_signal(name, signal.SIGCONT)

        results = asyncio.run(
            processfleet.download(
                running.layout, FLOWS, SHEET_BYTES, FROZEN_SECONDS, freeze
            ),
        )
    assert [broken for _, broken in results if broken] == []
    assert all(whole > 0 for whole, _ in results)


def test_store_outage_stops_edits_only(tmp_path: pathlib.Path) -> None:
    """Guards against requests that need the store, and against a silent edit."""
    with processfleet.run_platform(tmp_path) as control:
        edit = ("set", "sheets", "sheets-1", "--weight", "0.5")
        told: list[str] = []

        def stop_store() -> None:
            fleet.post_json(f"http://{control.store}/admin", {"down": True})
            try:
                control.run_command(*edit)
            except controlplane.CommandError as error:
                told.append(str(error))
            fleet.post_json(f"http://{control.store}/admin", {"down": False})

        results = asyncio.run(
            processfleet.download(
                control.layout, FLOWS, SHEET_BYTES, SECONDS, stop_store
            ),
        )
        assert len(told) == 1 and "store" in told[0]
        control.run_command(*edit)
        processfleet.wait_for_version(control, 2, EDIT_LIMIT_S)
    assert [broken for _, broken in results if broken] == []
    assert all(whole > 0 for whole, _ in results)
