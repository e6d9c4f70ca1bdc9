"""Method and path to a class; a path that servers could read otherwise is turned away."""

from __future__ import annotations

from dataclasses import dataclass

from tamarindfold.config.model import GatewayConfig
from tamarindfold.http1.requests import Rejected


@dataclass(frozen=True, slots=True)
class Target:
    """What a route leads to: the class's number and the scopes a token needs."""

    cls: int
    scopes: frozenset[str]
    led_only: bool = False


class Router:
    """Exact paths first, then the longest prefix that ends in a slash."""

    def __init__(self, config: GatewayConfig) -> None:
        self.led = True  # whether this instance may know that its settings are in force
        numbers = {c.name: i for i, c in enumerate(config.classes)}
        self.exact: dict[str, dict[str, Target]] = {}
        self.below: dict[str, dict[str, Target]] = {}
        for route in config.routes:
            table = self.below if route.path.endswith("/") else self.exact
            target = Target(numbers[route.cls], frozenset(route.scope.split()), route.led_only)
            table.setdefault(route.path, {})[route.method] = target

    def find(self, method: str, target: bytes) -> Target:
        """The route of a request; Rejected with 400, 404 or 405."""
        methods = self.exact.get(path := self.path(target))
        end = len(path)
        while methods is None and (end := path.rfind("/", 0, end)) >= 0:
            methods = self.below.get(path[: end + 1])
        if methods is None:
            raise Rejected(404, "no route has this path")
        if (found := methods.get(method)) is None:
            raise Rejected(405, f"this path takes {', '.join(sorted(methods))}")
        if found.led_only and not self.led:
            raise Rejected(503, "this instance cannot tell whether its settings are in force")
        return found

    @staticmethod
    def path(target: bytes) -> str:
        """The path of a target in origin form (RFC 9112 section 3.2.1)."""
        if not target.startswith(b"/") or not target.isascii():
            raise Rejected(400, "the target is not a path")
        path = target.partition(b"?")[0].decode()
        low = path.lower() if "%" in path else ""
        # servers undo dots, doubled slashes and escapes each in its own way: no quote may become a switch
        if "//" in path or "\\" in path or "%2e" in low or "%2f" in low or "%5c" in low or "%00" in low:
            raise Rejected(400, "the path can be read in more than one way")
        if "/." in path and any(part in (".", "..") for part in path.split("/")):
            raise Rejected(400, "the path can be read in more than one way")
        return path
