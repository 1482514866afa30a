"""The balancer policies that experiments compare."""

import typing

from pistachioshed.core import node, placement, settings
from pistachioshed.lab import baselines, fleet


def build_core(node_settings: settings.Settings, seed: int) -> fleet.NodeLike:
    """Return the decision core with its default placement policy."""
    return node.Node(node_settings, seed)


def build_weight_only(node_settings: settings.Settings, seed: int) -> fleet.NodeLike:
    """Return the decision core that places flows by hash and weight only."""
    return node.Node(node_settings, seed, placement.choose_first)


def build_modulo(node_settings: settings.Settings, seed: int) -> fleet.NodeLike:
    """Return a balancer that hashes modulo the pool size, without flow tracking."""
    return baselines.Baseline(node_settings, baselines.choose_by_modulo, False)


def build_consistent(node_settings: settings.Settings, seed: int) -> fleet.NodeLike:
    """Return a balancer with consistent hashing, without flow tracking."""
    return baselines.Baseline(node_settings, baselines.choose_by_rendezvous, False)


def build_round_robin(node_settings: settings.Settings, seed: int) -> fleet.NodeLike:
    """Return a round-robin balancer that tracks the flows it has forwarded."""
    return baselines.Baseline(node_settings, baselines.choose_round_robin, True)


POLICIES: typing.Final[dict[str, fleet.BuildNode]] = {
    "core": build_core,
    "weight only": build_weight_only,
    "modulo": build_modulo,
    "consistent": build_consistent,
    "round robin": build_round_robin,
}
