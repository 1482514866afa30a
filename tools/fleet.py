"""Start the processes of one deployment and read the records that they write."""

import json
import pathlib
import signal
import typing
import urllib.error
import urllib.request

from tools import layouts, processes

START_LIMIT_S: typing.Final = 20.0
BALANCER_SETTINGS_TEMPLATE: typing.Final = """\
[balancer]
name = {name}
zone = {zone}
peer_address = {peer}
control_address = {control}
metrics_address = {metrics}
key = {key}

[services]
{services}

[seeds]
{seeds}

[tunables]
leave_timeout_s = {leave_timeout_s}
"""


class Fleet:
    """Run the balancers, upstreams, fabric and callers of a deployment.

    The processes that hold its tables are started by `controlplane.ControlPlane`.
    """

    def __init__(
        self,
        layout: layouts.Layout,
        supervisor: processes.Supervisor,
        balancer_count: int = layouts.BALANCERS,
        leave_timeout_s: float = 30.0,
    ) -> None:
        self.layout = layout
        self.supervisor = supervisor
        self.vms = layout.list_vms()[:balancer_count]
        self.leave_timeout_s = leave_timeout_s

    @property
    def directory(self) -> pathlib.Path:
        """Return the directory of the settings files and records."""
        return self.supervisor.directory

    def get_process_name(self, process: str) -> str:
        """Return the supervisor's name for a process of this deployment."""
        return f"{self.layout.name}-{process}"

    def start_balancer(self, balancer_index: int) -> None:
        """Start one balancer with a generated settings file."""
        vm = self.vms[balancer_index]
        services = "\n".join(
            f"{service.name} = "
            f"{self.layout.find_listener(balancer_index, service_index)}"
            for service_index, service in enumerate(self.layout.services)
        )
        seeds = "\n".join(
            f"{other.name} = {other.address}" for other in self.vms if other != vm
        )
        path = self.directory / f"{self.get_process_name(vm.name)}.ini"
        path.write_text(
            BALANCER_SETTINGS_TEMPLATE.format(
                name=vm.name,
                zone=vm.zone,
                peer=vm.address,
                control=self.layout.find_control_link(balancer_index),
                metrics=self.layout.find_metrics(balancer_index),
                key=layouts.KEY,
                services=services,
                seeds=seeds,
                leave_timeout_s=self.leave_timeout_s,
            ),
        )
        self.supervisor.start(
            self.get_process_name(vm.name),
            "pistachioshed.apps.balancer",
            ["--settings", str(path)],
        )

    def start_balancers(self) -> None:
        """Start all balancers and wait until each logs that it has started."""
        for balancer_index in range(len(self.vms)):
            self.start_balancer(balancer_index)
        for vm in self.vms:
            self.supervisor.wait_for_line(
                self.get_process_name(vm.name), '"started"', START_LIMIT_S
            )

    def start_upstreams(self) -> None:
        """Start a process for each upstream, as each has a VM of its own."""
        names = []
        for service_index, service in enumerate(self.layout.services):
            for row in self.layout.build_table(service_index).rows:
                name = self.get_process_name(f"upstream-{row.upstream}")
                arguments = [
                    "--service",
                    service.name,
                    "--record",
                    str(self.executions_file),
                    "--host",
                    f"{row.upstream}={row.address}",
                ]
                self.supervisor.start(name, "standins.upstream", arguments)
                names.append(name)
        for name in names:
            self.supervisor.wait_for_line(name, '"ready"', START_LIMIT_S)

    def start_fabric(self, seed: int) -> None:
        """Start the fabric in front of all balancers."""
        arguments = ["--admin", self.layout.find_fabric_admin(), "--seed", str(seed)]
        arguments += ["--delay-ms", str(self.layout.delay_ms)]
        for service_index, service in enumerate(self.layout.services):
            arguments += [
                "--service",
                f"{service.name}={self.layout.find_service_address(service_index)}",
            ]
            for balancer_index, vm in enumerate(self.vms):
                listener = self.layout.find_listener(balancer_index, service_index)
                arguments += ["--balancer", f"{service.name}={vm.name}={listener}"]
        self.supervisor.start(
            self.get_process_name("fabric"), "standins.fabric", arguments
        )
        self.supervisor.wait_for_line(
            self.get_process_name("fabric"), '"ready"', START_LIMIT_S
        )

    def start_callers(
        self,
        group: int,
        caller_count: int,
        idle_flow_count: int,
        seconds: float,
    ) -> str:
        """Start one process that runs a group of callers; return the process's name."""
        arguments = ["--callers", str(caller_count), "--seconds", str(seconds)]
        arguments += [
            "--idle",
            str(idle_flow_count),
            "--history",
            str(self.history_file),
        ]
        arguments += ["--executing", self.layout.executing]
        arguments += ["--seed", str(group), "--prefix", f"caller-{group}"]
        for service_index, service in enumerate(self.layout.services):
            service_address = self.layout.find_service_address(service_index)
            arguments += [
                "--service",
                f"{service.name}={service_address}={service.mix}",
            ]
        name = self.get_process_name(f"callers-{group}")
        self.supervisor.start(name, "standins.caller", arguments)
        return name

    def kill_balancer(self, balancer_index: int) -> None:
        """Kill a balancer by SIGKILL, as a crash of its VM does."""
        name = self.get_process_name(self.vms[balancer_index].name)
        self.supervisor.send_signal(name, signal.SIGKILL)

    def remove_from_fabric(self, balancer_index: int) -> None:
        """Remove a balancer from the fabric's targets for every service."""
        for service in self.layout.services:
            document: dict[str, object] = {
                "service": service.name,
                "remove": [self.vms[balancer_index].name],
            }
            self.post_fabric("balancers", document)

    def post_fabric(self, path: str, document: dict[str, object]) -> None:
        """Post a change to the fabric's admin endpoint."""
        post_json(f"http://{self.layout.find_fabric_admin()}/{path}", document)

    @property
    def executions_file(self) -> pathlib.Path:
        """Return the path of the upstreams' record of executions."""
        return self.directory / f"{self.layout.name}-executions.jsonl"

    @property
    def history_file(self) -> pathlib.Path:
        """Return the path of the callers' history of operations."""
        return self.directory / f"{self.layout.name}-history.jsonl"


def post_json(url: str, document: dict[str, object]) -> bytes:
    """Post a JSON object and return the response body."""
    body = json.dumps(document).encode()
    request = urllib.request.Request(url, body, method="POST")
    with urllib.request.urlopen(request, timeout=5) as response:
        return bytes(response.read())


def get_json(url: str) -> typing.Any:
    """Get a URL and return the decoded JSON response."""
    with urllib.request.urlopen(url, timeout=5) as response:
        return json.load(response)


def read_lines(path: pathlib.Path) -> list[dict[str, typing.Any]]:
    """Return the objects of a JSON lines file; a missing file counts as empty."""
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]
