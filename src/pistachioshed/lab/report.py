"""Format measures as Markdown tables, with the deployment's primary measure first."""

from collections import abc

from pistachioshed.lab import deployments, measures

BROKEN_HEADINGS = ("broken", "opened")
IMBALANCE_HEADINGS = ("imbalance", "opened imb.")
OTHER_HEADINGS = (
    "p50 ms",
    "p99 ms",
    "worst load",
    "refused",
    "unopened",
    "violations",
    "relayed",
    "control B/s",
)


def format_report(
    deployment: deployments.Deployment, results: abc.Iterable[measures.Measures]
) -> str:
    """Return a Markdown table with a row per scenario, policy and service."""
    imbalance_first = deployment.primary_measure == "imbalance"
    leading_headings = (
        IMBALANCE_HEADINGS + BROKEN_HEADINGS
        if imbalance_first
        else BROKEN_HEADINGS + IMBALANCE_HEADINGS
    )
    headings = ("scenario", "policy", "service", *leading_headings, *OTHER_HEADINGS)
    lines = [
        "| " + " | ".join(headings) + " |",
        "|" + "---|" * len(headings),
    ]
    for result in results:
        for service in result.services:
            imbalance = [
                f"{service.imbalance:.2f}",
                f"{service.opened_imbalance:.2f}",
            ]
            broken = [str(service.flows.broken), str(service.flows.opened)]
            cells = [
                result.scenario,
                result.policy,
                service.service,
                *(imbalance + broken if imbalance_first else broken + imbalance),
                f"{service.p50_ms:.1f}",
                f"{service.p99_ms:.1f}",
                f"{service.worst_load:.2f}",
                str(service.flows.refused),
                str(service.flows.unopened),
                str(len(result.violations)),
                f"{result.relayed_share:.2f}",
                f"{result.control_bytes_per_node_s:.0f}",
            ]
            lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)
