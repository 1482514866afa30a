"""The platform's services, the control processes and operators of a deployment."""

import csv
import json
import pathlib
import signal
import subprocess
import sys
import typing
import urllib.error
import urllib.request

from tools import fleet, layouts

READY_LIMIT_S: typing.Final = 20.0
COMMAND_LIMIT_S: typing.Final = 20.0
VM_LIST_LAG_S: typing.Final = 2.0
COLUMNS: typing.Final = (
    "upstream",
    "address",
    "zone",
    "weight",
    "connections",
    "slots",
    "state",
)
CONTROL_FILE: typing.Final = """\
[node]
name = {name}
zone = {zone}

[bus]
address = {bus}
key = {key}

[store]
addresses = {store}

[vms]
url = http://{vms}/vms

[balancer]
link = {link}

[metrics]
address = {metrics}
"""
OPERATOR_FILE: typing.Final = """\
[store]
addresses = {store}

[operator]
name = demo
"""


class CommandError(RuntimeError):
    """An operators' command that failed; holds its output."""


class ControlPlane:
    """Store, VM list, one control process per VM, and the operators' command."""

    def __init__(self, balancers: fleet.Fleet) -> None:
        self.fleet = balancers
        self.layout = balancers.layout
        self.supervisor = balancers.supervisor
        self.store = f"127.0.0.1:{self.layout.base + 600}"
        self.vms = f"127.0.0.1:{self.layout.base + 601}"
        self.settings = self.directory / f"{self.layout.name}-operator.ini"

    @property
    def directory(self) -> pathlib.Path:
        """Where settings are."""
        return self.supervisor.directory

    def start_services(self) -> None:
        """Start the store and the VM list, and create the tables."""
        self.settings.write_text(OPERATOR_FILE.format(store=self.store))
        name = self.fleet.name("store")
        self.supervisor.start(name, "standins.store", ["--address", self.store])
        self.supervisor.wait_for_line(name, "listening", READY_LIMIT_S)
        port = self.vms.rpartition(":")[2]
        arguments = ["--port", port, "--lag", str(VM_LIST_LAG_S)]
        self.supervisor.start(self.fleet.name("vmlist"), "standins.vmlist", arguments)
        self.supervisor.wait_for("VM list ready", self._is_vm_list_ready, READY_LIMIT_S)
        self.list_vms(())
        for index in range(len(self.layout.services)):
            self._create_table(index)

    def _is_vm_list_ready(self) -> bool:
        try:
            fleet.get_json(f"http://{self.vms}/admin")
        except urllib.error.URLError:
            return False
        return True

    def _create_table(self, index: int) -> None:
        table = self.layout.build_table(index)
        path = self.directory / f"{self.layout.name}-{table.service}.csv"
        with path.open("w", newline="") as file:
            writer = csv.writer(file)
            writer.writerow(("service", table.service, "version", 0))
            writer.writerow(COLUMNS)
            writer.writerows(
                [getattr(row, key) for key in COLUMNS] for row in table.rows
            )
        self.run_command("create", table.service, str(path))

    def start_controls(self) -> None:
        """Start a control process beside each balancer."""
        for number, vm in enumerate(self.fleet.vms):
            path = self.directory / f"{self.layout.name}-control-{vm.name}.ini"
            path.write_text(
                CONTROL_FILE.format(
                    name=vm.name,
                    zone=vm.zone,
                    bus=self.find_bus(number),
                    key=layouts.KEY,
                    store=self.store,
                    vms=self.vms,
                    link=self.layout.find_control(number),
                    metrics=f"127.0.0.1:{self.layout.base + 350 + number}",
                ),
            )
            name = self.fleet.name(f"control-{vm.name}")
            arguments = ["--settings", str(path)]
            self.supervisor.start(name, "pistachioshed.apps.control", arguments)
        for vm in self.fleet.vms:
            name = self.fleet.name(f"control-{vm.name}")
            self.supervisor.wait_for_line(name, '"started"', READY_LIMIT_S)

    def find_bus(self, number: int) -> str:
        """Return a control's address; it uses the next port too."""
        return f"127.0.0.1:{self.layout.base + 700 + 2 * number}"

    def list_vms(self, without: tuple[int, ...], leaving: tuple[int, ...] = ()) -> None:
        """Set what the VM list will show after its lag."""
        listed = [
            {
                "name": vm.name,
                "zone": vm.zone,
                "address": vm.address,
                "control": self.find_bus(number),
                "leaving": number in leaving,
            }
            for number, vm in enumerate(self.fleet.vms)
            if number not in without
        ]
        fleet.post_json(f"http://{self.vms}/admin", {"vms": listed})

    def stop_control(self, number: int, sign: signal.Signals) -> None:
        """Stop or kill the control process of a VM."""
        name = self.fleet.name(f"control-{self.fleet.vms[number].name}")
        self.supervisor.send_signal(name, sign)

    def run_command(self, *arguments: str) -> dict[str, typing.Any]:
        """Run the operators' command and return its JSON document.

        Raises
        ------
        CommandError
            If it does not succeed in time.
        """
        command = [sys.executable, "-m", "pistachioshed.apps.operator"]
        command += ["--settings", str(self.settings), *arguments, "--json"]
        done = subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=COMMAND_LIMIT_S,
            check=False,
        )
        if done.returncode != 0:
            raise CommandError(f"{arguments}: status {done.returncode}: {done.stderr}")
        document: dict[str, typing.Any] = json.loads(done.stdout)
        return document
