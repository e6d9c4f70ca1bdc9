"""Reads YAML files into validated objects; every error is one line with file, key path and reason."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import yaml

T = TypeVar("T")


class ConfigError(ValueError):
    """An unusable configuration: one line with the file, the key path and the reason."""


class _UniqueKeys(yaml.SafeLoader):
    """The safe loader, except that a duplicate key is an error; PyYAML would silently use the last value."""

    def construct_mapping(self, node: Any, deep: bool = False) -> dict[Any, Any]:
        keys: list[Any] = []
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if key in keys:
                raise yaml.MarkedYAMLError(
                    problem=f"key {key!r} is given twice", problem_mark=key_node.start_mark
                )
            keys.append(key)
        return super().construct_mapping(node, deep)


def read_yaml(path: Path) -> Any:
    """The plain values of a YAML file; ConfigError if it is missing or malformed."""
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


def convert(data: Any, target: type[T], source: str) -> T:
    """Convert plain values to the target type; ConfigError names the source and the key path."""
    try:
        return msgspec.convert(data, target)
    except msgspec.ValidationError as error:
        reason, _, key_path = str(error).partition(" - at `$")
        key_path = key_path.rstrip("`").lstrip(".")
        raise ConfigError(f"{source}: {key_path + ': ' if key_path else ''}{reason}") from error


def load(path: Path, target: type[T], check: Callable[[T], None] | None = None) -> T:
    """Read and validate a file; `check` raises ValueError("key: reason") for what types cannot express."""
    config = convert(read_yaml(path), target, str(path))
    if check is not None:
        try:
            check(config)
        except ValueError as error:
            raise ConfigError(f"{path}: {error}") from error
    return config
