"""Parses and validates the requests of the platform's clients; no I/O.

A request is validated as a whole before the decision module sees it: an invalid request in a customer's name
must not change that customer's state. The syntax of numbers is checked first, because float() and int() also
accept forms such as `1_0`, `1e3` and `nan`.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import lru_cache

from tamarindfold.http1.requests import Rejected, Request
from tamarindfold.interface import Effect, Settings
from tamarindfold.platform import wire_names

_ID = re.compile(rb"[A-Za-z0-9_.:-]{1,64}")
_KEY = re.compile(rb"[0-9a-fA-F]{16}")
_DECIMAL = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
_INTEGER = re.compile(rb"[0-9]{1,5}")
_TARGET = re.compile(rb"/[\x21\x22\x24-\x3e\x40-\x7e]*\?([\x21\x22\x24-\x7e]*)")
METERING_CACHE_SIZE = 256  # distinct x-metering values kept in parsed form
METERING_CACHED_BYTES = 64  # longer values are parsed each time
CUSTOMER_LIMIT = 1 << 33  # the decision module's counter names have room for 33 bits of the customer

_KEY_PREFIX = wire_names.KEY + b"="
_FRAMING = (b"content-length", b"transfer-encoding")
_SINGLE_HEADERS = frozenset(  # those that may occur only once
    (
        wire_names.CALL_ID,
        wire_names.CALL_CLASS,
        wire_names.CONTRACT,
        wire_names.BUDGET,
        wire_names.METERING,
        wire_names.AGAIN,
        *_FRAMING,
    )
)


@dataclass(frozen=True, slots=True)
class CallParameters:
    """The validated content of a request's headers and query."""

    call_id: bytes
    cls: int
    customer: int
    plan: int
    units: float
    width: int  # number of gateways that this customer is spread over
    first_gateway: int  # index of the first of them
    time_left_ms: float
    retry: bool


def _decimal(value: bytes | None, field: str) -> float:
    if value is None or not _DECIMAL.fullmatch(value):
        raise Rejected(400, f"{field}: not a decimal number")
    return float(value)


class CallParser:
    """Parses requests according to the classes and plans of one deployment."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.classes = {cls.name.encode(): i for i, cls in enumerate(settings.classes)}
        self.plans = {plan.name.encode(): i for i, plan in enumerate(settings.plans)}
        # clients use few distinct values, so each is parsed once
        self.known_metering = lru_cache(maxsize=METERING_CACHE_SIZE)(self._parse_metering)
        self.methods = ["GET" if cls.effect is Effect.SAFE else "POST" for cls in settings.classes]

    def parse(self, request: Request) -> CallParameters:
        """The request's parameters; Rejected with a 4xx status if it is invalid."""
        found: dict[bytes, bytes] = {}
        for name, value in request.headers:
            if name in _SINGLE_HEADERS:
                if name in found:
                    raise Rejected(400, f"header {name.decode()} is given twice")
                found[name] = value
        if b"transfer-encoding" in found:
            # chunked bodies allow request smuggling, and clients know their bodies' lengths
            raise Rejected(400 if b"content-length" in found else 411, "a body needs a Content-Length alone")
        call_id = found.get(wire_names.CALL_ID, b"")
        if not _ID.fullmatch(call_id):
            raise Rejected(400, "x-call-id: not 1 to 64 letters, digits or -_.:")
        cls = self.classes.get(found.get(wire_names.CALL_CLASS, b""))
        plan = self.plans.get(found.get(wire_names.CONTRACT, b""))
        if cls is None or plan is None:
            raise Rejected(400, "x-call-class or x-contract: not known here")
        if request.method != self.methods[cls]:
            raise Rejected(405, f"this class is asked for with {self.methods[cls]}")
        if request.body and request.method == "GET":
            raise Rejected(400, "a GET with a body")
        budget_ms = _decimal(found.get(wire_names.BUDGET), "x-budget") * 1000
        if budget_ms <= 0:
            raise Rejected(400, "x-budget: not above 0")
        again = found.get(wire_names.AGAIN, b"0")
        if again not in (b"0", b"1"):
            raise Rejected(400, "x-again: neither 0 nor 1")
        units, width, first = self.parse_metering(found.get(wire_names.METERING, b""))
        return CallParameters(
            call_id,
            cls,
            self._customer(request.target),
            plan,
            units,
            width,
            first,
            min(budget_ms, self.settings.classes[cls].deadline_ms),
            again == b"1",
        )

    def parse_metering(self, value: bytes) -> tuple[float, int, int]:
        """Units, width and first gateway; Rejected if one is missing, given twice or out of range."""
        if len(value) > METERING_CACHED_BYTES:
            return self._parse_metering(value)
        return self.known_metering(value)

    def _parse_metering(self, value: bytes) -> tuple[float, int, int]:
        found: dict[bytes, bytes] = {}
        for part in value.split(b","):
            name, _, figure = part.strip(b" \t").partition(b"=")
            if name in found:
                raise Rejected(400, "x-metering: a figure is given twice")
            found[name] = figure
        units = _decimal(found.get(b"units"), "x-metering: units")
        if not 0 < units <= self.settings.most_units:
            raise Rejected(400, "x-metering: units out of range")
        width, first = found.get(b"spread", b""), found.get(b"first", b"")
        if not _INTEGER.fullmatch(width) or not _INTEGER.fullmatch(first):
            raise Rejected(400, "x-metering: spread or first is not a whole number")
        if not 1 <= int(width) <= self.settings.gateways or int(first) >= self.settings.gateways:
            raise Rejected(400, "x-metering: spread or first out of range")
        return units, int(width), int(first)

    @staticmethod
    def _customer(target: bytes) -> int:
        """The customer's number from the query; Rejected unless there is exactly one, in valid syntax."""
        matched = _TARGET.fullmatch(target)
        parts = matched[1].split(b"&") if matched else ()
        keys = [part[len(_KEY_PREFIX) :] for part in parts if part.startswith(_KEY_PREFIX)]
        if len(keys) != 1 or not _KEY.fullmatch(keys[0]):
            raise Rejected(400, "key: not once in the query with 16 hexadecimal digits")
        customer = int(keys[0], 16)
        if customer >= CUSTOMER_LIMIT:
            raise Rejected(400, "key: not below 2^33")
        return customer
