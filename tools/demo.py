"""Run both deployments on loopback, change them under load and check the promises.

The store, VM list, control processes, balancers, upstreams, fabric and callers run as
processes. The script edits a table, drains an upstream, stops one balancer and kills
another. It exits with status 0 only if every promise held.
"""

import pathlib
import signal
import sys
import tempfile
import time
import typing

import typer

from pistachioshed.lab import history
from tools import controlplane, fleet, layouts, measures, processes

TOTAL_LIMIT_S: typing.Final = 170
LOAD_S: typing.Final = 32.0
CALLER_GROUPS: typing.Final = 5
CALLERS_PER_GROUP: typing.Final = 6
IDLE_FLOWS_PER_GROUP: typing.Final = 40
READY_LIMIT_S: typing.Final = 25.0
EDIT_LIMIT_S: typing.Final = 4.0
STOP_LIMIT_S: typing.Final = 40.0
# SWIM takes up to 2 s to remove a dead member; a fabric's health check takes about 1 s.
FABRIC_HEALTH_CHECK_S: typing.Final = 1.0
SETTLE_S: typing.Final = 4.0
FLOW_OPENING_S: typing.Final = 4.0
SAMPLE_COUNT: typing.Final = 6
SAMPLE_INTERVAL_S: typing.Final = 0.5
SIGNALS: typing.Final = (signal.SIGTERM, signal.SIGINT, signal.SIGALRM)
STOPPED_BALANCER: typing.Final = 1
KILLED_BALANCER: typing.Final = 2


class Demonstration:
    """Run one deployment and record the changes made to it."""

    def __init__(
        self,
        layout: layouts.Layout,
        supervisor: processes.Supervisor,
        seed: int,
    ) -> None:
        self.layout = layout
        self.supervisor = supervisor
        self.seed = seed
        self.fleet = fleet.Fleet(layout, supervisor)
        self.control = controlplane.ControlPlane(self.fleet)
        self.change_records: list[history.Record] = []
        self.samples: list[dict[str, int]] = []
        self.edit_s = 0.0

    def run(self) -> measures.Measures:
        """Start all processes, apply the changes under load and return the measures."""
        self._start()
        caller_processes = [
            self.fleet.start_callers(
                self.seed + group,
                CALLERS_PER_GROUP,
                IDLE_FLOWS_PER_GROUP,
                LOAD_S,
            )
            for group in range(CALLER_GROUPS)
        ]
        end_s = time.monotonic() + LOAD_S
        self._sample_connections()
        self._edit_table()
        self._drain_upstream()
        self._stop_balancer()
        self._kill_balancer()
        self._print_progress(
            f"load runs for {max(0.0, end_s - time.monotonic()):.0f} s more"
        )
        for name in caller_processes:
            limit_s = max(0.0, end_s - time.monotonic()) + 15
            if self.supervisor.wait_for_end(name, limit_s) != 0:
                tail = self.supervisor.read_tail(name)
                raise processes.ProcessError(f"{name} exited with an error:\n{tail}")
        name = self.fleet.get_process_name(self.fleet.vms[STOPPED_BALANCER].name)
        status = self.supervisor.wait_for_end(name, STOP_LIMIT_S)
        if status != 0:
            raise processes.ProcessError(
                f"{name} exited with status {status} after SIGTERM"
            )
        return measures.measure_run(
            self.fleet,
            self.change_records,
            history.Bounds(in_force_s=EDIT_LIMIT_S, planned_only=True),
            self.samples,
            self.edit_s,
        )

    def _print_progress(self, text: str) -> None:
        print(f"{time.strftime('%H:%M:%S')} {self.layout.title}: {text}", flush=True)

    def _start(self) -> None:
        self._print_progress(
            "starting store, VM list, upstreams, control processes, balancers, fabric"
        )
        self.control.start_services()
        self.fleet.start_upstreams()
        self.control.start_controls()
        self.fleet.start_balancers()
        self.fleet.start_fabric(self.seed)
        for service in self.layout.services:
            self._wait_for_version(service.name, 1, READY_LIMIT_S)
        self._print_progress("tables in force on all balancers")
        time.sleep(SETTLE_S)

    def _wait_for_version(self, service: str, version: int, limit_s: float) -> float:
        def check() -> bool:
            return all(
                measures.read_version(self.layout.find_metrics(balancer_index), service)
                >= version
                for balancer_index in range(len(self.fleet.vms))
            )

        return self.supervisor.wait_for(f"{service} v{version}", check, limit_s)

    def _sample_connections(self) -> None:
        time.sleep(FLOW_OPENING_S)
        for _ in range(SAMPLE_COUNT):
            self.samples.append(measures.sample_connections(self.layout))
            time.sleep(SAMPLE_INTERVAL_S)

    def _edit_table(self) -> None:
        service = self.layout.services[0].name
        # Measured from the start of the command, before the store accepts the edit.
        edited_s = time.time()
        self.control.run_command("set", service, f"{service}-1", "--weight", "0.5")
        self._wait_for_version(service, 2, EDIT_LIMIT_S)
        self.edit_s = time.time() - edited_s
        self._print_progress(
            f"edit of {service} in force everywhere after {self.edit_s:.2f} s"
        )
        self.change_records.append(history.EditAccepted(service, 2, edited_s))
        for vm in self.fleet.vms:
            in_force_s = edited_s + self.edit_s
            self.change_records.append(
                history.NodeLive(vm.name, 0, edited_s + EDIT_LIMIT_S)
            )
            self.change_records.append(
                history.VersionInForce(vm.name, service, 2, in_force_s)
            )

    def _drain_upstream(self) -> None:
        service_index = 0
        service = self.layout.services[service_index].name
        row = self.layout.build_table(service_index).rows[1]
        self.control.run_command("drain", service, row.upstream)
        self.change_records.append(
            history.UpstreamLeaving(service, row.upstream, time.time())
        )
        fleet.post_json(f"http://{row.address}/admin", {"drain": True})
        self._print_progress(f"{row.upstream} drained")
        time.sleep(2)

    def _stop_balancer(self) -> None:
        name = self.fleet.vms[STOPPED_BALANCER].name
        self.control.set_vm_list((), leaving=(STOPPED_BALANCER,))
        self.supervisor.send_signal(self.fleet.get_process_name(name), signal.SIGTERM)
        self.fleet.remove_from_fabric(STOPPED_BALANCER)
        self._print_progress(f"{name} asked to stop")
        time.sleep(6)

    def _kill_balancer(self) -> None:
        name = self.fleet.vms[KILLED_BALANCER].name
        self.fleet.kill_balancer(KILLED_BALANCER)
        self._print_progress(f"{name} killed")
        time.sleep(FABRIC_HEALTH_CHECK_S)
        self.fleet.remove_from_fabric(KILLED_BALANCER)
        self.control.stop_control(KILLED_BALANCER, signal.SIGKILL)
        self.control.set_vm_list((STOPPED_BALANCER, KILLED_BALANCER))


