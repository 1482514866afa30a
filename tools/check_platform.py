"""Check that names of the platform's wire stand in the adapter only."""

import ast
import pathlib
import sys
import typing
from collections import abc

SOURCE = pathlib.Path("src/pistachioshed")
ADAPTER = SOURCE / "platform"
# Texts that the platform's pages define and that mean nothing elsewhere. Words that the
# product uses too (zone, service, address) are not listed.
WIRE_NAMES: typing.Final = (
    "op/config",
    "servers/",
    "kv-key",
    "kv-range",
    "kv-watch",
    "kv-txn",
    "kv-lease",
    "as-of",
    "wait-ms",
    "allow-stale",
    "cold-remaining-ms",
    "connection-limit",
    "health-path",
    "idle-timeout-ms",
    "instance-id",
    "not-executed",
    "request-id",
    "response-stamp",
    "target-latency-ms",
    "timeout-ms",
    "traffic-split",
    "node-name",
    "listen-addresses",
    "packet-address",
    "PISTACHIOSHED_NODE_FILE",
)


def find_wire_names(path: pathlib.Path) -> abc.Iterator[str]:
    """Yield one complaint per text literal that holds a name of the wire."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Constant) or not isinstance(node.value, str):
            continue
        for name in WIRE_NAMES:
            if name.lower() in node.value.lower():
                yield f"{path}:{node.lineno}: {name!r} belongs to {ADAPTER}"


def main() -> int:
    """Check the product's sources and return the exit status."""
    complaints = [
        complaint
        for path in sorted(SOURCE.rglob("*.py"))
        if ADAPTER not in path.parents
        for complaint in find_wire_names(path)
    ]
    print("\n".join(complaints) or "platform names: clean")
    return 1 if complaints else 0


if __name__ == "__main__":
    sys.exit(main())
