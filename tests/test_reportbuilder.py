"""What balancers tell their peers at once."""

from pistachioshed.core import reportbuilder, reportpacer
from tests import dispatchbuilders as build


def test_a_balancer_that_follows_the_store_tells_of_changes_at_once() -> None:
    """Guard against peers that learn of a configuration only with the next report."""
    balancer = build.Balancer(build.build_upstream(1))
    identity = reportbuilder.Identity("front-1", "riga-a", ("10.1.0.1", 7720), 1, 1.0)
    for watches, kind in ((True, "news"), (False, None)):
        announcer = reportbuilder.Announcer(
            identity, balancer.dispatcher, reportpacer.ReportPacer()
        )
        status = reportbuilder.Status(watches, False, False)
        first = announcer.announce(status, 1.0)
        assert first is not None
        announcer.note_sent(first, 100, 1.0)
        version = balancer.dispatcher.configuration.version + 1
        balancer.dispatcher.configure(build.build_configuration(version), 1.05)
        second = announcer.announce(status, 1.1)
        assert (second.kind if second else None) == kind
