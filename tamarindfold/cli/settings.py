"""`settings`: the agreed settings, for a person."""

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

WAIT_S = 30.0
LOOK_S = 0.2


@click.group(name="settings")
@click.option("--keepers", envvar="TAMARINDFOLD_KEEPERS", default="", help="HOST:PORT of each, with commas.")
@click.option(
    "--key",
    envvar="TAMARINDFOLD_KEY",
    type=click.Path(path_type=Path),
    default=None,
    help="The fleet's signing key.",
)
@click.pass_context
def group(context: click.Context, keepers: str, key: Path | None) -> None:
    """Propose, look at and follow the settings that all instances agree on."""
    context.obj = keepers, key


def _operator(context: click.Context) -> Any:
    from tamarindfold.agreement.operator_client import OperatorClient
    from tamarindfold.identity.files import signing_key

    keepers, key = context.obj
    if not keepers or key is None:
        raise ConfigError("settings: --keepers and --key are needed (or TAMARINDFOLD_KEEPERS and _KEY)")
    try:
        return OperatorClient([split_address(k, "--keepers") for k in keepers.split(",")], signing_key(key))
    except (OSError, ValueError) as error:
        raise ConfigError(f"settings: {error}") from error


def _look(operator: Any) -> Any:
    from tamarindfold.agreement.operator_client import NoAnswer
    from tamarindfold.agreement.state import decode

    try:
        look = operator.status()
    except NoAnswer as error:
        raise ConfigError(f"settings: {error}") from error
    return look, decode(look.state)


def _tell(operator: Any, what: Any) -> Any:
    from tamarindfold.agreement.operator_client import NoAnswer

    try:
        return operator.send(what, WAIT_S)
    except NoAnswer as error:
        click.echo(f"unknown: {error}", err=True)
        sys.exit(3)


def _document(state: Any, version: int | None) -> Any:
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
@click.option("--if-missing", is_flag=True, help="Leave keys that are there as they are.")
def keys(path: Path, if_missing: bool) -> None:
    """Make the fleet's signing key PATH.key, for keepers and operators, and PATH.pub, for instances."""
    from tamarindfold.identity.files import create_key_pair, private_path, public_path

    if if_missing and private_path(path).exists() and public_path(path).exists():
        click.echo(f"{private_path(path)} and {public_path(path)} are there")
        return
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        create_key_pair(path)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    click.echo(f"{private_path(path)} and {public_path(path)}")


