"""Run a deployment's store, VM list, control processes and operator commands."""

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
TABLE_COLUMNS: typing.Final = (
    "upstream",
    "address",
    "zone",
    "weight",
    "connections",
    "slots",
    "state",
)
CONTROL_SETTINGS_TEMPLATE: typing.Final = """\
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
OPERATOR_SETTINGS_TEMPLATE: typing.Final = """\
[store]
addresses = {store}

[operator]
name = demo
"""


class CommandError(RuntimeError):
    """Raised when the operators' command fails; holds its error output."""


class ControlPlane:
    """Run the store, the VM list, one control process per VM and operator commands."""

    def __init__(self, process_fleet: fleet.Fleet) -> None:
        self.fleet = process_fleet
        self.layout = process_fleet.layout
        self.supervisor = process_fleet.supervisor
        self.store_address = f"127.0.0.1:{self.layout.base_port + 600}"
        self.vm_list_address = f"127.0.0.1:{self.layout.base_port + 601}"
        self.operator_settings = self.directory / f"{self.layout.name}-operator.ini"

    @property
    def directory(self) -> pathlib.Path:
        """Return the directory of the settings files."""
        return self.supervisor.directory

    def start_services(self) -> None:
        """Start the store and the VM list, and create the tables."""
        self.operator_settings.write_text(
            OPERATOR_SETTINGS_TEMPLATE.format(store=self.store_address)
        )
        name = self.fleet.get_process_name("store")
        self.supervisor.start(name, "standins.store", ["--address", self.store_address])
        self.supervisor.wait_for_line(name, "listening", READY_LIMIT_S)
        port = self.vm_list_address.rpartition(":")[2]
        arguments = ["--port", port, "--lag", str(VM_LIST_LAG_S)]
        self.supervisor.start(
            self.fleet.get_process_name("vmlist"), "standins.vmlist", arguments
        )
        self.supervisor.wait_for("VM list ready", self._is_vm_list_ready, READY_LIMIT_S)
        self.set_vm_list(())
        for service_index in range(len(self.layout.services)):
            self._create_table(service_index)

    def _is_vm_list_ready(self) -> bool:
        try:
            fleet.get_json(f"http://{self.vm_list_address}/admin")
        except urllib.error.URLError:
            return False
        return True

    def _create_table(self, service_index: int) -> None:
        table = self.layout.build_table(service_index)
        path = self.directory / f"{self.layout.name}-{table.service}.csv"
        with path.open("w", newline="") as file:
            writer = csv.writer(file)
            writer.writerow(("service", table.service, "version", 0))
            writer.writerow(TABLE_COLUMNS)
            writer.writerows(
                [getattr(row, key) for key in TABLE_COLUMNS] for row in table.rows
            )
        self.run_command("create", table.service, str(path))

    def start_controls(self) -> None:
        """Start one control process on the VM of each balancer."""
        for balancer_index, vm in enumerate(self.fleet.vms):
            path = self.directory / f"{self.layout.name}-control-{vm.name}.ini"
            path.write_text(
                CONTROL_SETTINGS_TEMPLATE.format(
                    name=vm.name,
                    zone=vm.zone,
                    bus=self.find_bus(balancer_index),
                    key=layouts.KEY,
                    store=self.store_address,
                    vms=self.vm_list_address,
                    link=self.layout.find_control_link(balancer_index),
                    metrics=f"127.0.0.1:{self.layout.base_port + 350 + balancer_index}",
                ),
            )
            name = self.fleet.get_process_name(f"control-{vm.name}")
            arguments = ["--settings", str(path)]
            self.supervisor.start(name, "pistachioshed.apps.control", arguments)
        for vm in self.fleet.vms:
            name = self.fleet.get_process_name(f"control-{vm.name}")
            self.supervisor.wait_for_line(name, '"started"', READY_LIMIT_S)

    def find_bus(self, balancer_index: int) -> str:
        """Return a control process's bus address; the next port is used as well."""
        return f"127.0.0.1:{self.layout.base_port + 700 + 2 * balancer_index}"

    def set_vm_list(
        self, excluded: tuple[int, ...], leaving: tuple[int, ...] = ()
    ) -> None:
        """Set the VMs that the VM list returns after its lag."""
        listed = [
            {
                "name": vm.name,
                "zone": vm.zone,
                "address": vm.address,
                "control": self.find_bus(balancer_index),
                "leaving": balancer_index in leaving,
            }
            for balancer_index, vm in enumerate(self.fleet.vms)
            if balancer_index not in excluded
        ]
        fleet.post_json(f"http://{self.vm_list_address}/admin", {"vms": listed})

    def stop_control(self, balancer_index: int, stop_signal: signal.Signals) -> None:
        """Stop or kill the control process of a VM by a signal."""
        name = self.fleet.get_process_name(
            f"control-{self.fleet.vms[balancer_index].name}"
        )
        self.supervisor.send_signal(name, stop_signal)

    def run_command(self, *arguments: str) -> dict[str, typing.Any]:
        """Run the operators' command and return its JSON document.

        Raises
        ------
        CommandError
            If the command exits with a status other than 0.
        """
        command = [sys.executable, "-m", "pistachioshed.apps.operator"]
        command += ["--settings", str(self.operator_settings), *arguments, "--json"]
        completed = subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=COMMAND_LIMIT_S,
            check=False,
        )
        if completed.returncode != 0:
            raise CommandError(
                f"{arguments} exited with status {completed.returncode}: "
                f"{completed.stderr}"
            )
        document: dict[str, typing.Any] = json.loads(completed.stdout)
        return document
