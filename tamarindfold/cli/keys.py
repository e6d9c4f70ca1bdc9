"""`keys` manages customers, plans and credentials directly in the file of a registry store."""

from __future__ import annotations

import re
import time
from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
import msgspec

from tamarindfold.config.load import ConfigError
from tamarindfold.identity import files, keys
from tamarindfold.identity.model import (
    NEVER,
    AddCustomer,
    Adopt,
    AnyChange,
    DefinePlan,
    Issue,
    Move,
    PlanFigures,
    Retire,
    Revoke,
    SetNetworks,
    SetPlan,
)
from tamarindfold.identity.state import InvalidChange
from tamarindfold.identity.store import Store, StoreError

DEFAULT_DELAY = "2s"  # gives a change time to reach all gateways before it takes effect
_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h|d)")
_UNIT_MS = {"ms": 1.0, "s": 1e3, "m": 6e4, "h": 3.6e6, "d": 8.64e7}


class Instant(click.ParamType):  # type: ignore[type-arg]
    """A duration from now (2s, 15m, 30d) or an ISO 8601 time with time zone."""

    name = "when"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> float:
        """Convert to milliseconds since the epoch."""
        if (duration := _DURATION.fullmatch(str(value))) is not None:
            return time.time() * 1000 + float(duration[1]) * _UNIT_MS[duration[2]]
        try:
            at = datetime.fromisoformat(str(value))
        except ValueError:
            self.fail(f"{value!r} is neither a duration such as 15m nor an ISO 8601 time", param, ctx)
        if at.tzinfo is None:
            self.fail(f"{value!r} has no time zone", param, ctx)
        return at.timestamp() * 1000


def _format_time(at_ms: float) -> str:
    if at_ms == NEVER:
        return "never"
    return datetime.fromtimestamp(at_ms / 1000, UTC).isoformat(timespec="seconds")


def _parse_plan_version(text: str) -> tuple[str, int]:
    name, at, version = text.rpartition("@")
    if not at or not version.isdecimal():
        raise ConfigError(f"plan {text!r}: give it as NAME@VERSION")
    return name, int(version)


def _open_store(context: click.Context) -> Store:
    try:
        return Store(context.obj)
    except StoreError as error:
        raise ConfigError(str(error)) from error


def _commit(context: click.Context, make_changes: Callable[[Store], Sequence[AnyChange]]) -> None:
    """Commit the changes, which take effect no earlier than now, and print the new version."""
    store = _open_store(context)
    try:
        version = store.commit(make_changes(store), time.time() * 1000)
    except (InvalidChange, StoreError) as error:
        raise ConfigError(str(error)) from error
    finally:
        store.close()
    click.echo(f"version {version}")


@click.group(name="keys")
@click.option("--store", type=click.Path(path_type=Path), required=True, help="File of the store.")
@click.pass_context
def group(context: click.Context, store: Path) -> None:
    """Manage customers, plans and credentials."""
    context.obj = store


@group.command()
@click.pass_obj
def init(store: Path) -> None:
    """Create a store, its signing key and its pepper."""
    if store.exists():
        raise ConfigError(f"{store}: already exists")
    try:
        files.create_all(store)
        Store(store, create=True).close()
    except (OSError, StoreError) as error:
        raise ConfigError(str(error)) from error
    click.echo(
        f"{store}, {files.private_path(store).name}, {files.public_path(store).name}, "
        f"{files.pepper_path(store).name}"
    )


@group.command()
@click.argument("name")
@click.option("--rate", type=float, required=True, help="Units per second; 0: no quota.")
@click.option("--burst", type=float, required=True, help="Units.")
@click.option("--ceiling-rate", type=float, default=0.0)
@click.option("--ceiling-burst", type=float, default=0.0)
@click.option("--ceiling-slack", type=float, default=0.0)
@click.option("--price", type=float, default=1.0)
@click.option(
    "--move-all", is_flag=True, help="Move all customers on other versions of this plan to the new version."
)
@click.option(
    "--at", type=Instant(), default=DEFAULT_DELAY, show_default=True, help="When the customers move."
)
@click.pass_context
def plan(context: click.Context, /, name: str, move_all: bool, at: float, **figures: float) -> None:
    """Define a plan, or a new version of one."""

    def make_changes(store: Store) -> list[AnyChange]:
        state = store.history.state
        versions = [row for row in state.plans if row.plan == name]
        changes: list[AnyChange] = [DefinePlan(name, msgspec.convert(figures, PlanFigures))]
        known_indexes = {state.plan_indexes[row.plan, row.version] for row in versions}
        if move_all:
            changes += [
                SetPlan(row.name, name, len(versions) + 1, at)
                for row in state.customers_by_number
                if row.plan_at(at) in known_indexes
            ]
        return changes

    _commit(context, make_changes)


