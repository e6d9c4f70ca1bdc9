"""`settings`: operator commands for the settings that the keepers agree on."""

from __future__ import annotations

import getpass
import sys
import time
import uuid
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click

from tamarindfold.config.addresses import split_address
from tamarindfold.config.load import ConfigError, load

REQUEST_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.2


@click.group(name="settings")
@click.option(
    "--keepers",
    envvar="TAMARINDFOLD_KEEPERS",
    default="",
    help="HOST:PORT of each keeper, separated by commas.",
)
@click.option(
    "--key",
    envvar="TAMARINDFOLD_KEY",
    type=click.Path(path_type=Path),
    default=None,
    help="The fleet's signing key.",
)
@click.pass_context
def group(context: click.Context, keepers: str, key: Path | None) -> None:
    """Propose, inspect and roll out the settings that all instances share."""
    context.obj = keepers, key


def _operator_client(context: click.Context) -> Any:
    from tamarindfold.agreement.operator_client import OperatorClient
    from tamarindfold.identity.files import signing_key

    keepers, key = context.obj
    if not keepers or key is None:
        raise ConfigError(
            "settings: --keepers and --key are needed (or set TAMARINDFOLD_KEEPERS and TAMARINDFOLD_KEY)"
        )
    try:
        return OperatorClient([split_address(k, "--keepers") for k in keepers.split(",")], signing_key(key))
    except (OSError, ValueError) as error:
        raise ConfigError(f"settings: {error}") from error


def _read_status(operator: Any) -> Any:
    """The most recent status that a keeper gives, and the decoded state that it contains."""
    from tamarindfold.agreement.operator_client import NoAnswer
    from tamarindfold.agreement.state import decode

    try:
        status = operator.status()
    except NoAnswer as error:
        raise ConfigError(f"settings: {error}") from error
    return status, decode(status.state)


def _send(operator: Any, request: Any) -> Any:
    """Send a request to the leader; exits with code 3 if its result stays unknown."""
    from tamarindfold.agreement.operator_client import NoAnswer

    try:
        return operator.send(request, REQUEST_TIMEOUT_S)
    except NoAnswer as error:
        click.echo(f"unknown: {error}", err=True)
        sys.exit(3)


def _find_document(state: Any, version: int | None) -> Any:
    """The document of a version that is stored or pending; by default, of the version in force."""
    wanted = state.version if version is None else version
    pending = {p.version: p.document for p in state.queue}
    found = state.documents.get(wanted) or pending.get(wanted)
    if found is None:
        raise ConfigError(
            f"settings: version {wanted} is not kept; there are "
            f"{', '.join(map(str, sorted(state.documents | pending))) or 'none'}"
        )
    return found


@group.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--if-missing", is_flag=True, help="Do nothing if the keys already exist.")
def keys(path: Path, if_missing: bool) -> None:
    """Create the fleet's key pair: PATH.key for keepers and operators, PATH.pub for instances."""
    from tamarindfold.identity.files import create_key_pair, private_path, public_path

    if if_missing and private_path(path).exists() and public_path(path).exists():
        click.echo(f"{private_path(path)} and {public_path(path)} already exist")
        return
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        create_key_pair(path)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    click.echo(f"{private_path(path)} and {public_path(path)}")


@group.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--reason", required=True, help="Reason for the change; kept in the history.")
@click.option(
    "--author", default=getpass.getuser, help="Author of the change; by default the name of the current user."
)
@click.option("--base", type=int, help="Version that FILE is based on; by default the newest.")
@click.option(
    "--first", multiple=True, help="Instance that applies the version before the others; may be repeated."
)
@click.option("--wait", is_flag=True, help="Wait until the version is in force, and print what delays it.")
@click.option(
    "--within",
    type=click.FloatRange(min=0.1),
    default=60.0,
    show_default=True,
    help="Seconds that --wait may take.",
)
@click.pass_context
def propose(
    context: click.Context,
    file: Path,
    reason: str,
    author: str,
    base: int | None,
    first: tuple[str, ...],
    wait: bool,
    within: float,
) -> None:
    """Propose FILE as the next version of the settings.

    Exit code 0: accepted (with --wait: in force); 1: refused (with --wait: not in force); 3: unknown.
    """
    from tamarindfold.agreement import wire
    from tamarindfold.agreement.document import Document, check

    document = load(file, Document, check)
    operator = _operator_client(context)
    if base is None:
        base = _read_status(operator)[1].newest
    reply = _send(operator, wire.Proposal(document, base, author, reason, uuid.uuid4().hex, first))
    if not reply.version:
        click.echo(f"refused: {file}: {reply.reason}", err=True)
        sys.exit(1)
    click.echo(f"version {reply.version} proposed")
    if wait:
        sys.exit(_wait_until_in_force(operator, reply.version, within))


