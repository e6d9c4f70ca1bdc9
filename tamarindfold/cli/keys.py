"""`keys`: customers, plans and credentials, straight on the store's file."""

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

LEAD = "2s"  # a change at a stated instant reaches all gateways before it is in force
_SPAN = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h|d)")
_UNITS = {"ms": 1.0, "s": 1e3, "m": 6e4, "h": 3.6e6, "d": 8.64e7}


class Instant(click.ParamType):  # type: ignore[type-arg]
    """A span from now (2s, 15m, 30d) or an ISO 8601 time with its zone; given as milliseconds since 1970."""

    name = "when"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> float:
        """Milliseconds since the epoch."""
        if (span := _SPAN.fullmatch(str(value))) is not None:
            return time.time() * 1000 + float(span[1]) * _UNITS[span[2]]
        try:
            at = datetime.fromisoformat(str(value))
        except ValueError:
            self.fail(f"{value!r} is neither a span such as 15m nor an ISO 8601 time", param, ctx)
        if at.tzinfo is None:
            self.fail(f"{value!r} has no time zone", param, ctx)
        return at.timestamp() * 1000


def _time(at_ms: float) -> str:
    if at_ms == NEVER:
        return "never"
    return datetime.fromtimestamp(at_ms / 1000, UTC).isoformat(timespec="seconds")


def _plan(text: str) -> tuple[str, int]:
    name, at, version = text.rpartition("@")
    if not at or not version.isdecimal():
        raise ConfigError(f"plan {text!r}: give it as NAME@VERSION")
    return name, int(version)


def _opened(context: click.Context) -> Store:
    try:
        return Store(context.obj)
    except StoreError as error:
        raise ConfigError(str(error)) from error


def _commit(context: click.Context, make: Callable[[Store], Sequence[AnyChange]]) -> None:
    """Commit changes and say the version; the earliest they can be in force is now."""
    store = _opened(context)
    try:
        version = store.commit(make(store), time.time() * 1000)
    except (InvalidChange, StoreError) as error:
        raise ConfigError(str(error)) from error
    finally:
        store.close()
    click.echo(f"version {version}")


@click.group(name="keys")
@click.option("--store", type=click.Path(path_type=Path), required=True, help="The store's file.")
@click.pass_context
def group(context: click.Context, store: Path) -> None:
    """Customers, plans and the credentials that stand for them."""
    context.obj = store


@group.command()
@click.pass_obj
def init(store: Path) -> None:
    """Make a store, its signing key and its pepper."""
    if store.exists():
        raise ConfigError(f"{store}: is there already")
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
@click.option("--rate", type=float, required=True, help="Units a second; 0: no quota.")
@click.option("--burst", type=float, required=True, help="Units.")
@click.option("--ceiling-rate", type=float, default=0.0)
@click.option("--ceiling-burst", type=float, default=0.0)
@click.option("--ceiling-slack", type=float, default=0.0)
@click.option("--price", type=float, default=1.0)
@click.option("--move-all", is_flag=True, help="Move every customer on another version of it.")
@click.option("--at", type=Instant(), default=LEAD, show_default=True, help="When those move.")
@click.pass_context
def plan(context: click.Context, /, name: str, move_all: bool, at: float, **figures: float) -> None:
    """Define a plan, or a new version of one."""

    def make(store: Store) -> list[AnyChange]:
        state = store.history.state
        known = [row for row in state.plans if row.plan == name]
        changes: list[AnyChange] = [DefinePlan(name, msgspec.convert(figures, PlanFigures))]
        places = {state.plan_indexes[row.plan, row.version] for row in known}
        if move_all:
            changes += [
                SetPlan(row.name, name, len(known) + 1, at)
                for row in state.customers_by_number
                if row.plan_at(at) in places
            ]
        return changes

    _commit(context, make)


@group.command("add-customer")
@click.argument("name")
@click.option("--plan", "plan_text", required=True, help="NAME@VERSION")
@click.option("--network", "networks", multiple=True, help="Where its stores call from (CIDR).")
@click.pass_context
def add_customer(context: click.Context, name: str, plan_text: str, networks: tuple[str, ...]) -> None:
    """Add a customer."""
    plan_name, version = _plan(plan_text)
    _commit(context, lambda _: [AddCustomer(name, plan_name, version, networks)])


@group.command("set-networks")
@click.argument("customer")
@click.argument("networks", nargs=-1)
@click.pass_context
def set_networks(context: click.Context, customer: str, networks: tuple[str, ...]) -> None:
    """Say where a customer's stores call from; the audit goes by it."""
    _commit(context, lambda _: [SetNetworks(customer, networks)])


@group.command("set-plan")
@click.argument("customer")
@click.argument("plan_text", metavar="PLAN@VERSION")
@click.option("--at", type=Instant(), default=LEAD, show_default=True)
@click.pass_context
def set_plan(context: click.Context, customer: str, plan_text: str, at: float) -> None:
    """Put a customer on a version of a plan from an instant on."""
    name, version = _plan(plan_text)
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
@click.option("--client", default="", help="An OAuth client id, as introspection names it; no key is made.")
@click.option("--from", "from_ms", type=Instant(), default=None, help="Good from then on; at once by itself.")
@click.option("--note", default="")
@click.pass_context
def issue(context: click.Context, customer: str, client: str, from_ms: float | None, note: str) -> None:
    """Issue an API key, which is shown this once, or register an OAuth client."""
    if client:
        name, digest = keys.hash_client_id(client)
        made = Issue(client, "client", name, digest, customer, from_ms or 0.0, note)
        return _commit(context, lambda _: [made])
    change, text = _new_key(context.obj, customer, from_ms or 0.0, note)
    _commit(context, lambda _: [change])
    click.echo(text)
    return None


