"""Tests of which changes forwarders report to their peers at once."""

from pistachioshed.core import reportbuilder, reportpacer
from tests import dispatchbuilders as build


def test_a_forwarder_that_follows_the_store_reports_changes_at_once() -> None:
    """Guard against a new configuration that waits for the next periodic report."""
    balancer = build.Balancer(build.build_upstream(1))
    identity = reportbuilder.Identity("front-1", "riga-a", ("10.1.0.1", 7720), 1, 1.0)
    for watches_store, kind in ((True, "change"), (False, None)):
        report_builder = reportbuilder.ReportBuilder(
            identity, balancer.dispatcher, reportpacer.ReportPacer()
        )
        status = reportbuilder.Status(watches_store, False, False)
        first = report_builder.build_due_report(status, 1.0)
        assert first is not None
        report_builder.record_sent(first, 100, 1.0)
        version = balancer.dispatcher.configuration.version + 1
        balancer.dispatcher.configure(build.build_configuration(version), 1.05)
        second = report_builder.build_due_report(status, 1.1)
        assert (second.kind if second else None) == kind
