"""Check that names of the platform's wire stand in the adapter only.

The names are the text literals of the adapter that look like names of the wire.
"""

import ast
import pathlib
import re
import sys
import typing
from collections import abc

ADAPTER: typing.Final = pathlib.Path("src/pistachioshed/platform")
CHECKED: typing.Final = (pathlib.Path("src"), pathlib.Path("tools"))
# Words joined by hyphens, and paths; single words are the product's too.
WIRE_NAME: typing.Final = re.compile(r"[a-z]+(-[a-z]+)+|[a-z]+/[a-z]*|(/[a-z]+)+-?")


def find_literals(path: pathlib.Path) -> abc.Iterator[tuple[int, str]]:
    """Yield line and text of each text literal of a file."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.lineno, node.value


def collect_names() -> frozenset[str]:
    """Return the names of the wire that the adapter holds."""
    return frozenset(
        text
        for path in ADAPTER.rglob("*.py")
        for _, text in find_literals(path)
        if WIRE_NAME.fullmatch(text)
    )


def find_names(path: pathlib.Path, names: abc.Iterable[str]) -> abc.Iterator[str]:
    """Yield one complaint per text literal that holds a name of the wire."""
    for line, text in find_literals(path):
        for name in names:
            if name in text.lower():
                yield f"{path}:{line}: {name!r} belongs to {ADAPTER}"


def main() -> int:
    """Check the sources and return the exit status."""
    names = collect_names()
    if not names:
        print(f"no name of the wire was found in {ADAPTER}")
        return 1
    complaints = [
        complaint
        for root in CHECKED
        for path in sorted(root.rglob("*.py"))
        if ADAPTER not in path.parents
        for complaint in find_names(path, names)
    ]
    print("\n".join(complaints) or f"platform names: clean, {len(names)} names")
    return 1 if complaints else 0


if __name__ == "__main__":
    sys.exit(main())
