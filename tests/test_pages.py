"""Tests that documentation pages and examples match the code."""

import pathlib
import re

import pytest

from examples import embed
from tools import settings_page

ROOT = pathlib.Path(__file__).parents[1]


def test_settings_page_is_up_to_date() -> None:
    """Guard against a page that lacks a setting or shows an old default."""
    assert settings_page.PAGE.read_text(encoding="utf-8") == settings_page.format_page()


def test_embedding_example_runs_and_repeats() -> None:
    """Guard against changes to the core that break the example."""
    result = embed.run_example(1)
    assert result == embed.run_example(1)
    assert len(set(result.placed.values())) == 4
    assert result.moved == 0
    assert all(result.control_bytes[name] > 0 for name in embed.NAMES)


@pytest.mark.parametrize("page", sorted((ROOT / "docs" / "operations").glob("*.md")))
def test_operations_pages_name_real_events(page: pathlib.Path) -> None:
    """Guard against a page that names an event or metric that does not exist."""
    sources = "".join(path.read_text() for path in (ROOT / "src").rglob("*.py"))
    text = page.read_text(encoding="utf-8")
    for name in re.findall(r"event `([^`]+)`", text):
        assert f'"{name}"' in sources, name
    for name in re.findall(r"`pistachioshed_(?:balancer|control)_(\w+)[^`]*`", text):
        assert f'"{name.removesuffix("_total")}"' in sources, name
