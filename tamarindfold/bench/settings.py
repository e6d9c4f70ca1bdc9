"""Reads the settings by the names that the simulator's first message and the platform give them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from tamarindfold.interface import Effect, Group, Plan, RequestClass, Settings


class SettingsError(ValueError):
    """A setting is missing or malformed; the text names the setting and the reason."""


_EFFECTS = {"pure": Effect.SAFE, "token": Effect.KEYED, "side_effect": Effect.UNSAFE}


def enum_member(enumeration: Callable[[Any], Any], value: Any, name: str) -> Any:
    """The member of an enumeration with this value; SettingsError if there is none."""
    try:
        return enumeration(value)
    except ValueError:
        raise SettingsError(f"{name}: {value!r} is unknown") from None


class Reader:
    """Typed access to settings by path; SettingsError for a missing or malformed value."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values

    def text(self, key: str, default: str | None = None) -> str:
        value = self.values.get(key, default)
        if value is None:
            raise SettingsError(f"settings: {key} is missing")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        value = self.text(key, None if default is None else str(default))
        try:
            return float(value)
        except ValueError:
            raise SettingsError(f"settings: {key}: {value!r} is not a number") from None

    def integer(self, key: str, default: int | None = None) -> int:
        value = self.number(key, default)
        if not value.is_integer():
            raise SettingsError(f"settings: {key}: {value!r} is not a whole number")
        return int(value)

    def boolean(self, key: str) -> bool:
        """A missing value is false."""
        value = self.text(key, "false")
        if value not in ("true", "false"):
            raise SettingsError(f"settings: {key}: {value!r} is neither true nor false")
        return value == "true"

    def item_prefixes(self, key: str) -> list[str]:
        """The key prefix of each item of a list."""
        return [f"{key}.{i}." for i in range(self.integer(f"{key}.count"))]


def parse_settings(text: str) -> Settings:
    """Read settings from text with one `path=value` a line."""
    values: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        key, equals, value = line.partition("=")
        if not equals:
            raise SettingsError(f"settings line {number}: no '=' in {line[:40]!r}")
        values[key] = value
    return read_settings(Reader(values))


def read_settings(r: Reader) -> Settings:
    """The settings for one gateway; unknown keys are ignored."""
    classes = []
    for c in r.item_prefixes("categories"):
        effect = r.text(c + "idempotency")
        if effect not in _EFFECTS:
            raise SettingsError(f"settings: {c}idempotency: {effect!r} is unknown")
        classes.append(
            RequestClass(
                r.number(c + "aim"),
                r.number(c + "hard_limit"),
                r.number(c + "points"),
                _EFFECTS[effect],
                enum_member(Group, r.text(c + "group", "all"), f"settings: {c}group"),
                r.number(c + "dedup_window", 0),
                r.number(c + "late_worth", 0),
                r.text(c + "name", ""),
            )
        )
    plans = [
        Plan(
            r.number(p + "per_second"),
            r.number(p + "peak_units"),
            r.integer(p + "at_once", 0),
            r.number(p + "price", 1),
            r.number(p + "over_worth", 0),
            r.number(p + "excess_cost", 0),
            r.number(p + "cap_rate", 0),
            r.number(p + "ceiling_burst", 0),
            r.number(p + "tolerance", 0),
            r.text(p + "name", ""),
        )
        for p in r.item_prefixes("plans")
    ]
    report_fields = r.text("telemetry.via", "off") != "off" and r.text("telemetry.fields", "")
    return Settings(
        gateways=r.integer("balancers"),
        index=r.integer("index"),
        classes=tuple(classes),
        plans=tuple(plans),
        max_attempts=r.integer("permissions.most_tries"),
        start_capacity=r.number("safety.start_capacity"),
        cold_ms=r.number("safety.cold"),
        fall_multiple=r.number("safety.fall_multiple"),
        overload_ms=r.number("safety.overload_for"),
        drain_grace_ms=r.number("safety.stop_sending_within"),
        answer_grace_ms=r.number("safety.grace_to_answer", 0),
        zone=r.integer("locality", 0),
        tick_ms=r.number("quantum", 1),
        most_units=r.number("extra.units_top", 1),
        marks_retry=r.boolean("clients.marks_retry"),
        retry_after=r.boolean("permissions.retry_after"),
        max_retry_after_ms=r.number("permissions.max_retry_after", 0),
        second_copies=r.boolean("permissions.parallel_tries"),
        cancel=r.boolean("permissions.cancel"),
        probes=r.boolean("permissions.probes"),
        peers=r.boolean("permissions.may_tell"),
        peer_in_per_s=r.number("extra.peer_intake", 0),
        counter=r.boolean("extra.has_counter"),
        counter_timeout_ms=r.number("extra.count_wait", 0),
        counter_price=r.number("extra.counter_price", 0),
        meter_ms=r.number("extra.meter", 0),
        settled_after=r.boolean("extra.cost_after"),
        report_fields=tuple(report_fields.split(",")) if report_fields else (),
    )
