"""Check the style rule that modules are imported, not names from modules."""

import ast
import importlib.util
import pathlib
import sys
from collections import abc

ROOTS = ("examples", "src", "standins", "tests", "tools")


def find_name_imports(path: pathlib.Path) -> abc.Iterator[str]:
    """Yield one violation per name that a file imports from a module."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        for alias in node.names:
            if not is_module(f"{node.module}.{alias.name}"):
                yield f"{path}:{node.lineno}: {alias.name} is not a module"


def is_module(dotted_name: str) -> bool:
    """Return whether a dotted name can be imported as a module."""
    try:
        return importlib.util.find_spec(dotted_name) is not None
    except ModuleNotFoundError:
        return False


def main() -> int:
    """Check every source file and return the exit status."""
    violations = [
        violation
        for root in ROOTS
        for path in sorted(pathlib.Path(root).rglob("*.py"))
        for violation in find_name_imports(path)
    ]
    print("\n".join(violations) or "imports: clean")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
