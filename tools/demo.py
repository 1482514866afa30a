"""Run both deployments on loopback, change them under load and judge the promises.

Starts store, VM list, controls, balancers, upstreams, fabric and callers as processes,
edits a table, drains an upstream, stops one balancer and kills another. Exits 0 only
when every promise held.
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
GROUPS: typing.Final = 2
CALLERS_PER_GROUP: typing.Final = 15
IDLE_PER_GROUP: typing.Final = 100
READY_LIMIT_S: typing.Final = 25.0
EDIT_LIMIT_S: typing.Final = 4.0
STOP_LIMIT_S: typing.Final = 40.0
# SWIM needs up to 2 s to agree on a death; a fabric's health check needs about one.
FABRIC_CHECK_S: typing.Final = 1.0
SETTLE_S: typing.Final = 4.0
OPENING_S: typing.Final = 4.0
SAMPLES: typing.Final = 6
SAMPLE_INTERVAL_S: typing.Final = 0.5
SIGNALS: typing.Final = (signal.SIGTERM, signal.SIGINT, signal.SIGALRM)
STOPPED: typing.Final = 1
KILLED: typing.Final = 2


class Demonstration:
    """One deployment's run."""

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
        self.marks: list[history.Record] = []
        self.samples: list[dict[str, int]] = []
        self.edit_s = 0.0

    def run(self) -> measures.Measures:
        """Start everything, make the changes under load and return the measures."""
        self._start()
        callers = [
            self.fleet.start_callers(
                self.seed + group,
                CALLERS_PER_GROUP,
                IDLE_PER_GROUP,
                LOAD_S,
            )
            for group in range(GROUPS)
        ]
        end_s = time.monotonic() + LOAD_S
        self._sample_connections()
        self._edit_table()
        self._drain_upstream()
        self._stop_balancer()
        self._kill_balancer()
        self._say(f"load runs for {max(0.0, end_s - time.monotonic()):.0f} s more")
        for name in callers:
            limit_s = max(0.0, end_s - time.monotonic()) + 15
            if self.supervisor.wait_for_end(name, limit_s) != 0:
                tail = self.supervisor.read_tail(name)
                raise processes.ProcessError(f"{name} failed:\n{tail}")
        name = self.fleet.name(self.fleet.vms[STOPPED].name)
        status = self.supervisor.wait_for_end(name, STOP_LIMIT_S)
        if status != 0:
            raise processes.ProcessError(f"{name}: status {status} after SIGTERM")
        return measures.measure_run(
            self.fleet,
            self.marks,
            history.Bounds(in_force_s=EDIT_LIMIT_S, planned_only=True),
            self.samples,
            self.edit_s,
        )

    def _say(self, text: str) -> None:
        print(f"{time.strftime('%H:%M:%S')} {self.layout.title}: {text}", flush=True)

    def _start(self) -> None:
        self._say("starting store, VM list, upstreams, controls, balancers, fabric")
        self.control.start_services()
        self.fleet.start_upstreams()
        self.control.start_controls()
        self.fleet.start_balancers()
        self.fleet.start_fabric(self.seed)
        for service in self.layout.services:
            self._wait_for_version(service.name, 1, READY_LIMIT_S)
        self._say("tables in force on all balancers")
        time.sleep(SETTLE_S)

    def _wait_for_version(self, service: str, version: int, limit_s: float) -> float:
        def check() -> bool:
            return all(
                measures.read_version(self.layout.find_metrics(number), service)
                >= version
                for number in range(len(self.fleet.vms))
            )

        return self.supervisor.wait_for(f"{service} v{version}", check, limit_s)

    def _sample_connections(self) -> None:
        time.sleep(OPENING_S)
        for _ in range(SAMPLES):
            self.samples.append(measures.sample_connections(self.layout))
            time.sleep(SAMPLE_INTERVAL_S)

    def _edit_table(self) -> None:
        service = self.layout.services[0].name
        # Counted from the start of the command, which is before the store accepts.
        edited_s = time.time()
        self.control.run_command("set", service, f"{service}-1", "--weight", "0.5")
        self._wait_for_version(service, 2, EDIT_LIMIT_S)
        self.edit_s = time.time() - edited_s
        self._say(f"edit of {service} in force everywhere after {self.edit_s:.2f} s")
        self.marks.append(history.EditAccepted(service, 2, edited_s))
        for vm in self.fleet.vms:
            in_force_s = edited_s + self.edit_s
            self.marks.append(history.NodeLive(vm.name, 0, edited_s + EDIT_LIMIT_S))
            self.marks.append(history.VersionInForce(vm.name, service, 2, in_force_s))

    def _drain_upstream(self) -> None:
        index = 0
        service = self.layout.services[index].name
        row = self.layout.build_table(index).rows[1]
        self.control.run_command("drain", service, row.upstream)
        self.marks.append(history.UpstreamLeaving(service, row.upstream, time.time()))
        fleet.post_json(f"http://{row.address}/admin", {"drain": True})
        self._say(f"{row.upstream} drained")
        time.sleep(2)

    def _stop_balancer(self) -> None:
        name = self.fleet.vms[STOPPED].name
        self.control.list_vms((), leaving=(STOPPED,))
        self.supervisor.send_signal(self.fleet.name(name), signal.SIGTERM)
        self.fleet.remove_from_fabric(STOPPED)
        self._say(f"{name} told to stop")
        time.sleep(6)

    def _kill_balancer(self) -> None:
        name = self.fleet.vms[KILLED].name
        self.fleet.kill_balancer(KILLED)
        self._say(f"{name} killed")
        time.sleep(FABRIC_CHECK_S)
        self.fleet.remove_from_fabric(KILLED)
        self.control.stop_control(KILLED, signal.SIGKILL)
        self.control.list_vms((STOPPED, KILLED))


