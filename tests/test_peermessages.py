"""Messages between forwarders: round trips, and bytes that are none."""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from pistachioshed.adapters import beliefs, reporting
from pistachioshed.core import neighbours
from tests import steeringbuilders as build

FIRST = build.build_upstream(1)
SECOND = build.build_upstream(2)


def test_a_report_survives_its_encoding() -> None:
    """Guard against a field that is lost or read as another."""
    loads = (neighbours.UpstreamLoad(7, 3, True),)
    report = build.build_report("front-2", loads=loads, peers=(("10.1.0.2", 7720),))
    assert reporting.decode_report(reporting.encode_report(report)) == report


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_a_message_or_an_error(data: bytes) -> None:
    """Guard against a datagram or an answer of a peer that ends the process."""
    with pytest.raises(msgspec.MsgspecError):
        reporting.decode_report(data)
    with pytest.raises(beliefs.BeliefsError):
        beliefs.decode_beliefs(data)


def test_a_peer_gets_only_what_it_lacks() -> None:
    """Guard against a whole configuration sent for each change of an upstream."""
    source = build.Balancer(FIRST).steering
    complete = beliefs.decode_beliefs(beliefs.collect_beliefs(source, 0, 0))
    assert complete.snapshot and complete.routes
    source.update_directory(
        [build.build_change(SECOND, 2)], revision=2, snapshot=False, now=1.0
    )
    rest = beliefs.decode_beliefs(beliefs.collect_beliefs(source, 1, 1))
    assert [change.name for change in rest.changes] == [SECOND.name]
    assert not rest.snapshot and not rest.routes


def test_beliefs_of_a_peer_that_is_behind_change_nothing() -> None:
    """Guard against a slow peer that takes a newer balancer back."""
    behind = build.Balancer(FIRST).steering
    message = beliefs.decode_beliefs(beliefs.collect_beliefs(behind, 0, 0))
    newer = build.Balancer(FIRST)
    newer.register(FIRST._replace(draining=True))
    newer.steering.configure(build.build_configuration(5), 1.0)
    beliefs.apply_beliefs(newer.steering, message, 2.0)
    assert newer.steering.configuration.version == 5
    assert newer.steering.directory.upstreams[FIRST.name].draining
