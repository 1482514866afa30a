"""Snapshot tests of whole sessions of a balancer and of a control process."""

import typing

import pytest
import syrupy.assertion

from pistachioshed.core import controlevents, node, settings
from pistachioshed.lab import deployments, experiment, fleet
from tests import builders, controlfleet, transcripts

BALANCER_ROUTINE: typing.Final = ("Tick", "ProbeReported")
MEMBERSHIP: typing.Final = (":Ping ", ":Ack ", ":PingRequest ", ":Gossip ")
CONTROL_ROUTINE: typing.Final = (
    "Tick",
    "ReportReceived",
    "DigestReceived",
    "PublishDigest",
    "Probe",
    "PublishProbes",
    "Renew",
    "LeaseRenewed",
    "Deliver update=(Update tables=[] ",
)


def is_routine_of_balancer(text: str) -> bool:
    """Return whether a line is a tick, a probe result or a membership message."""
    return text.startswith(BALANCER_ROUTINE) or any(m in text for m in MEMBERSHIP)


def is_routine_of_control(text: str) -> bool:
    """Return whether a line is a tick, report, digest, probe or lease renewal."""
    return text.startswith(CONTROL_ROUTINE)


def build_world(
    deployment: deployments.Deployment, transcript: transcripts.Transcript
) -> experiment.Experiment:
    """Return a world of three balancers under light load; the first is recorded."""
    services = tuple(
        service._replace(
            hosts=3,
            load=service.load._replace(
                flows_per_s=0.4, requests_per_flow=2, think_s=4.0
            ),
        )
        for service in deployment.services
    )

    def build(config: settings.Settings, seed: int) -> fleet.NodeLike:
        built = node.Node(config, seed)
        if config.name == f"{deployment.zones[0]}-1":
            setattr(built, "handle", transcript.wrap(built.handle))
        return built

    return experiment.Experiment(
        deployment._replace(balancers=3, services=services), build, 1
    )


@pytest.mark.parametrize(
    "deployment", [deployments.KRASOTAVA, deployments.ZILINA], ids=["riga", "hall"]
)
def test_session_of_a_balancer(
    deployment: deployments.Deployment, snapshot: syrupy.assertion.SnapshotAssertion
) -> None:
    """Guards against unintended changes of a balancer's decisions."""
    transcript = transcripts.Transcript(fleet.CONTROL_KEY, is_routine_of_balancer)
    lab = build_world(deployment, transcript)
    first, second = (service.name for service in deployment.services)
    lab.clock.run_until(3.0)
    transcript.add_heading("load")
    lab.start_load(16.0)
    lab.clock.run_until(8.0)
    transcript.add_heading(f"edit of {second}")
    lab.set_weight(second, f"{second}-1", 0.25)
    lab.clock.run_until(10.0)
    transcript.add_heading(f"drain of {first}-2")
    lab.drain_row(first, f"{first}-2")
    lab.clock.run_until(12.0)
    transcript.add_heading("death of another balancer")
    lab.fleet.remove_node(list(lab.fleet.vms)[1])
    lab.clock.run_until(17.0)
    transcript.add_heading("graceful stop")
    lab.fleet.stop_node(next(iter(lab.fleet.vms)))
    lab.clock.run_until(40.0)
    assert sum(source.broken for source in lab.sources.values()) == 0
    assert "\n".join(transcript.lines) == snapshot


class RecordedFleet(controlfleet.Fleet):
    """A fleet that records the session of one control process."""

    transcript: transcripts.Transcript
    recorded = "riga-a-0"

    def dispatch(self, name: str, event: controlevents.Event) -> None:
        """Pass an event to a node, recording it if the node is `recorded`."""
        policy = self.nodes.get(name)
        if name == self.recorded and policy and "handle" not in vars(policy):
            setattr(policy, "handle", self.transcript.wrap(policy.handle))
        super().dispatch(name, event)


def test_session_of_a_control_process(
    snapshot: syrupy.assertion.SnapshotAssertion,
) -> None:
    """Guards against unintended changes of a control process's decisions."""
    transcript = transcripts.Transcript(controlfleet.KEY, is_routine_of_control)
    fleet_of_three = RecordedFleet(1, {"riga-a": 2, "riga-b": 1})
    fleet_of_three.transcript = transcript
    fleet_of_three.write(builders.build_table("booking", 2))
    transcript.add_heading("boot")
    fleet_of_three.boot()
    fleet_of_three.run(5.0)
    transcript.add_heading("edit")
    fleet_of_three.write(builders.build_table("booking", 3, 2))
    fleet_of_three.run(3.0)
    transcript.add_heading("store down while another zone has an edit")
    fleet_of_three.no_store = {"riga-a-0", "riga-a-1"}
    fleet_of_three.write(builders.build_table("booking", 2, 3))
    fleet_of_three.run(4.0)
    assert fleet_of_three.is_in_force(3)
    transcript.add_heading("store up")
    fleet_of_three.no_store = set()
    fleet_of_three.run(6.0)
    assert "\n".join(transcript.lines) == snapshot
