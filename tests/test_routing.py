"""The choice of a service by the weights of a route."""

import pytest

from pistachioshed.core import routing
from tests import dispatchbuilders as build

FLOW_KEYS = [number.to_bytes(8, "big") for number in range(200)]


@pytest.mark.parametrize(
    ("weights", "expected"),
    [
        ((), {None}),
        ((0.0,), {None}),
        ((0.0, 0.0), {None}),
        ((1.0,), {"service-0"}),
        ((0.0, 1.0), {"service-1"}),
        ((1.0, 0.0, 1.0), {"service-0", "service-2"}),
    ],
)
def test_a_service_without_weight_gets_no_flow(
    weights: tuple[float, ...], expected: set[str | None]
) -> None:
    """Guard against flows to a service that the operators took out of a route."""
    shares = tuple(
        routing.Share(f"service-{number}", weight)
        for number, weight in enumerate(weights)
    )
    route = build.build_route(shares=shares)
    chosen = {routing.choose_service(route, flow_key) for flow_key in FLOW_KEYS}
    assert chosen == expected