@group.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--reason", required=True, help="Why; stands in the history.")
@click.option("--author", default=getpass.getuser, help="Who; the user's name where not given.")
@click.option("--base", type=int, help="The version it was made from; the newest where not given.")
@click.option("--first", multiple=True, help="An instance that is to have it before the others; repeat.")
@click.option("--wait", is_flag=True, help="Until it is in force, telling who holds it up.")
@click.option(
    "--within", type=click.FloatRange(min=0.1), default=60.0, show_default=True, help="Seconds to --wait."
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
    """Propose FILE as the next version. Exit 0: taken (with --wait: in force); 1: not; 3: nobody knows."""
    from tamarindfold.agreement import wire
    from tamarindfold.agreement.document import Document, check

    document = load(file, Document, check)
    operator = _operator(context)
    if base is None:
        base = _look(operator)[1].newest
    told = _tell(operator, wire.Proposal(document, base, author, reason, uuid.uuid4().hex, first))
    if not told.version:
        click.echo(f"refused: {file}: {told.reason}", err=True)
        sys.exit(1)
    click.echo(f"version {told.version} proposed")
    if wait:
        sys.exit(_follow(operator, told.version, within))


def _follow(operator: Any, version: int, seconds: float) -> int:
    until, said = time.monotonic() + seconds, ""
    while time.monotonic() < until:
        look, state = _look(operator)
        note = next((n for n in state.history if n.version == version), None)
        if note is not None and note.status != "pending":
            click.echo(f"version {version} {note.status}")
            return 0 if note.status.startswith("in force") else 1
        if look.waits_for and look.waits_for != said:
            said = look.waits_for
            click.echo(f"  {said}")
        time.sleep(LOOK_S)
    click.echo(f"version {version} is not in force yet: {said or 'no leader answers'}", err=True)
    return 1


@group.command()
@click.option("--version", type=int, help="Not the one in force but this.")
@click.pass_context
def show(context: click.Context, version: int | None) -> None:
    """Print a version as YAML."""
    import msgspec

    _, state = _look(_operator(context))
    click.echo(msgspec.yaml.encode(_document(state, version)).decode(), nl=False)


@group.command()
@click.argument("old", type=int)
@click.argument("new", type=int)
@click.pass_context
def diff(context: click.Context, old: int, new: int) -> None:
    """What version NEW changes of version OLD."""
    from tamarindfold.agreement.document import differences

    _, state = _look(_operator(context))
    for line in differences(_document(state, old), _document(state, new)):
        click.echo(line)


@group.command()
@click.pass_context
def history(context: click.Context) -> None:
    """All versions: number, log entry, when, who, why, what became of it."""
    _, state = _look(_operator(context))
    for note in state.history:
        at = datetime.fromtimestamp(note.at_ms / 1000, UTC).isoformat(timespec="seconds")
        click.echo(
            f"{note.version:5}  entry {note.number:<6} {at}  {note.author}: {note.reason}  [{note.status}]"
        )
    click.echo(f"chain {state.chain.hex()} at entry {state.number}")


@group.command()
@click.pass_context
def who(context: click.Context) -> None:
    """Each instance with its place, what it has taken up, its lease, and when it was last heard."""
    look, state = _look(_operator(context))
    reports = {report.incarnation: report for report in look.reports}
    click.echo(
        f"version {state.version} in force, entry {state.number}, leader keeper {look.leader}, "
        f"a share is {state.share:.4f} of each sum"
    )
    for member in sorted(state.members.values(), key=lambda m: m.index):
        report = reports.get(member.incarnation)
        heard = (
            f"knows entry {report.number}, led for {report.lease_remaining_ms:.0f} ms more, heard "
            f"{report.age_ms:.0f} ms ago"
            if report is not None
            else "not heard by this keeper"
        )
        cannot = (
            f", cannot apply {report.ready_version}: {report.apply_error}"
            if report and report.apply_error
            else ""
        )
        click.echo(
            f"  {member.index:3}  {member.name}  place {member.number}"
            f"{'' if member.active else ' (not settled)'}: {heard}{cannot}"
        )
    for held in sorted(state.held.values(), key=lambda h: h.name):
        click.echo(f"    -  {held.name}  away since entry {held.number}, may act on {held.share:.4f}")
    if look.waits_for:
        click.echo(f"  on its way: version {state.queue[0].version}: {look.waits_for}")


def _command(context: click.Context, what: str, done: str, version: int = 0, name: str = "") -> None:
    from tamarindfold.agreement import wire

    told = _tell(_operator(context), wire.OperatorCommand(what, version, name, getpass.getuser()))
    if not told.version:
        click.echo(f"refused: {told.reason}", err=True)
        sys.exit(1)
    click.echo(done.format(told.version))


@group.command()
@click.argument("version", type=int)
@click.pass_context
def force(context: click.Context, version: int) -> None:
    """Put a version in force that instances refused or are slow to take; who can't apply it has no lease."""
    _command(context, "force", "put in force as version {}", version)


@group.command()
@click.argument("version", type=int)
@click.pass_context
def widen(context: click.Context, version: int) -> None:
    """Let a version go on from the instances that had it first to all."""
    _command(context, "widen", f"version {version} goes to all", version)


@group.command()
@click.argument("version", type=int)
@click.pass_context
def drop(context: click.Context, version: int) -> None:
    """Take back a version that nobody acts on yet."""
    _command(context, "drop", f"version {version} is dropped", version)


@group.command()
@click.argument("name")
@click.pass_context
def retire(context: click.Context, name: str) -> None:
    """Say that an instance which is away is gone for good: its share goes to the others."""
    _command(context, "retire", f"{name} is retired", 0, name)
