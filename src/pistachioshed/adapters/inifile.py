"""Parse INI files.

The module imports nothing, so that a program can read its settings first of all.
"""

COMMENT_PREFIXES = ("#", ";")


class IniError(ValueError):
    """A line that is not valid, with its number."""

    def __init__(self, number: int, problem: str) -> None:
        self.number = number
        super().__init__(f"line {number}: {problem}")


def parse_sections(text: str) -> dict[str, dict[str, str]]:
    """Return the sections of a file with their keys and values.

    An indented line continues the value before it. Lines that start with "#" or ";" are
    comments.

    Raises
    ------
    IniError
        If a line is neither a section nor a key, or repeats one.
    """
    sections: dict[str, dict[str, str]] = {}
    section: dict[str, str] | None = None
    key = ""
    for number, line in enumerate(text.splitlines(), 1):
        content = line.strip()
        if not content or content.startswith(COMMENT_PREFIXES):
            continue
        if line[0].isspace() and section is not None and key:
            section[key] = f"{section[key]}\n{content}"
        elif content.startswith("[") and content.endswith("]"):
            name = content[1:-1]
            if name in sections:
                raise IniError(number, f"section {name!r} is repeated")
            section = sections[name] = {}
            key = ""
        else:
            key, value = _split_key(number, content)
            if section is None:
                raise IniError(number, f"key {key!r} stands before any section")
            if key in section:
                raise IniError(number, f"key {key!r} is repeated")
            section[key] = value
    return sections


def _split_key(number: int, content: str) -> tuple[str, str]:
    positions = [content.find(mark) for mark in "=:" if mark in content]
    position = min(positions, default=0)
    key = content[:position].rstrip()
    if not key:
        raise IniError(number, f"{content!r} is not a key with a value")
    return key, content[position + 1 :].strip()