@group.command("add-customer")
@click.argument("name")
@click.option("--plan", "plan_text", required=True, help="NAME@VERSION")
@click.option(
    "--network",
    "networks",
    multiple=True,
    help="Network that the customer calls from (CIDR); may be repeated.",
)
@click.pass_context
def add_customer(context: click.Context, name: str, plan_text: str, networks: tuple[str, ...]) -> None:
    """Add a customer."""
    plan_name, version = _parse_plan_version(plan_text)
    _commit(context, lambda _: [AddCustomer(name, plan_name, version, networks)])


@group.command("set-networks")
@click.argument("customer")
@click.argument("networks", nargs=-1)
@click.pass_context
def set_networks(context: click.Context, customer: str, networks: tuple[str, ...]) -> None:
    """Set the networks that a customer calls from, which the audit checks."""
    _commit(context, lambda _: [SetNetworks(customer, networks)])


@group.command("set-plan")
@click.argument("customer")
@click.argument("plan_text", metavar="PLAN@VERSION")
@click.option("--at", type=Instant(), default=DEFAULT_DELAY, show_default=True)
@click.pass_context
def set_plan(context: click.Context, customer: str, plan_text: str, at: float) -> None:
    """Assign a version of a plan to a customer, from a given time on."""
    name, version = _parse_plan_version(plan_text)
    _commit(context, lambda _: [SetPlan(customer, name, version, at)])


def _new_key(store: Path, customer: str, from_ms: float, note: str) -> tuple[Issue, str]:
    name, text = keys.generate()
    try:
        pepper = files.pepper(files.pepper_path(store))
    except (OSError, ValueError) as error:
        raise ConfigError(f"pepper: {error}") from error
    digest = keys.digest(pepper, keys.parse(text)[1])
    return Issue(keys.label(name), "key", name, digest, customer, from_ms, note), text


@group.command()
@click.argument("customer")
@click.option(
    "--client", default="", help="OAuth client id, as returned by token introspection; no API key is created."
)
@click.option(
    "--from", "from_ms", type=Instant(), default=None, help="Valid from this time on; by default at once."
)
@click.option("--note", default="")
@click.pass_context
def issue(context: click.Context, customer: str, client: str, from_ms: float | None, note: str) -> None:
    """Issue an API key, which is printed only once, or register an OAuth client."""
    if client:
        name, digest = keys.hash_client_id(client)
        change = Issue(client, "client", name, digest, customer, from_ms or 0.0, note)
        return _commit(context, lambda _: [change])
    change, text = _new_key(context.obj, customer, from_ms or 0.0, note)
    _commit(context, lambda _: [change])
    click.echo(text)
    return None


@group.command()
@click.argument("credential")
@click.option(
    "--overlap", type=Instant(), default="24h", show_default=True, help="How long the old key stays valid."
)
@click.option("--note", default="")
@click.pass_context
def rotate(context: click.Context, credential: str, overlap: float, note: str) -> None:
    """Replace an API key: issue a new one, and let the old one expire after the overlap."""
    text = ""

    def make_changes(store: Store) -> list[AnyChange]:
        nonlocal text
        state = store.history.state
        row = state.credentials.get(credential)
        if row is None or row.kind != "key":
            raise InvalidChange(f"no key {credential}")
        owner = state.customers_by_number[row.customer_at(time.time() * 1000) - 1].name
        change, text = _new_key(context.obj, owner, 0.0, note or f"follows {credential}")
        return [change, Retire(credential, overlap)]

    _commit(context, make_changes)
    click.echo(text)


@group.command()
@click.argument("credential")
@click.option("--reason", default="")
@click.pass_context
def revoke(context: click.Context, credential: str, reason: str) -> None:
    """Revoke a credential immediately."""
    _commit(context, lambda _: [Revoke(credential, time.time() * 1000, reason)])


@group.command()
@click.argument("credential")
@click.option("--at", type=Instant(), required=True)
@click.pass_context
def retire(context: click.Context, credential: str, at: float) -> None:
    """Let a credential expire at a given time."""
    _commit(context, lambda _: [Retire(credential, at)])


