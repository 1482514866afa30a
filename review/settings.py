"""Render deploy/forwarder.ini as the platform does, and read the deploy file."""

import json
import pathlib
import re
import shlex
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
TAG = re.compile(r"\{\{([#^/]?)([^{}]+)\}\}")


def look_up(fields, name):
    """Return the value of a dotted name, None if there is none."""
    value = fields
    for part in name.split("."):
        if not isinstance(value, dict) or part not in value:
            if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
                continue
            return None
        value = value[part]
    return value


def format_value(value):
    """Return a value as the template inserts it."""
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    if isinstance(value, bool):
        return "true" if value else "false"
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, fields):
    """Fill in a template; sections are rendered once, which is all that it uses."""
    lines = []
    skipping = []
    for line in template.splitlines():
        tag = TAG.fullmatch(line.strip())
        if tag and tag[1] in ("#", "^"):
            present = look_up(fields, tag[2])
            shown = present is not None and present is not False
            skipping.append(shown == (tag[1] == "^"))
        elif tag and tag[1] == "/":
            skipping.pop()
        elif not any(skipping):
            lines.append(
                TAG.sub(lambda found: format_value(look_up(fields, found[2])), line)
            )
    return "\n".join(lines) + "\n"


def read_role():
    """Return the command and the template of the forwarder in deploy/system.toml."""
    text = (ROOT / "deploy/system.toml").read_text()
    role = tomllib.loads(text)["roles"]["forwarder"]
    return shlex.split(role["run"]), (ROOT / role["template"]).read_text()


def make_fields(name, zone, ip, ports, store, seeds, bounds, zones):
    """Return the platform's fields of one machine, as in DEPLOY.md."""
    return {
        "node-name": name,
        "role": "forwarder",
        "machine-class": "front",
        "serves": ["front", "control"],
        "ip-address": ip,
        "zone": zone,
        "region": "region-1",
        "internal-port-range": [ports["peers"], ports["peers"] + 15],
        "seeds": [f"{seed}:{ports['control']}" for seed in seeds],
        "first-start": True,
        "discovery": "platform",
        "entry": "announce",
        "heartbeat-interval-ms": 1200,
        "hash-function": "steady",
        "forwarding-mode": "echo",
        "zones": dict.fromkeys(zones, "region-1"),
        "listen-addresses": {
            "packet-address": f"{ip}:{ports['packets']}",
            "ready": f"{ip}:{ports['ready']}",
            "control": f"{ip}:{ports['control']}",
        },
        "limits": {
            "processor-share": 0.537,
            "cores": 2,
            "memory-mb": 300,
            "file-descriptors": 4100,
            "link-mbps": 1000.0,
            "disk-mb": 0,
        },
        "tolerated-failures": {"machines": 1, "zones": 1, "regions": 0},
        "bounds": bounds,
        "platform": {
            "address": f"{store[0]}:{store[1]}",
            "forwarding-mode": "kv",
            "writes-per-s": 400,
            "reads-per-s": 2000,
            "history-s": 20,
            "value-bytes": 1_048_576,
            "minimum-lifetime-ms": 1000,
        },
    }


# The bounds of booth-lb and zlk-lisovna.
BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "stable-window-ms": 4000,
    "acknowledge-ms": 5000,
    "catch-up-s": 4,
    "drain-ms": 3000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-propagation-ms": 3000,
    "downgrade-slack-ms": 250,
    "outer-ms": 12000,
    "recovery-s": 12,
    "flow-ms": 2000,
    "maximum-flow-s": 60,
}
