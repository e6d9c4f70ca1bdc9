"""Maps method and path to a request class; rejects paths that servers could interpret differently."""

from __future__ import annotations

from dataclasses import dataclass

from tamarindfold.config.model import GatewayConfig
from tamarindfold.http1.requests import Rejected


@dataclass(frozen=True, slots=True)
class Route:
    """The class number of a route, the scopes that a token needs, and whether it requires a lease."""

    cls: int
    scopes: frozenset[str]
    lease_only: bool = False


class Router:
    """Finds routes: an exact path first, then the longest prefix that ends in a slash."""

    def __init__(self, config: GatewayConfig) -> None:
        self.has_lease = True  # whether this instance knows that its settings are in force
        numbers = {c.name: i for i, c in enumerate(config.classes)}
        self.exact: dict[str, dict[str, Route]] = {}
        self.prefixes: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            table = self.prefixes if route.path.endswith("/") else self.exact
            entry = Route(numbers[route.cls], frozenset(route.scope.split()), route.led_only)
            table.setdefault(route.path, {})[route.method] = entry

    def find(self, method: str, target: bytes) -> Route:
        """The route of a request; Rejected with 400, 404, 405 or, where the route needs a lease, 503."""
        methods = self.exact.get(path := self.path(target))
        end = len(path)
        while methods is None and (end := path.rfind("/", 0, end)) >= 0:
            methods = self.prefixes.get(path[: end + 1])
        if methods is None:
            raise Rejected(404, "no route has this path")
        if (found := methods.get(method)) is None:
            raise Rejected(405, f"this path takes {', '.join(sorted(methods))}")
        if found.lease_only and not self.has_lease:
            raise Rejected(503, "this instance cannot tell whether its settings are in force")
        return found

    @staticmethod
    def path(target: bytes) -> str:
        """The path of a target in origin form (RFC 9112 section 3.2.1); Rejected if it is ambiguous."""
        if not target.startswith(b"/") or not target.isascii():
            raise Rejected(400, "the target is not a path")
        path = target.partition(b"?")[0].decode()
        low = path.lower() if "%" in path else ""
        # Servers normalise dots, doubled slashes and escapes differently. An ambiguous path could match one
        # route here (a quote) and be handled by the server as another (a switch).
        if "//" in path or "\\" in path or "%2e" in low or "%2f" in low or "%5c" in low or "%00" in low:
            raise Rejected(400, "the path can be read in more than one way")
        if "/." in path and any(part in (".", "..") for part in path.split("/")):
            raise Rejected(400, "the path can be read in more than one way")
        return path