@group.command()
@click.argument("credential")
@click.argument("customer")
@click.option("--at", type=Instant(), default=DEFAULT_DELAY, show_default=True)
@click.pass_context
def move(context: click.Context, credential: str, customer: str, at: float) -> None:
    """Transfer a credential to another customer at a given time."""
    _commit(context, lambda _: [Move(credential, customer, at)])


@group.command()
@click.pass_context
def adopt(context: click.Context) -> None:
    """After a restore from a backup, make gateways accept this store although they know newer versions."""
    _commit(context, lambda store: [Adopt(store.history.state.epoch + 1)])


# ---- queries


@group.command("list")
@click.option("--customer", default="")
@click.pass_context
def list_(context: click.Context, customer: str) -> None:
    """List customers with their plans and credentials."""
    state, now = _open_store(context).history.state, time.time() * 1000
    if customer and customer not in state.customers:
        raise ConfigError(f"no customer {customer}")
    for row in state.customers_by_number:
        if customer not in ("", row.name):
            continue
        plan_row = state.plans[row.plan_at(now)]
        next_plan = ""
        if now < row.change_at_ms < NEVER:
            later = state.plans[row.next_plan]
            next_plan = f", {later.plan}@{later.version} from {_format_time(row.change_at_ms)}"
        click.echo(f"{row.name}: {plan_row.plan}@{plan_row.version}{next_plan}")
        for credential in state.credentials.values():
            if credential.customer_at(now) == row.number:
                ends = f", ends {_format_time(credential.ends_ms)}" if credential.ends_ms < NEVER else ""
                click.echo(
                    f"  {credential.kind} {credential.credential}: {credential.state_at(now)}{ends}"
                    f"{', ' + credential.note if credential.note else ''}"
                )


@group.command()
@click.option("--about", default="", help="Print only entries that name this customer or credential.")
@click.pass_context
def history(context: click.Context, about: str) -> None:
    """Print the log of changes, oldest first."""
    for version, at_ms, change in _open_store(context).log():
        values = msgspec.to_builtins(change)
        values.pop("digest", None)
        if not about or about in map(str, values.values()):
            kind = values.pop("type")
            fields = ", ".join(
                f"{name} {_format_time(value) if name.endswith('_ms') else value}"
                for name, value in values.items()
                if value != ""
            )
            click.echo(f"{version}  {_format_time(at_ms)}  {kind}: {fields}")


@group.command()
@click.option("--json", "as_json", is_flag=True)
@click.pass_context
def audit(context: click.Context, as_json: bool) -> None:
    """Print credentials with suspicious use.

    Exit code 0: there are none; 1: there are some.
    """
    from tamarindfold.identity.audit import audit as find_suspicious_use

    store = _open_store(context)
    findings = find_suspicious_use(store.history.state, store.log(), store.uses(), time.time() * 1000)
    if as_json:
        click.echo(msgspec.json.encode(findings).decode())
    else:
        for finding in findings:
            click.echo(f"{finding.kind} {finding.subject}: {msgspec.json.encode(finding.evidence).decode()}")
    context.exit(1 if findings else 0)


# ---- export and import


@group.command("export")
@click.pass_context
def export(context: click.Context) -> None:
    """Write the log of changes as YAML to standard output; it contains hashes, but no keys."""
    entries = [
        {"at_ms": at_ms, "change": msgspec.to_builtins(change)}
        for _, at_ms, change in _open_store(context).log()
    ]
    click.echo(msgspec.yaml.encode({"log": entries}).decode(), nl=False)


class ExportedEntry(msgspec.Struct, forbid_unknown_fields=True):
    """One entry of the log."""

    at_ms: float
    change: AnyChange


class Export(msgspec.Struct, forbid_unknown_fields=True):
    """The content of an exported file."""

    log: list[ExportedEntry]


@group.command("import")
@click.argument("file", type=click.Path(path_type=Path))
@click.pass_context
def import_(context: click.Context, file: Path) -> None:
    """Import an exported log into an empty store, in one transaction."""
    from tamarindfold.config.load import load

    entries = load(file, Export).log
    store = _open_store(context)
    if store.history.state.version:
        raise ConfigError(f"{context.obj}: not empty")
    try:
        version = store.commit_entries([(entry.change, entry.at_ms) for entry in entries])
    except (InvalidChange, StoreError) as error:
        raise ConfigError(f"{file}: {error}") from error
    click.echo(f"version {version}")