def _wait_until_in_force(operator: Any, version: int, seconds: float) -> int:
    """Wait for the version and print what delays it; returns the exit code."""
    deadline, last_obstacle = time.monotonic() + seconds, ""
    while time.monotonic() < deadline:
        status, state = _read_status(operator)
        record = next((r for r in state.history if r.version == version), None)
        if record is not None and record.status != "pending":
            click.echo(f"version {version} {record.status}")
            return 0 if record.status.startswith("in force") else 1
        if status.waits_for and status.waits_for != last_obstacle:
            last_obstacle = status.waits_for
            click.echo(f"  {last_obstacle}")
        time.sleep(POLL_INTERVAL_S)
    click.echo(f"version {version} is not in force yet: {last_obstacle or 'no leader answers'}", err=True)
    return 1


@group.command()
@click.option("--version", type=int, help="Version to print; by default the one in force.")
@click.pass_context
def show(context: click.Context, version: int | None) -> None:
    """Print a version of the settings as YAML."""
    import msgspec

    _, state = _read_status(_operator_client(context))
    click.echo(msgspec.yaml.encode(_find_document(state, version)).decode(), nl=False)


@group.command()
@click.argument("old", type=int)
@click.argument("new", type=int)
@click.pass_context
def diff(context: click.Context, old: int, new: int) -> None:
    """Print the differences between the versions OLD and NEW."""
    from tamarindfold.agreement.document import differences

    _, state = _read_status(_operator_client(context))
    for line in differences(_find_document(state, old), _find_document(state, new)):
        click.echo(line)


@group.command()
@click.pass_context
def history(context: click.Context) -> None:
    """List all versions: number, log entry, time, author, reason and status."""
    _, state = _read_status(_operator_client(context))
    for record in state.history:
        at = datetime.fromtimestamp(record.at_ms / 1000, UTC).isoformat(timespec="seconds")
        click.echo(
            f"{record.version:5}  entry {record.number:<6} {at}  "
            f"{record.author}: {record.reason}  [{record.status}]"
        )
    click.echo(f"chain {state.chain.hex()} at entry {state.number}")


@group.command()
@click.pass_context
def who(context: click.Context) -> None:
    """List all instances: index, known log entry, lease, and time of the last report."""
    status, state = _read_status(_operator_client(context))
    reports = {report.incarnation: report for report in status.reports}
    click.echo(
        f"version {state.version} in force, entry {state.number}, leader keeper {status.leader}, "
        f"share of each instance {state.share:.4f}"
    )
    for member in sorted(state.members.values(), key=lambda m: m.index):
        report = reports.get(member.incarnation)
        reported = (
            f"knows entry {report.number}, lease for {report.lease_remaining_ms:.0f} ms, reported "
            f"{report.age_ms:.0f} ms ago"
            if report is not None
            else "no report to this keeper"
        )
        obstacle = (
            f", cannot apply version {report.ready_version}: {report.apply_error}"
            if report and report.apply_error
            else ""
        )
        click.echo(
            f"  {member.index:3}  {member.name}  joined at entry {member.number}"
            f"{'' if member.active else ' (not active yet)'}: {reported}{obstacle}"
        )
    for lost in sorted(state.held.values(), key=lambda held: held.name):
        click.echo(
            f"    -  {lost.name}  lost since entry {lost.number}, may still use share {lost.share:.4f}"
        )
    if status.waits_for:
        click.echo(f"  pending: version {state.queue[0].version}: {status.waits_for}")


def _command(context: click.Context, command: str, success: str, version: int = 0, name: str = "") -> None:
    from tamarindfold.agreement import wire

    reply = _send(_operator_client(context), wire.OperatorCommand(command, version, name, getpass.getuser()))
    if not reply.version:
        click.echo(f"refused: {reply.reason}", err=True)
        sys.exit(1)
    click.echo(success.format(reply.version))


@group.command()
@click.argument("version", type=int)
@click.pass_context
def force(context: click.Context, version: int) -> None:
    """Put a version in force although instances refuse it or have not applied it yet.

    An instance that cannot apply it gets no lease.
    """
    _command(context, "force", "put in force as version {}", version)


@group.command()
@click.argument("version", type=int)
@click.pass_context
def widen(context: click.Context, version: int) -> None:
    """Roll a version out to all instances, after those that had it first."""
    _command(context, "widen", f"version {version} is rolled out to all instances", version)


@group.command()
@click.argument("version", type=int)
@click.pass_context
def drop(context: click.Context, version: int) -> None:
    """Drop a version that no instance uses yet."""
    _command(context, "drop", f"version {version} is dropped", version)


@group.command()
@click.argument("name")
@click.pass_context
def retire(context: click.Context, name: str) -> None:
    """Remove a lost instance permanently; its share goes to the others."""
    _command(context, "retire", f"{name} is retired", 0, name)
