"""What a balancer holds of each other member, and which of two claims wins."""

import typing
from collections import abc

import xxhash

from pistachioshed.core import wire

STATES: typing.Final = ("joining", "active", "leaving", "left")
JOINING, ACTIVE, LEAVING, LEFT = range(4)
CONDITIONS: typing.Final = ("alive", "suspect", "dead")
ALIVE, SUSPECT, DEAD = range(3)


class Record:
    """The newest claim about one member and the time at which it was learned.

    `probes_here` tells that this node's own probe raised the suspicion, so that this
    node repeats the ping that lets the suspect refute it.
    """

    __slots__ = ("claim", "probes_here", "since")

    def __init__(self, claim: wire.Claim, since: float) -> None:
        self.claim = claim
        self.since = since
        self.probes_here = False

    @property
    def is_live(self) -> bool:
        """Tell whether the member takes part in the membership."""
        return self.claim.condition != DEAD and self.claim.state != LEFT

    @property
    def is_owner(self) -> bool:
        """Tell whether the member owns flows; a suspect does until confirmed dead."""
        return self.claim.condition != DEAD and self.claim.state == ACTIVE


def supersedes(claim: wire.Claim, held: wire.Claim) -> bool:
    """Tell whether a claim replaces the one held.

    Only the member itself raises its incarnation, with each change of its state. At
    one incarnation the worse condition wins, so that claims from different senders
    give the same result in any order.
    """
    return (claim.incarnation, claim.condition) > (held.incarnation, held.condition)


def contradicts(claim: wire.Claim, own: wire.Claim) -> bool:
    """Tell whether a claim about this node has to be refuted.

    Besides a suspicion, this is a claim that an earlier run under the same name left
    behind.
    """
    if claim.incarnation != own.incarnation:
        return claim.incarnation > own.incarnation
    return claim != own


def compute_digest(claims: abc.Iterable[tuple[str, wire.Claim]]) -> int:
    """Return a 32-bit sum of live members that does not depend on their order.

    Suspicion is left out: it changes often and settles by itself.
    """
    digest = 0
    for name, claim in claims:
        if claim.condition != DEAD and claim.state != LEFT:
            text = f"{name}/{claim.incarnation}/{claim.state}"
            digest ^= xxhash.xxh32_intdigest(text.encode())
    return digest
