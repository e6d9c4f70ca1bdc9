"""A client's request read into what the module is told, or a reason to turn it away; no I/O.

All of it is checked before the module hears of anything: a bad request in a customer's name must not touch
that customer's state. Numbers are read by their form, since float() and int() take much that is none.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import lru_cache

from tamarindfold.http1.requests import Rejected, Request
from tamarindfold.interface import Effect, Settings
from tamarindfold.platform import names

_ID = re.compile(rb"[A-Za-z0-9_.:-]{1,64}")
_KEY = re.compile(rb"[0-9a-fA-F]{16}")
_DECIMAL = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
_WHOLE = re.compile(rb"[0-9]{1,5}")
_TARGET = re.compile(rb"/[\x21\x22\x24-\x3e\x40-\x7e]*\?([\x21\x22\x24-\x7e]*)")
MOST_KNOWN = 256  # of what clients say of units and sets
CUSTOMER_BOUND = 1 << 33  # what the module's counter names have room for

_NAMED = names.KEY + b"="
_FRAMING = (b"content-length", b"transfer-encoding")
_OWN = frozenset(
    (names.CALL_ID, names.CALL_CLASS, names.CONTRACT, names.BUDGET, names.METERING, names.AGAIN, *_FRAMING)
)


@dataclass(frozen=True, slots=True)
class Asked:
    """What a request says. Time in milliseconds."""

    name: bytes
    cls: int
    customer: int
    plan: int
    units: float
    width: int
    first: int
    time_left_ms: float
    retry: bool


def _decimal(value: bytes | None, what: str) -> float:
    if value is None or not _DECIMAL.fullmatch(value):
        raise Rejected(400, f"{what}: not a decimal number")
    return float(value)


class Admission:
    """The checks, for one deployment."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.classes = {cls.name.encode(): i for i, cls in enumerate(settings.classes)}
        self.plans = {plan.name.encode(): i for i, plan in enumerate(settings.plans)}
        self.metering = lru_cache(maxsize=MOST_KNOWN)(self._metering)  # few are in use, each read once
        self.methods = ["GET" if cls.effect is Effect.SAFE else "POST" for cls in settings.classes]

    def read(self, request: Request) -> Asked:
        """What the request says; Rejected with a 4xx where it can't be taken."""
        found: dict[bytes, bytes] = {}
        for name, value in request.headers:
            if name in _OWN:
                if name in found:
                    raise Rejected(400, f"header {name.decode()} is given twice")
                found[name] = value
        if b"transfer-encoding" in found:
            # it may hide another request in its body, and nothing here needs it: lengths are known
            raise Rejected(400 if b"content-length" in found else 411, "a body needs a Content-Length alone")
        call = found.get(names.CALL_ID, b"")
        if not _ID.fullmatch(call):
            raise Rejected(400, "x-call-id: not 1 to 64 letters, digits or -_.:")
        cls = self.classes.get(found.get(names.CALL_CLASS, b""))
        plan = self.plans.get(found.get(names.CONTRACT, b""))
        if cls is None or plan is None:
            raise Rejected(400, "x-call-class or x-contract: not known here")
        if request.method != self.methods[cls]:
            raise Rejected(405, f"this class is asked for with {self.methods[cls]}")
        if request.body and request.method == "GET":
            raise Rejected(400, "a GET with a body")
        budget = _decimal(found.get(names.BUDGET), "x-budget") * 1000
        if budget <= 0:
            raise Rejected(400, "x-budget: not above 0")
        again = found.get(names.AGAIN, b"0")
        if again not in (b"0", b"1"):
            raise Rejected(400, "x-again: neither 0 nor 1")
        units, width, first = self.metering(found.get(names.METERING, b""))
        return Asked(
            call,
            cls,
            self._customer(request.target),
            plan,
            units,
            width,
            first,
            min(budget, self.settings.classes[cls].deadline_ms),
            again == b"1",
        )

    def _metering(self, value: bytes) -> tuple[float, int, int]:
        """Units, width and first gateway; Rejected where one is missing, given twice or out of range."""
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
        if not _WHOLE.fullmatch(width) or not _WHOLE.fullmatch(first):
            raise Rejected(400, "x-metering: spread or first is not a whole number")
        if not 1 <= int(width) <= self.settings.gateways or int(first) >= self.settings.gateways:
            raise Rejected(400, "x-metering: spread or first out of range")
        return units, int(width), int(first)

    @staticmethod
    def _customer(target: bytes) -> int:
        """The customer's number in the query; Rejected where it is not there once, in its form."""
        asked = _TARGET.fullmatch(target)
        parts = asked[1].split(b"&") if asked else ()
        keys = [part[len(_NAMED) :] for part in parts if part.startswith(_NAMED)]
        if len(keys) != 1 or not _KEY.fullmatch(keys[0]):
            raise Rejected(400, "key: not once in the query with 16 hexadecimal digits")
        customer = int(keys[0], 16)
        if customer >= CUSTOMER_BOUND:
            raise Rejected(400, "key: not below 2^33")
        return customer
