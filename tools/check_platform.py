"""Check that names of the platform's wire protocol occur in the adapter only.

The names are the string literals of the adapter that match `WIRE_NAME`.
"""

import ast
import pathlib
import re
import sys
import typing
from collections import abc

ADAPTER: typing.Final = pathlib.Path("src/pistachioshed/platform")
CHECKED: typing.Final = (pathlib.Path("src"), pathlib.Path("tools"))
# Words joined by hyphens, and paths. Single words are not checked, because the rest of
# the code uses them as well.
WIRE_NAME: typing.Final = re.compile(r"[a-z]+(-[a-z]+)+|[a-z]+/[a-z]*|(/[a-z]+)+-?")


def find_literals(path: pathlib.Path) -> abc.Iterator[tuple[int, str]]:
    """Yield the line and value of each string literal of a file."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.lineno, node.value


def collect_names() -> frozenset[str]:
    """Return the names of the wire protocol that the adapter contains."""
    return frozenset(
        text
        for path in ADAPTER.rglob("*.py")
        for _, text in find_literals(path)
        if WIRE_NAME.fullmatch(text)
    )


def find_misplaced_names(
    path: pathlib.Path, names: abc.Iterable[str]
) -> abc.Iterator[str]:
    """Yield one violation per name of the wire protocol in a string literal."""
    for line, text in find_literals(path):
        for name in names:
            if name in text.lower():
                yield f"{path}:{line}: {name!r} may only occur in {ADAPTER}"


def main() -> int:
    """Check the sources and return the exit status."""
    names = collect_names()
    if not names:
        print(f"no name of the wire protocol was found in {ADAPTER}")
        return 1
    violations = [
        violation
        for root in CHECKED
        for path in sorted(root.rglob("*.py"))
        if ADAPTER not in path.parents
        for violation in find_misplaced_names(path, names)
    ]
    print("\n".join(violations) or f"platform names: clean, {len(names)} names")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
