"""Reading a YAML file into a validated object; every fault is one line with file, path and reason."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import yaml

T = TypeVar("T")


class ConfigError(ValueError):
    """A file that cannot be used: the file, the place in it and the reason, in one line."""


class _UniqueKeys(yaml.SafeLoader):
    """The safe loader, but a key given twice is an error: the first would be lost without a word."""

    def construct_mapping(self, node: Any, deep: bool = False) -> dict[Any, Any]:
        seen: list[Any] = []
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if key in seen:
                raise yaml.MarkedYAMLError(
                    problem=f"key {key!r} is given twice", problem_mark=key_node.start_mark
                )
            seen.append(key)
        return super().construct_mapping(node, deep)


def read_yaml(path: Path) -> Any:
    """The plain values in a YAML file; ConfigError where it is missing or malformed."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8 text"
        raise ConfigError(f"{path}: {reason}") from error
    try:
        return yaml.load(text, _UniqueKeys)
    except yaml.MarkedYAMLError as error:
        line = f"line {error.problem_mark.line + 1}: " if error.problem_mark else ""
        raise ConfigError(f"{path}: {line}{error.problem}") from error
    except yaml.YAMLError as error:
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from error


def convert(data: Any, kind: type[T], where: str) -> T:
    """Plain values as an object of this kind; ConfigError names the place."""
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at `$")
        place = place.rstrip("`").lstrip(".")
        raise ConfigError(f"{where}: {place + ': ' if place else ''}{reason}") from error


def load(path: Path, kind: type[T], check: Callable[[T], None] | None = None) -> T:
    """Read and validate a file; check may raise ValueError("place: reason") for what types cannot say."""
    made = convert(read_yaml(path), kind, str(path))
    if check is not None:
        try:
            check(made)
        except ValueError as error:
            raise ConfigError(f"{path}: {error}") from error
    return made
