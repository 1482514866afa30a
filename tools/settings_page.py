"""Generate docs/settings.md from the options that the programs read."""

import pathlib
import sys
import typing
from collections import abc

from pistachioshed.adapters import ini
from pistachioshed.apps import (
    balanceroptions,
    console,
    controloptions,
    forwarderoptions,
    settingswatch,
)

PAGE: typing.Final = pathlib.Path(__file__).parents[1] / "docs" / "settings.md"
HEADER: typing.Final = """# Settings

Written by `tools/settings_page.py` from the code; a test compares them. Each program
reads one INI file; every fault of a file is reported at once, with the key and what is
allowed. A file with an unknown section or key is refused.
"""


class Program(typing.NamedTuple):
    """A program, its options, a note and its sections whose keys operators choose."""

    title: str
    options: abc.Sequence[ini.Option]
    note: str = ""
    free_sections: tuple[tuple[str, str, str], ...] = ()


PROGRAMS: typing.Final = (
    Program(
        "pistachioshed-balancer",
        balanceroptions.OPTIONS,
        "",
        (
            ("services", "NAME", "the service's listener, ip:port; at least one"),
            ("seeds", "NAME", "a balancer's peer address, until a VM list arrives"),
        ),
    ),
    Program(
        "pistachioshed-control",
        controloptions.OPTIONS,
        "",
        (("seeds", "NAME", "a zone and a bus ip:port, until a VM list arrives"),),
    ),
    Program(
        "pistachioshed-forwarder",
        forwarderoptions.OPTIONS,
        f"Applied when the file changes: {', '.join(settingswatch.APPLIED_FIELDS)}. "
        "All others need a restart;\nthe log line `reloaded` names them. A file with a "
        "fault changes nothing.",
    ),
    Program("pistachioshed (operators' command)", console.OPTIONS),
)


def format_page() -> str:
    """Return the text of the page."""
    return "\n".join([HEADER, *map(format_program, PROGRAMS)])


def format_program(program: Program) -> str:
    """Return the page's section about a program."""
    lines = [
        f"## {program.title}",
        "",
        *([program.note, ""] if program.note else []),
        "| section | key | default | allowed | meaning |",
        "|---|---|---|---|---|",
    ]
    for option in program.options:
        default = "required" if option.default is None else option.default or "empty"
        secret = " (secret)" if option.secret else ""
        cells = (option.section, option.key, default, option.allowed, option.help)
        lines.append(f"| {' | '.join(cells)}{secret} |")
    lines += [
        f"| {section} | {key} | optional | {allowed} |  |"
        for section, key, allowed in program.free_sections
    ]
    return "\n".join([*lines, ""])


def main() -> int:
    """Write the page."""
    PAGE.write_text(format_page(), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
