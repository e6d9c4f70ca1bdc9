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


def read_settings(reader: Reader) -> Settings:
    """The settings for one gateway; unknown keys are ignored."""
    classes = []
    for prefix in reader.item_prefixes("categories"):
        effect = reader.text(prefix + "idempotency")
        if effect not in _EFFECTS:
            raise SettingsError(f"settings: {prefix}idempotency: {effect!r} is unknown")
        classes.append(
            RequestClass(
                reader.number(prefix + "aim"),
                reader.number(prefix + "hard_limit"),
                reader.number(prefix + "points"),
                _EFFECTS[effect],
                enum_member(Group, reader.text(prefix + "group", "all"), f"settings: {prefix}group"),
                reader.number(prefix + "dedup_window", 0),
                reader.number(prefix + "late_worth", 0),
                reader.text(prefix + "name", ""),
            )
        )
    plans = [
        Plan(
            reader.number(prefix + "per_second"),
            reader.number(prefix + "peak_units"),
            reader.integer(prefix + "at_once", 0),
            reader.number(prefix + "price", 1),
            reader.number(prefix + "over_worth", 0),
            reader.number(prefix + "excess_cost", 0),
            reader.number(prefix + "cap_rate", 0),
            reader.number(prefix + "ceiling_burst", 0),
            reader.number(prefix + "tolerance", 0),
            reader.text(prefix + "name", ""),
        )
        for prefix in reader.item_prefixes("plans")
    ]
    report_fields = reader.text("telemetry.via", "off") != "off" and reader.text("telemetry.fields", "")
    return Settings(
        gateways=reader.integer("balancers"),
        index=reader.integer("index"),
        classes=tuple(classes),
        plans=tuple(plans),
        max_attempts=reader.integer("permissions.most_tries"),
        start_capacity=reader.number("safety.start_capacity"),
        cold_ms=reader.number("safety.cold"),
        fall_multiple=reader.number("safety.fall_multiple"),
        overload_ms=reader.number("safety.overload_for"),
        drain_grace_ms=reader.number("safety.stop_sending_within"),
        answer_grace_ms=reader.number("safety.grace_to_answer", 0),
        zone=reader.integer("locality", 0),
        tick_ms=reader.number("quantum", 1),
        most_units=reader.number("extra.units_top", 1),
        marks_retry=reader.boolean("clients.marks_retry"),
        retry_after=reader.boolean("permissions.retry_after"),
        max_retry_after_ms=reader.number("permissions.max_retry_after", 0),
        second_copies=reader.boolean("permissions.parallel_tries"),
        cancel=reader.boolean("permissions.cancel"),
        probes=reader.boolean("permissions.probes"),
        peers=reader.boolean("permissions.may_tell"),
        peer_in_per_s=reader.number("extra.peer_intake", 0),
        counter=reader.boolean("extra.has_counter"),
        counter_timeout_ms=reader.number("extra.count_wait", 0),
        counter_price=reader.number("extra.counter_price", 0),
        meter_ms=reader.number("extra.meter", 0),
        settled_after=reader.boolean("extra.cost_after"),
        report_fields=tuple(report_fields.split(",")) if report_fields else (),
    )
