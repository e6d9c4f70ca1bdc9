"""Reads a request's headers and its token's claims into the parameters of an admission decision; no I/O."""

from __future__ import annotations

import hashlib
import math
import re
from dataclasses import dataclass
from functools import lru_cache

from tamarindfold.config.model import GatewayConfig
from tamarindfold.http1.requests import Headers, Rejected, Request
from tamarindfold.http1.write import HOP_BY_HOP
from tamarindfold.ingress import headers as names
from tamarindfold.ingress.routes import Router
from tamarindfold.introspection.claims import Claims

_NAME = re.compile(rb"[A-Za-z0-9._-]{1,64}")
_NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,3})?")
_KEY = re.compile(rb"[\x21-\x7e]{1,255}")
_GATEWAY_HEADERS = frozenset(
    (names.REQUEST, names.UNITS, names.RETRY, names.TIME_LEFT, names.IDEMPOTENCY_KEY, b"authorization")
)
_NOT_FORWARDED = HOP_BY_HOP | {b"host", b"authorization", b"expect"}
CACHED_NAME_CHARACTERS = 128  # the numbers of longer names are computed each time
CUSTOMER_BITS = 33  # the decision module's counter names have room for this many


class Forbidden(Exception):
    """The credential is valid but does not permit this request: 403."""

    def __init__(self, detail: str, scope: str = "") -> None:
        super().__init__(detail)
        self.detail, self.scope = detail, scope


@dataclass(frozen=True, slots=True)
class RequestParameters:
    """What the route and the headers of a request say, with defaults filled in."""

    cls: int
    scopes: frozenset[str]  # needed by the route
    name: bytes  # the client's name for the request; empty if it gives none
    units: float
    retry: bool
    time_left_ms: float
    authorization: bytes | None
    key: bytes | None  # an API key in its own header
    headers: Headers  # to be forwarded to a backend


def customer_number(text: str) -> int:
    """Number of a customer, the same at every gateway. Two names collide with a probability of 2^-33."""
    return _known_customer_number(text) if len(text) <= CACHED_NAME_CHARACTERS else _customer_number(text)


def _customer_number(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") >> (64 - CUSTOMER_BITS)


_known_customer_number = lru_cache(maxsize=16_384)(_customer_number)


def forwardable_headers(headers: Headers) -> Headers:
    """The headers to forward: all but hop-by-hop headers and the gateway's own."""
    kept = [
        pair for pair in headers if pair[0] not in _NOT_FORWARDED and not pair[0].startswith(names.OWN_PREFIX)
    ]
    for name, value in headers:
        if name == b"connection" and value.lower() not in (b"close", b"keep-alive"):
            listed = {option.strip().lower() for option in value.split(b",")}
            kept = [pair for pair in kept if pair[0] not in listed]
    return kept


class Admission:
    """Reads the documented headers and claims and applies their defaults."""

    def __init__(self, config: GatewayConfig) -> None:
        self.router = Router(config)
        self.customers = config.customers
        self.deadlines_ms = [c.deadline_ms for c in config.classes]
        self.keyed = [c.effect == "keyed" for c in config.classes]
        self.plans = {plan.name: i for i, plan in enumerate(config.plans)}
        self.width = config.customers.width or config.instance.gateways
        self.key_header = config.identity.key_header.encode() if config.identity else b""
        self.gateway_headers = _GATEWAY_HEADERS | {self.key_header}

    def read(self, request: Request) -> RequestParameters:
        """The parameters of a request; raises Rejected with a 4xx status if a header is invalid."""
        target = self.router.find(request.method, request.target)
        found: dict[bytes, bytes] = {}
        for name, value in request.headers:
            if name in self.gateway_headers:
                if name in found:
                    raise Rejected(400, f"header {name.decode()} is given twice")
                found[name] = value
        name = found.get(names.REQUEST, b"")
        if name and not _NAME.fullmatch(name):
            raise Rejected(400, "tamarind-request: not 1 to 64 letters, digits, dots, dashes or underscores")
        retry = found.get(names.RETRY, b"0")
        if retry not in (b"0", b"1"):
            raise Rejected(400, "tamarind-retry: neither 0 nor 1")
        if self.keyed[target.cls] and not _KEY.fullmatch(found.get(names.IDEMPOTENCY_KEY, b"")):
            raise Rejected(400, "this class needs an idempotency-key of 1 to 255 visible characters")
        units = self._number(found, names.UNITS, self.customers.default_units)
        if units > self.customers.most_units:
            raise Rejected(400, f"tamarind-units: over {self.customers.most_units}")
        deadline_ms = self.deadlines_ms[target.cls]
        time_left_ms = min(deadline_ms, self._number(found, names.TIME_LEFT, deadline_ms))
        kept = forwardable_headers(request.headers)
        if self.key_header:
            kept = [pair for pair in kept if pair[0] != self.key_header]
        return RequestParameters(
            target.cls,
            target.scopes,
            name,
            units,
            retry == b"1",
            time_left_ms,
            found.get(b"authorization"),
            found.get(self.key_header),
            kept,
        )

    def customer_and_plan(self, claims: Claims, scopes: frozenset[str]) -> tuple[int, int]:
        """Numbers of a token's customer and plan; raises Forbidden if a scope or one of them is missing."""
        self.require_scopes(claims, scopes)
        customer = claims.text_claim(self.customers.customer_claim)
        if not customer:
            raise Forbidden("the token names no customer")
        plan = claims.text_claim(self.customers.plan_claim) or self.customers.default_plan
        if plan not in self.plans:
            raise Forbidden("the token names no plan that is known here")
        return customer_number(customer), self.plans[plan]

    @staticmethod
    def require_scopes(claims: Claims, scopes: frozenset[str]) -> None:
        """Raises Forbidden if the token lacks a scope that its route needs."""
        if not scopes <= claims.scopes:
            raise Forbidden("the token lacks a scope", " ".join(sorted(scopes)))

    @staticmethod
    def _number(found: dict[bytes, bytes], name: bytes, default: float) -> float:
        if (value := found.get(name)) is None:
            return default
        number = float(value) if _NUMBER.fullmatch(value) else math.nan
        if not number > 0:
            raise Rejected(400, f"{name.decode()}: not a number above 0")
        return number
