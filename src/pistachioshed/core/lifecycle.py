"""Lifecycle of a balancer: joining, active, leaving, left."""

import typing

import automat

from pistachioshed.core import membership, replication, settings

# Two ticks and a probe interval, in which the announcement reaches the members. Until
# then this node has to forward packets that they still relay to it.
LEAVE_ANNOUNCEMENT_S: typing.Final = 0.7
# Covers the next two ticks, on which the `left` state is announced.
LEFT_ANNOUNCEMENT_S: typing.Final = 0.3


class TransitionContext:
    """State that is shared by the transitions."""

    def __init__(
        self,
        settings: settings.Settings,
        membership: membership.Membership,
        replicator: replication.Replicator,
    ) -> None:
        self.settings = settings
        self.membership = membership
        self.replicator = replicator
        self.state = "joining"
        self.handover_started_at: float | None = None
        self.stop_requested_at = 0.0
        self.leave_announced_at: float | None = None
        self.left_at = 0.0


class Inputs(typing.Protocol):
    """Inputs of the lifecycle state machine."""

    def activate(self, now: float) -> None:
        """Become an owner."""

    def stop(self, now: float) -> None:
        """Begin a planned leave."""

    def depart(self, now: float) -> None:
        """Complete the planned leave."""


def _build_machine() -> automat.TypeMachine[Inputs, TransitionContext]:
    builder = automat.TypeMachineBuilder(Inputs, TransitionContext)
    joining = builder.state("joining")
    active = builder.state("active")
    leaving = builder.state("leaving")
    left = builder.state("left")

    @joining.upon(Inputs.activate).to(active)
    def enter_active(_: Inputs, context: TransitionContext, now: float) -> None:
        context.state = "active"
        context.replicator.end_handover()
        context.membership.announce("active", now)

    def enter_leaving(_: Inputs, context: TransitionContext, now: float) -> None:
        context.state = "leaving"
        context.stop_requested_at = now
        context.replicator.end_handover()
        context.replicator.begin_flush(now)

    joining.upon(Inputs.stop).to(leaving)(enter_leaving)
    active.upon(Inputs.stop).to(leaving)(enter_leaving)

    @leaving.upon(Inputs.depart).to(left)
    def enter_left(_: Inputs, context: TransitionContext, now: float) -> None:
        context.state = "left"
        context.left_at = now
        context.membership.announce("left", now)

    leaving.upon(Inputs.stop).loop().returns(None)
    left.upon(Inputs.stop).loop().returns(None)
    return builder.build()


_MACHINE: typing.Final = _build_machine()


class Lifecycle:
    """Drive the state machine by the progress of membership and replication.

    Parameters
    ----------
    settings : settings.Settings
        `join_timeout_s` and `leave_timeout_s` limit the planned transitions.
    membership : membership.Membership
        Announces each new state.
    replicator : replication.Replicator
        Hands over and flushes overrides.
    """

    def __init__(
        self,
        settings: settings.Settings,
        membership: membership.Membership,
        replicator: replication.Replicator,
    ) -> None:
        self.context = TransitionContext(settings, membership, replicator)
        self.machine = _MACHINE(self.context)
        self.finished = False

    @property
    def state(self) -> str:
        """Return the name of the current state."""
        return self.context.state

    def request_stop(self, now: float) -> None:
        """Begin a graceful stop; repeated requests have no effect."""
        self.machine.stop(now)

    def tick(self, now: float, table_known: bool, open_flows: int) -> None:
        """Perform the transitions that are due.

        Parameters
        ----------
        now : float
            The current time in seconds.
        table_known : bool
            Whether a table is in force.
        open_flows : int
            The flows that this node still forwards.
        """
        match self.context.state:
            case "joining":
                self._tick_joining(now, table_known)
            case "leaving":
                self._tick_leaving(now, open_flows)
            case "left":
                self.finished = now >= self.context.left_at + LEFT_ANNOUNCEMENT_S

    def _tick_joining(self, now: float, table_known: bool) -> None:
        # Without a table the wait has no limit, and a handover would be outdated.
        if not table_known:
            return
        context = self.context
        if context.handover_started_at is None:
            context.handover_started_at = now
            context.replicator.begin_handover(now)
        is_timed_out = (
            now >= context.handover_started_at + context.settings.join_timeout_s
        )
        is_handed_over = (
            context.membership.has_probed(now) and context.replicator.is_handed_over()
        )
        if is_timed_out or is_handed_over:
            self.machine.activate(now)

    def _tick_leaving(self, now: float, open_flows: int) -> None:
        context = self.context
        flush_limit = context.stop_requested_at + context.settings.join_timeout_s
        if context.leave_announced_at is None:
            # Announced only after the flush, so that the successors have the overrides
            # before the first packet reaches them.
            if context.replicator.is_flushed() or now >= flush_limit:
                context.leave_announced_at = now
                context.membership.announce("leaving", now)
            return
        is_timed_out = (
            now >= context.stop_requested_at + context.settings.leave_timeout_s
        )
        is_announced = now >= context.leave_announced_at + LEAVE_ANNOUNCEMENT_S
        if is_timed_out or (is_announced and open_flows == 0):
            self.machine.depart(now)