def handle_signal(number: int, frame: object) -> typing.NoReturn:
    """Raise KeyboardInterrupt, so that the child processes are stopped as well."""
    for other in SIGNALS:
        signal.signal(other, signal.SIG_IGN)
    raise KeyboardInterrupt(signal.Signals(number).name)


def list_broken_promises(result: measures.Measures) -> list[str]:
    """Return a description of each promise that the run broke."""
    failures = [f"{item.rule}: {item.detail}" for item in result.violations]
    if result.broken:
        failures.append(f"{result.broken} flows broke")
    if not result.answered:
        failures.append("no request was answered")
    return failures


def run(
    only: typing.Annotated[
        str,
        typer.Option(help="Run only one deployment: krasotava or zilinska."),
    ] = "",
    seed: typing.Annotated[int, typer.Option(help="Seed of the generated load.")] = 1,
    keep: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="Directory for logs and records; kept after the run."),
    ] = None,
) -> None:
    """Run the demonstration."""
    for number in SIGNALS:
        signal.signal(number, handle_signal)
    signal.alarm(TOTAL_LIMIT_S)
    started_s = time.monotonic()
    failures: list[str] = []
    results: list[tuple[layouts.Layout, measures.Measures]] = []
    with tempfile.TemporaryDirectory(prefix="pistachioshed-demo-") as temporary:
        directory = keep or pathlib.Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        for layout in layouts.LAYOUTS:
            if only and layout.name != only:
                continue
            supervisor = processes.Supervisor(directory)
            try:
                with layouts.reserve_ports(layout) as reserved_layout:
                    result = Demonstration(reserved_layout, supervisor, seed).run()
                results.append((layout, result))
                failures += [
                    f"{layout.title}: {text}" for text in list_broken_promises(result)
                ]
            except KeyboardInterrupt as error:
                print(f"interrupted by {error or 'SIGINT'}", flush=True)
                sys.exit(130)
            except (processes.ProcessError, controlplane.CommandError) as error:
                failures.append(f"{layout.title}: {error}")
            finally:
                supervisor.stop_all()
    for layout, result in results:
        print("\n" + measures.format_table(layout, result))
    print(f"\n{time.monotonic() - started_s:.0f} s in all")
    print("every promise held" if not failures else "\n".join(["FAILED", *failures]))
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    typer.run(run)
