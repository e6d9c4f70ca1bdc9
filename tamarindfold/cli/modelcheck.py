"""`modelcheck` runs the production objects through many orders of events and checks their invariants."""

from __future__ import annotations

import os
import sys

import click


@click.group(name="modelcheck")
def group() -> None:
    """Check the production objects by exhaustive search within bounds, random walks and planted faults."""


@group.command()
@click.option("--json", "as_json", is_flag=True, help="Print all figures as JSON.")
@click.option(
    "--scale",
    type=click.FloatRange(min=0.001),
    default=1.0,
    show_default=True,
    help="Amount of work; 1 takes about a minute on eight cores.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--workers",
    type=click.IntRange(min=1),
    default=lambda: os.cpu_count() or 1,
    help="Number of processes; by default one per core.",
)
def agreement(as_json: bool, scale: float, seed: int, workers: int) -> None:
    """Check keepers, leases, shares and versions.

    Exit code 0: no invariant was violated, and every planted fault was detected; 1 otherwise.
    """
    import msgspec

    from tamarindfold.modelcheck.agreement import check

    result = check(scale, seed, workers)
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(result), indent=2).decode())
    else:
        click.echo(
            f"{result['model_states']} states, {result['model_moves']} moves, "
            f"{result['model_states_per_s']} per second and core; searched completely: "
            f"{', '.join(result['searched_whole']) or 'none'}"
        )
        click.echo(
            f"planted faults detected: {result['planted_found']} of {result['planted']}"
            + "".join(f"; missed: {name}" for name in result["missed"])
        )
        for name, violation in result["broken"].items():
            click.echo(f"VIOLATION in {name}: {violation['what']}")
            for move in violation["trace"]:
                click.echo(f"  {move}")
    sys.exit(0 if result["passed"] else 1)