def handle_signal(number: int, frame: object) -> typing.NoReturn:
    """End the run by an exception, so that the processes are ended too."""
    for other in SIGNALS:
        signal.signal(other, signal.SIG_IGN)
    raise KeyboardInterrupt(signal.Signals(number).name)


def list_faults(result: measures.Measures) -> list[str]:
    """Return the promises that a run broke."""
    faults = [f"{item.rule}: {item.detail}" for item in result.violations]
    if result.broken:
        faults.append(f"{result.broken} flows broke")
    if not result.answered:
        faults.append("no request was answered")
    return faults


def run(
    only: typing.Annotated[
        str,
        typer.Option(help="Run one deployment: krasotava or zilinska."),
    ] = "",
    seed: typing.Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    keep: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="Directory for logs and records, kept afterwards."),
    ] = None,
) -> None:
    """Run the demonstration."""
    for number in SIGNALS:
        signal.signal(number, handle_signal)
    signal.alarm(TOTAL_LIMIT_S)
    started_s = time.monotonic()
    faults: list[str] = []
    results: list[tuple[layouts.Layout, measures.Measures]] = []
    with tempfile.TemporaryDirectory(prefix="pistachioshed-demo-") as temporary:
        directory = keep or pathlib.Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        for layout in layouts.LAYOUTS:
            if only and layout.name != only:
                continue
            supervisor = processes.Supervisor(directory)
            try:
                with layouts.reserve_ports(layout) as placed:
                    result = Demonstration(placed, supervisor, seed).run()
                results.append((layout, result))
                faults += [f"{layout.title}: {text}" for text in list_faults(result)]
            except KeyboardInterrupt as error:
                print(f"interrupted by {error or 'SIGINT'}", flush=True)
                sys.exit(130)
            except (processes.ProcessError, controlplane.CommandError) as error:
                faults.append(f"{layout.title}: {error}")
            finally:
                supervisor.stop_all()
    for layout, result in results:
        print("\n" + measures.format_table(layout, result))
    print(f"\n{time.monotonic() - started_s:.0f} s in all")
    print("every promise held" if not faults else "\n".join(["FAILED", *faults]))
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    typer.run(run)
