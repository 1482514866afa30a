"""Run load experiments on the decision core and report measures."""

import typing

import typer

from pistachioshed.lab import deployments, measures, policies, report, scenarios

app = typer.Typer(add_completion=False, help=__doc__)


@app.command()
def run(
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
    chosen = _find_choice(deployments.DEPLOYMENTS, [deployment], "--deployment")[0]
    results = []
    for course in _find_choice(scenarios.SCENARIOS, scenario, "--scenario"):
        for name in policy or list(policies.POLICIES):
            build = _find_choice(policies.POLICIES, [name], "--policy")[0]
            result = measures.run_experiment(chosen, course, name, build, seed, seconds)
            results.append(result)
            if show_violations:
                typer.echo(f"{course.name}, {name}: drops {result.drops}", err=True)
                for violation in result.violations[:5]:
                    typer.echo(f"  {violation.rule}: {violation.detail}", err=True)
    typer.echo(f"Seed {seed}, {seconds:.0f} s of load, {chosen.name}\n")
    typer.echo(report.format_report(chosen, results))


T = typing.TypeVar("T")


def _find_choice(
    choices: dict[str, T], names: list[str] | None, option: str
) -> list[T]:
    unknown = [name for name in names or [] if name not in choices]
    if unknown:
        allowed = ", ".join(choices)
        raise typer.BadParameter(
            f"{unknown[0]!r} is none of {allowed}", param_hint=option
        )
    return [choices[name] for name in names or choices]


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
