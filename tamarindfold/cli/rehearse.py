"""`rehearse` runs and judges scenarios, `judge` judges a run again, `compare` compares two runs."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Any

import click

from tamarindfold.config.load import ConfigError, load

OVERHEAD_S = 12.0  # estimated time to start, stop and judge a scenario, in addition to its own duration
PATH = click.Path(path_type=Path)


@click.command()
@click.argument("file", type=PATH, required=False)
@click.option(
    "--all",
    "folder",
    type=click.Path(path_type=Path, file_okay=False),
    help="Run every scenario (*.yaml) of a folder.",
)
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    default=None,
    help="Folder for ledgers, logs, report.json and report.html; by default out/NAME.",
)
@click.option(
    "--within",
    type=click.FloatRange(min=1),
    default=600.0,
    show_default=True,
    help="Seconds that --all may take; if the scenarios are estimated to take longer, none is started.",
)
@click.option("--quiet", is_flag=True, help="Print only the verdict.")
def rehearse(file: Path | None, folder: Path | None, out: Path | None, within: float, quiet: bool) -> None:
    """Run a scenario, or a folder of them, on this machine and judge the result.

    Exit code 0: all rules were kept; 1: at least one was broken; 2: invalid input.
    """
    from tamarindfold.rehearsal.scenario import Scenario, check

    if (file is None) == (folder is None):
        raise click.UsageError("give either the file of a scenario or --all and a folder")
    if file is not None:
        scenario = load(file, Scenario, check)
        sys.exit(0 if _run(scenario, out or Path("out") / scenario.name, quiet)["passed"] else 1)
    assert folder is not None
    files = sorted(folder.glob("*.yaml"))
    if not files:
        raise ConfigError(f"{folder}: no scenarios (*.yaml)")
    scenarios = [load(path, Scenario, check) for path in files]
    estimated_s = sum(scenario.duration_ms / 1000 + OVERHEAD_S for scenario in scenarios)
    if estimated_s > within:
        raise ConfigError(
            f"{folder}: its {len(scenarios)} scenarios take about {estimated_s:.0f} s, over {within:g}"
        )
    started_at, verdicts = time.monotonic(), []
    for scenario in scenarios:
        passed = _run(scenario, (out or Path("out")) / scenario.name, quiet)["passed"]
        verdicts.append((scenario.name, passed))
    click.echo(f"{len(scenarios)} scenarios in {time.monotonic() - started_at:.0f} s")
    for name, passed in verdicts:
        click.echo(f"  {'pass' if passed else 'FAIL'}  {name}")
    sys.exit(0 if all(passed for _, passed in verdicts) else 1)


def _run(scenario: Any, folder: Path, quiet: bool) -> dict[str, Any]:
    from tamarindfold.rehearsal.processes import ProcessStartError
    from tamarindfold.rehearsal.run import run_scenario

    try:
        result = run_scenario(scenario, folder, (lambda _: None) if quiet else click.echo)
    except OSError as error:
        raise ConfigError(f"{folder}: {error}") from error
    except ProcessStartError as error:
        raise ConfigError(str(error)) from error
    _print_report(result, folder)
    return result


@click.command()
@click.argument("file", type=PATH)
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
def judge(file: Path, folder: Path) -> None:
    """Judge an earlier run again, from the ledgers in its folder. FILE is the scenario of that run."""
    from tamarindfold.rehearsal.run import judge_run
    from tamarindfold.rehearsal.scenario import Scenario, check

    try:
        result = judge_run(load(file, Scenario, check), folder)
    except ConfigError:
        raise
    except (OSError, ValueError) as error:
        raise ConfigError(f"{folder}: {error}") from error
    _print_report(result, folder)
    sys.exit(0 if result["passed"] else 1)


@click.command()
@click.argument("one", type=click.Path(path_type=Path, file_okay=False))
@click.argument("other", type=click.Path(path_type=Path, file_okay=False))
def compare(one: Path, other: Path) -> None:
    """Compare two runs: name, both values and their ratio of each figure that differs."""
    import msgspec

    from tamarindfold.rehearsal import html_report

    reports = []
    for folder in (one, other):
        try:
            reports.append(msgspec.json.decode((folder / "report.json").read_bytes(), type=dict[str, Any]))
        except (OSError, msgspec.MsgspecError) as error:
            raise ConfigError(f"{folder}: report.json: {error}") from error
    for line in html_report.compare_reports(*reports):
        click.echo(line)


def _print_report(result: dict[str, Any], folder: Path) -> None:
    from tamarindfold.rehearsal import report

    for line in report.format_lines(result):
        click.echo(line)
    click.echo(f"  report: {folder / 'report.html'}")
