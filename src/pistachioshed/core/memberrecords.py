"""Records of the other members, and the precedence of claims about them."""

import typing
from collections import abc

import xxhash

from pistachioshed.core import events, settings, wire

STATES: typing.Final = ("joining", "active", "leaving", "left")
JOINING, ACTIVE, LEAVING, LEFT = range(4)
CONDITIONS: typing.Final = ("alive", "suspect", "dead")
ALIVE, SUSPECT, DEAD = range(3)


class MemberRecord:
    """The current claim about a member.

    `since` is when the claim was recorded; a pause of this node restarts it for a
    suspicion. `suspected_by_own_probe` is set if a probe of this node raised the
    suspicion; this node then repeats the ping that lets the suspect refute it.
    """

    __slots__ = ("claim", "since", "suspected_by_own_probe")

    def __init__(self, claim: wire.Claim, since: float) -> None:
        self.claim = claim
        self.since = since
        self.suspected_by_own_probe = False

    @property
    def is_live(self) -> bool:
        """Return whether the member participates in the membership."""
        return self.claim.condition != DEAD and self.claim.state != LEFT

    @property
    def is_owner(self) -> bool:
        """Return whether the member owns flows; a suspect does until confirmed dead."""
        return self.claim.condition != DEAD and self.claim.state == ACTIVE


def supersedes(claim: wire.Claim, current: wire.Claim) -> bool:
    """Return whether a claim replaces the current one.

    Only the member itself raises its incarnation, with each change of its state. At
    the same incarnation the worse condition wins, so that claims from different senders
    give the same result in any order.
    """
    return (claim.incarnation, claim.condition) > (
        current.incarnation,
        current.condition,
    )


def needs_refutation(claim: wire.Claim, own_claim: wire.Claim) -> bool:
    """Return whether a claim about this node has to be refuted.

    Besides suspicions, this covers claims from an earlier run under the same name.
    """
    if claim.incarnation != own_claim.incarnation:
        return claim.incarnation > own_claim.incarnation
    return claim != own_claim


class MemberTable:
    """Hold the claim of this node, its records of the others, and the VM list.

    Parameters
    ----------
    settings : settings.Settings
        Provides the name and zone of this node, its capacity and its seeds.
    """

    def __init__(self, settings: settings.Settings) -> None:
        self.name = settings.name
        self.zone = settings.zone
        self.seeds = frozenset(settings.seeds)
        self.listed_vms: dict[str, events.Vm] = {}
        self.members: dict[str, MemberRecord] = {}
        capacity = max(1, round(settings.capacity * 1_000))
        self.own_claim = wire.Claim(0, JOINING, ALIVE, capacity)

    def knows(self, peer: str) -> bool:
        """Return whether a peer may become a member or is a live one."""
        if peer == self.name:
            return False
        record = self.members.get(peer)
        return (
            peer in self.listed_vms
            or peer in self.seeds
            or (record is not None and record.is_live)
        )

    def list_live(self) -> list[str]:
        """Return the members to probe and to gossip with."""
        return [name for name, record in self.members.items() if record.is_live]

    def list_absent(self) -> set[str]:
        """Return possible members that are not present, except those that left."""
        return {
            name
            for name in (self.listed_vms.keys() | self.seeds) - {self.name}
            if name not in self.members or self.members[name].claim.condition == DEAD
        }

    def find_zone(self, name: str) -> str:
        """Return a member's zone, or "" if the VM list does not have the member."""
        if name == self.name:
            return self.zone
        vm = self.listed_vms.get(name)
        return vm.zone if vm is not None else ""

    def list_owners(self) -> dict[str, wire.Claim]:
        """Return the claims of the active members, this node included."""
        owners = {
            name: record.claim
            for name, record in self.members.items()
            if record.is_owner
        }
        if self.own_claim.state == ACTIVE:
            owners[self.name] = self.own_claim
        return owners

    def build_updates(self, names: abc.Iterable[str]) -> tuple[wire.Update, ...]:
        """Build updates about other members."""
        return tuple(
            wire.Update(name, self.members[name].claim)
            for name in names
            if name in self.members
        )

    def claims_differ(self, peer: str, claim: wire.Claim) -> bool:
        """Return whether a peer's own claim differs from the recorded one."""
        record = self.members.get(peer)
        return record is not None and record.claim != claim

    def is_suspect_or_dead(self, peer: str) -> bool:
        """Return whether a peer is recorded as suspect or dead."""
        record = self.members.get(peer)
        return record is not None and record.claim.condition != ALIVE

    def forget_absent(self, now: float, age_s: float) -> list[str]:
        """Remove and return unlisted members that are gone for at least `age_s`."""
        forgotten = [
            name
            for name, record in self.members.items()
            if not record.is_live
            and name not in self.listed_vms
            and now >= record.since + age_s
        ]
        for name in forgotten:
            del self.members[name]
        return forgotten

    def compute_digest(self) -> int:
        """Return a 32-bit digest of the live members, independent of their order.

        Suspicions are excluded: they change often and are resolved by themselves.
        """
        digest = _hash_claim(self.name, self.own_claim)
        for name, record in self.members.items():
            if record.is_live:
                digest ^= _hash_claim(name, record.claim)
        return digest


def _hash_claim(name: str, claim: wire.Claim) -> int:
    text = f"{name}/{claim.incarnation}/{claim.state}"
    return xxhash.xxh32_intdigest(text.encode())
