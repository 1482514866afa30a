"""Run load experiments on the decision core and report measurements."""

import collections
import typing

import typer

from pistachioshed.lab import (
    deployments,
    faultruns,
    faults,
    measures,
    policies,
    report,
    scenarios,
    tokenruns,
)

app = typer.Typer(add_completion=False, help=__doc__)


@app.callback(invoke_without_command=True)
def run(
    context: typer.Context,
    deployment: typing.Annotated[
        str, typer.Option(help="One of " + ", ".join(deployments.DEPLOYMENTS))
    ] = "krasotava",
    scenario: typing.Annotated[
        list[str] | None,
        typer.Option(help="Repeatable; one of " + ", ".join(scenarios.SCENARIOS)),
    ] = None,
    policy: typing.Annotated[
        list[str] | None,
        typer.Option(help="Repeatable; one of " + ", ".join(policies.POLICIES)),
    ] = None,
    seed: typing.Annotated[int, typer.Option(help="Seed of all randomness")] = 1,
    seconds: typing.Annotated[float, typer.Option(help="Virtual seconds of load")] = 60,
    show_violations: typing.Annotated[
        bool, typer.Option(help="Print the first violations and all drops")
    ] = False,
) -> None:
    """Run scenarios against policies and print one Markdown table."""
    if context.invoked_subcommand is not None:
        return
    selected_deployment = _find_choice(
        deployments.DEPLOYMENTS, [deployment], "--deployment"
    )[0]
    results = []
    for selected_scenario in _find_choice(scenarios.SCENARIOS, scenario, "--scenario"):
        for policy_name in policy or list(policies.POLICIES):
            build_policy = _find_choice(policies.POLICIES, [policy_name], "--policy")[0]
            result = measures.run_experiment(
                selected_deployment,
                selected_scenario,
                policy_name,
                build_policy,
                seed,
                seconds,
            )
            results.append(result)
            if show_violations:
                typer.echo(
                    f"{selected_scenario.name}, {policy_name}: drops {result.drops}",
                    err=True,
                )
                for violation in result.violations[:5]:
                    typer.echo(f"  {violation.rule}: {violation.detail}", err=True)
    typer.echo(f"Seed {seed}, {seconds:.0f} s of load, {selected_deployment.name}\n")
    typer.echo(report.format_report(selected_deployment, results))


@app.command("faults")
def run_faults(
    seeds: typing.Annotated[int, typer.Option(help="Seeds per pair")] = 1,
    first_seed: typing.Annotated[int, typer.Option(help="The first seed")] = 1,
    fault: typing.Annotated[
        list[str] | None,
        typer.Option(
            help="Run only these faults, together; any of " + ", ".join(faults.FAULTS),
        ),
    ] = None,
    deployment: typing.Annotated[
        str, typer.Option(help="One of " + ", ".join(deployments.DEPLOYMENTS))
    ] = "krasotava",
    trace: typing.Annotated[
        bool, typer.Option(help="Print the trace of each run's first violation")
    ] = False,
) -> None:
    """Run every fault and every pair of faults and print what broke a rule."""
    selected_deployment = _find_choice(
        deployments.DEPLOYMENTS, [deployment], "--deployment"
    )[0]
    _find_choice(faults.FAULTS, fault, "--fault")
    runs = failed = 0
    for names in [tuple(fault)] if fault else faultruns.list_fault_combinations():
        for seed in range(first_seed, first_seed + seeds):
            result = faultruns.run_faults(
                names, seed, policies.build_core, selected_deployment
            )
            runs += 1
            if not result.violations:
                continue
            failed += 1
            rules = collections.Counter(v.rule for v in result.violations)
            counts = ", ".join(f"{rule} {count}" for rule, count in rules.items())
            typer.echo(f"{'+'.join(names)} seed {seed}: {counts}")
            typer.echo(f"  first: {result.violations[0].detail}")
            for line in result.trace if trace else ():
                typer.echo(f"    {line}")
    typer.echo(f"{runs} runs, {failed} with violations, {selected_deployment.name}")
    if failed:
        raise typer.Exit(1)


@app.command("tokens")
def run_tokens(
    pattern: typing.Annotated[
        list[str] | None,
        typer.Option(help="Repeatable; one of " + ", ".join(tokenruns.PATTERNS)),
    ] = None,
    policy: typing.Annotated[
        list[str] | None,
        typer.Option(help="Repeatable; one of " + ", ".join(tokenruns.POLICIES)),
    ] = None,
    seeds: typing.Annotated[int, typer.Option(help="Runs per row")] = 3,
    first_seed: typing.Annotated[int, typer.Option(help="The first seed")] = 1,
) -> None:
    """Compare policies of balancers without flow state, medians over the seeds."""
    _find_choice(tokenruns.PATTERNS, pattern, "--pattern")
    _find_choice(tokenruns.POLICIES, policy, "--policy")
    rows = [
        tokenruns.run_seeds(
            pattern_name, policy_name, range(first_seed, first_seed + seeds)
        )
        for pattern_name in pattern or tokenruns.PATTERNS
        for policy_name in policy or tokenruns.POLICIES
    ]
    typer.echo(f"Seeds {first_seed} to {first_seed + seeds - 1}\n")
    typer.echo(tokenruns.format_outcomes(rows))


T = typing.TypeVar("T")


def _find_choice(
    choices: dict[str, T], names: list[str] | None, option: str
) -> list[T]:
    unknown = [name for name in names or [] if name not in choices]
    if unknown:
        allowed = ", ".join(choices)
        raise typer.BadParameter(
            f"{unknown[0]!r} is not one of {allowed}", param_hint=option
        )
    return [choices[name] for name in names or choices]


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