@group.command()
@click.argument("credential")
@click.option("--overlap", type=Instant(), default="24h", show_default=True, help="Of the old one.")
@click.option("--note", default="")
@click.pass_context
def rotate(context: click.Context, credential: str, overlap: float, note: str) -> None:
    """Issue a new key for a key's customer and let the old one end after the overlap, in one commit."""
    text = ""

    def make(store: Store) -> list[AnyChange]:
        nonlocal text
        state = store.history.state
        row = state.credentials.get(credential)
        if row is None or row.kind != "key":
            raise InvalidChange(f"no key {credential}")
        owner = state.customers_by_number[row.customer_at(time.time() * 1000) - 1].name
        change, text = _new_key(context.obj, owner, 0.0, note or f"follows {credential}")
        return [change, Retire(credential, overlap)]

    _commit(context, make)
    click.echo(text)


@group.command()
@click.argument("credential")
@click.option("--reason", default="")
@click.pass_context
def revoke(context: click.Context, credential: str, reason: str) -> None:
    """Make a credential no good, at once."""
    _commit(context, lambda _: [Revoke(credential, time.time() * 1000, reason)])


@group.command()
@click.argument("credential")
@click.option("--at", type=Instant(), required=True)
@click.pass_context
def retire(context: click.Context, credential: str, at: float) -> None:
    """Let a credential end at an instant."""
    _commit(context, lambda _: [Retire(credential, at)])


@group.command()
@click.argument("credential")
@click.argument("customer")
@click.option("--at", type=Instant(), default=LEAD, show_default=True)
@click.pass_context
def move(context: click.Context, credential: str, customer: str, at: float) -> None:
    """Hand a credential over to another customer at an instant."""
    _commit(context, lambda _: [Move(credential, customer, at)])


@group.command()
@click.pass_context
def adopt(context: click.Context) -> None:
    """After a restore from a backup: this store's word counts, even where gateways have seen newer."""
    _commit(context, lambda store: [Adopt(store.history.state.epoch + 1)])


# ---- looking


@group.command("list")
@click.option("--customer", default="")
@click.pass_context
def list_(context: click.Context, customer: str) -> None:
    """Customers with their plans and credentials."""
    state, now = _opened(context).history.state, time.time() * 1000
    if customer and customer not in state.customers:
        raise ConfigError(f"no customer {customer}")
    for row in state.customers_by_number:
        if customer not in ("", row.name):
            continue
        plan_row = state.plans[row.plan_at(now)]
        coming = ""
        if now < row.change_at_ms < NEVER:
            later = state.plans[row.next_plan]
            coming = f", {later.plan}@{later.version} from {_time(row.change_at_ms)}"
        click.echo(f"{row.name}: {plan_row.plan}@{plan_row.version}{coming}")
        for held in state.credentials.values():
            if held.customer_at(now) == row.number:
                ends = f", ends {_time(held.ends_ms)}" if held.ends_ms < NEVER else ""
                click.echo(
                    f"  {held.kind} {held.credential}: {held.state_at(now)}{ends}"
                    f"{', ' + held.note if held.note else ''}"
                )


@group.command()
@click.option("--about", default="", help="Only entries that name this customer or credential.")
@click.pass_context
def history(context: click.Context, about: str) -> None:
    """The log, oldest first."""
    for version, at_ms, change in _opened(context).log():
        values = msgspec.to_builtins(change)
        values.pop("digest", None)
        if not about or about in map(str, values.values()):
            kind = values.pop("type")
            words = ", ".join(
                f"{name} {_time(value) if name.endswith('_ms') else value}"
                for name, value in values.items()
                if value != ""
            )
            click.echo(f"{version}  {_time(at_ms)}  {kind}: {words}")


@group.command()
@click.option("--json", "as_json", is_flag=True)
@click.pass_context
def audit(context: click.Context, as_json: bool) -> None:
    """Credentials whose use does not fit their customer; exit 1 where there are any."""
    from tamarindfold.identity.audit import audit as look

    store = _opened(context)
    found = look(store.history.state, store.log(), store.uses(), time.time() * 1000)
    if as_json:
        click.echo(msgspec.json.encode(found).decode())
    else:
        for finding in found:
            click.echo(f"{finding.kind} {finding.subject}: {msgspec.json.encode(finding.evidence).decode()}")
    context.exit(1 if found else 0)


# ---- export and import


@group.command("export")
@click.pass_context
def export(context: click.Context) -> None:
    """The log as YAML on standard output; it holds hashes, no keys."""
    entries = [
        {"at_ms": at_ms, "change": msgspec.to_builtins(change)} for _, at_ms, change in _opened(context).log()
    ]
    click.echo(msgspec.yaml.encode({"log": entries}).decode(), nl=False)


class Exported(msgspec.Struct, forbid_unknown_fields=True):
    """One entry of an export."""

    at_ms: float
    change: AnyChange


class Export(msgspec.Struct, forbid_unknown_fields=True):
    """A whole export."""

    log: list[Exported]


@group.command("import")
@click.argument("file", type=click.Path(path_type=Path))
@click.pass_context
def import_(context: click.Context, file: Path) -> None:
    """Bring an export into an empty store, all of it or nothing."""
    from tamarindfold.config.load import load

    entries = load(file, Export).log
    store = _opened(context)
    if store.history.state.version:
        raise ConfigError(f"{context.obj}: not empty")
    try:
        version = store.commit_entries([(entry.change, entry.at_ms) for entry in entries])
    except (InvalidChange, StoreError) as error:
        raise ConfigError(f"{file}: {error}") from error
    click.echo(f"version {version}")
