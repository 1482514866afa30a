"""Tests of reading the balancer's settings file."""

import pathlib

import pytest

from pistachioshed.apps import balanceroptions

VALID_SETTINGS = """\
[balancer]
name = entry-1
zone = riga-a
peer_address = 127.0.0.1:7001
control_address = 127.0.0.1:7101
metrics_address = 127.0.0.1:7201
key = 00112233445566778899aabbccddeeff

[services]
booking = 127.0.0.1:9001
"""


def test_all_errors_are_reported_at_once(tmp_path: pathlib.Path) -> None:
    """Guard against reporting one fault per start, and against printing the key."""
    path = tmp_path / "balancer.ini"
    path.write_text(VALID_SETTINGS)
    settings = balanceroptions.read_balancer_settings(path)
    assert settings.core.name == "entry-1"
    assert settings.services == {"booking": ("127.0.0.1", 9001)}
    faulty = (
        VALID_SETTINGS.replace("key = 0011", "key = xx")
        .replace("7201", "77201")
        .replace("9001", "no")
    )
    path.write_text(faulty + "\n[tunables]\nhysteresis = 0.5\ncolour = red\n")
    with pytest.raises(ExceptionGroup) as caught:
        balanceroptions.read_balancer_settings(path)
    text = " ".join(str(error) for error in caught.value.exceptions)
    for key in ("key", "metrics_address", "hysteresis", "colour", "booking"):
        assert f"] {key}:" in text
    assert "33445566" not in text


@pytest.mark.parametrize(
    "services",
    ["booking = somewhere", "", "booking = 127.0.0.1:1\nsheets = 127.0.0.1:1"],
)
def test_services_need_distinct_valid_addresses(
    tmp_path: pathlib.Path,
    services: str,
) -> None:
    """Guard against invalid or missing listeners and two services that share one."""
    path = tmp_path / "balancer.ini"
    path.write_text(VALID_SETTINGS.replace("booking = 127.0.0.1:9001", services))
    with pytest.raises(ExceptionGroup):
        balanceroptions.read_balancer_settings(path)
