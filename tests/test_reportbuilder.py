"""Tests of which changes forwarders report to their peers at once."""

from pistachioshed.core import reportbuilder, reportpacer
from tests import dispatchbuilders as build


def test_changes_learned_from_the_store_are_reported_at_once() -> None:
    """Guard against a new configuration that waits for the next periodic report."""
    balancer = build.Balancer(build.build_upstream(1))
    identity = reportbuilder.Identity("front-1", "riga-a", ("10.1.0.1", 7720), 1, 1.0)
    for reads_store, kind in ((True, "change"), (False, None)):
        report_builder = reportbuilder.ReportBuilder(
            identity, balancer.dispatcher, reportpacer.ReportPacer()
        )
        version = balancer.dispatcher.configuration.version
        status = reportbuilder.Status(reads_store, False, (1, version), False)
        first = report_builder.build_due_report(status, 1.0)
        assert first is not None
        report_builder.record_sent(first, 100, 1.0)
        balancer.dispatcher.configure(build.build_configuration(version + 1), 1.05)
        if reads_store:
            status = status._replace(store_versions=(1, version + 1))
        second = report_builder.build_due_report(status, 1.1)
        assert (second.kind if second else None) == kind
