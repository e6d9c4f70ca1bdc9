"""The simulator's binary protocol: reads records into events and writes actions as records.

Names in capitals (VIEW, ACCEPT, ...) are the protocol's own names of its records.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from struct import Struct
from typing import Any

from tamarindfold.bench.settings import SettingsError, parse_settings
from tamarindfold.interface import (
    Action,
    AnswerBegan,
    AttemptEnded,
    BackendEntry,
    BackendState,
    Cancel,
    Count,
    CountAnswered,
    Event,
    Fail,
    FleetUpdate,
    ListKind,
    Log,
    Outcome,
    PeerMessage,
    Probe,
    ProbeEnded,
    Refuse,
    RequestArrived,
    RequestWithdrawn,
    Send,
    SetTimer,
    Settings,
    Tell,
    TimerFired,
)


class WireError(ValueError):
    """Malformed input; the text says what is wrong and where."""


# ---- records from the simulator

PROVISION = 1000  # an instance starts
STOPPED = 1080  # an instance has stopped
BATCH_HEAD = Struct("<IdI")
REPLY_HEAD = Struct("<I")
RECORD = Struct("<HI")
INSTANCE = Struct("<I")
_PROVISION = Struct("<IQI")
_VIEW = Struct("<IBQI")
_ENTRY = Struct("<IHHHHBfd")
_ACCEPT = Struct("<IQfffBdQHB")
_BEGUN = Struct("<IQHIHd")
_ENDED = Struct("<IQHIHBdBHHB")
_WITHDRAWN = Struct("<IQ")
_FIRED = Struct("<IQ")
_PROBED = Struct("<IIHBdB")
_PEER = Struct("<IHH")
_COUNTED = Struct("<IQBdf")

# ---- records to the simulator

_OUT_SEND = Struct("<HIIQdIH")
_OUT_CANCEL = Struct("<HIIQH")
_OUT_REFUSE = Struct("<HIIQd")
_OUT_FAIL = Struct("<HIIQ")
_OUT_TIMER = Struct("<HIIdQ")
_OUT_PROBE = Struct("<HIIIH")
_OUT_TELL = Struct("<HIIIH")
_OUT_COUNT = Struct("<HIIQfd")
_OUT_TEXT = Struct("<HIIH")
LOG_CODE = 1030
FAULT_CODE = 1090
ALL_PEERS = 0xFFFFFFFF
RETRY_BIT = 2  # of the flags of ACCEPT: the client marked the request as a retry


def _backend_id(address: int, port: int) -> int:
    return address << 16 | port


def _unpack_fixed(layout: Struct, body: bytes, name: str) -> tuple[Any, ...]:
    """Unpack a record that has no variable part."""
    if len(body) != layout.size:
        raise WireError(f"{name}: {len(body)} bytes of fields, {layout.size} expected")
    return layout.unpack(body)


def _unpack_items(layout: Struct, body: bytes, item_size: int, name: str) -> tuple[tuple[Any, ...], bytes]:
    """Unpack a record whose last fixed field is the number of items that follow; return fields and items."""
    if len(body) < layout.size:
        raise WireError(f"{name}: {len(body)} bytes of fields, at least {layout.size} expected")
    head = layout.unpack_from(body)
    rest = body[layout.size :]
    if len(rest) != head[-1] * item_size:
        raise WireError(f"{name}: {len(rest)} bytes follow, {head[-1]} items of {item_size} bytes announced")
    return head, rest


def _finite(value: float, name: str, minimum: float = 0.0) -> float:
    """The value; WireError if it is not finite or below the minimum."""
    if not (math.isfinite(value) and value >= minimum):
        raise WireError(f"{name}: {value!r} is not a finite number of at least {minimum:g}")
    return value


def _enum_member(enumeration: Callable[[Any], Any], value: Any, name: str) -> Any:
    """The member of an enumeration with this value; WireError if there is none."""
    try:
        return enumeration(value)
    except ValueError:
        raise WireError(f"{name}: {value!r} is unknown") from None


def _unpack_floats(data: bytes, name: str) -> tuple[float, ...]:
    values = Struct(f"<{len(data) // 4}f").unpack(data)
    for value in values:
        _finite(value, name, -math.inf)
    return values


def _read_view(body: bytes) -> Event:
    (_, form, version, _), rest = _unpack_items(_VIEW, body, _ENTRY.size, "VIEW")
    entries = []
    for address, port, zone, kind, cell, availability, size, up_since in _ENTRY.iter_unpack(rest):
        state = _enum_member(BackendState, availability, "VIEW availability")
        entries.append(
            BackendEntry(
                _backend_id(address, port),
                state,
                zone,
                kind,
                cell,
                _finite(size, "VIEW size"),
                _finite(up_since, "VIEW up_since"),
            )
        )
    return FleetUpdate(_enum_member(ListKind, form, "VIEW form"), entries, version)


def _read_accept(body: bytes) -> Event:
    _, request, units, first, width, cls, time_left, customer, plan, flags = _unpack_fixed(
        _ACCEPT, body, "ACCEPT"
    )
    return RequestArrived(
        request,
        customer,
        plan,
        cls,
        _finite(units, "ACCEPT price_units"),
        int(_finite(first, "ACCEPT set_from")),
        int(_finite(width, "ACCEPT width", 1)),
        _finite(time_left, "ACCEPT time_left"),
        bool(flags & RETRY_BIT),
    )


def _read_begun(body: bytes) -> Event:
    _, request, attempt, address, port, elapsed = _unpack_fixed(_BEGUN, body, "BEGUN")
    return AnswerBegan(request, attempt, _backend_id(address, port), _finite(elapsed, "BEGUN spent"))


def _read_ended(body: bytes) -> Event:
    head, rest = _unpack_items(_ENDED, body, 4, "COMPLETED")
    _, request, attempt, address, port, verdict, elapsed, over, used, units, _ = head
    return AttemptEnded(
        request,
        attempt,
        _backend_id(address, port),
        _enum_member(Outcome, verdict, "COMPLETED verdict"),
        _finite(elapsed, "COMPLETED spent"),
        bool(over),
        used - 1.0 if used else None,  # 0: no meter; else the percentage plus 1
        float(units),
        _unpack_floats(rest, "COMPLETED telemetry"),
    )


def _read_withdrawn(body: bytes) -> Event:
    return RequestWithdrawn(_unpack_fixed(_WITHDRAWN, body, "WITHDRAWN")[1])


def _read_fired(body: bytes) -> Event:
    return TimerFired(_unpack_fixed(_FIRED, body, "DEADLINE_HIT")[1])


def _read_probed(body: bytes) -> Event:
    (_, address, port, verdict, elapsed, _), rest = _unpack_items(_PROBED, body, 4, "STATUS_BACK")
    return ProbeEnded(
        _backend_id(address, port),
        _enum_member(Outcome, verdict, "STATUS_BACK verdict"),
        _finite(elapsed, "STATUS_BACK spent"),
        _unpack_floats(rest, "STATUS_BACK telemetry"),
    )


def _read_peer(body: bytes) -> Event:
    (_, sender, _), rest = _unpack_items(_PEER, body, 1, "MESSAGE")
    return PeerMessage(sender, rest)


def _read_counted(body: bytes) -> Event:
    _, name, verdict, elapsed, total = _unpack_fixed(_COUNTED, body, "LEDGER_REPLY")
    outcome = _enum_member(Outcome, verdict, "LEDGER_REPLY verdict")
    if outcome is Outcome.OK:
        _finite(total, "LEDGER_REPLY reading", -math.inf)
    return CountAnswered(name, outcome, _finite(elapsed, "LEDGER_REPLY spent"), total)


_READERS: dict[int, Callable[[bytes], Event]] = {
    1050: _read_view,
    1060: _read_accept,
    1070: _read_begun,
    1030: _read_ended,
    1020: _read_withdrawn,
    1090: _read_fired,
    1010: _read_probed,
    1040: _read_peer,
    1100: _read_counted,
}


def read_event(code: int, body: bytes, settings: Settings) -> Event:
    """The event in a record other than PROVISION and STOPPED."""
    reader = _READERS.get(code)
    if reader is None:
        raise WireError(f"unknown event code {code}")
    event = reader(body)
    if isinstance(event, RequestArrived):
        for name, number, count in (
            ("band", event.cls, len(settings.classes)),
            ("tariff", event.plan, len(settings.plans)),
        ):
            if number >= count:
                raise WireError(f"ACCEPT {name}: {number} is not below {count}")
    return event


def read_provision(body: bytes) -> tuple[int, Settings]:
    """The seed and the settings in a PROVISION record."""
    (_, seed, _), text = _unpack_items(_PROVISION, body, 1, "PROVISION")
    try:
        return seed, parse_settings(text.decode())
    except UnicodeDecodeError:
        raise WireError("PROVISION settings: not UTF-8 text") from None
    except SettingsError as error:
        raise WireError(str(error)) from None


def write_action(instance: int, action: Action) -> bytes:
    """The record of one action."""
    match action:
        case Send(request, backend, timeout):
            return _OUT_SEND.pack(1070, 26, instance, request, timeout, backend >> 16, backend & 0xFFFF)
        case Refuse(request, retry_after, _):
            return _OUT_REFUSE.pack(1100, 20, instance, request, retry_after)
        case Count(name, amount, ttl):
            return _OUT_COUNT.pack(1020, 24, instance, name, amount, ttl)
        case SetTimer(after, label):
            return _OUT_TIMER.pack(1050, 20, instance, after, label)
        case Fail(request):
            return _OUT_FAIL.pack(1010, 12, instance, request)
        case Cancel(request, attempt):
            return _OUT_CANCEL.pack(1080, 14, instance, request, attempt)
        case Probe(backend):
            return _OUT_PROBE.pack(1000, 10, instance, backend >> 16, backend & 0xFFFF)
        case Tell(gateway, message):
            recipient = ALL_PEERS if gateway is None else gateway
            return _OUT_TELL.pack(1120, 10 + len(message), instance, recipient, len(message)) + message
        case Log(text):
            return write_text(LOG_CODE, instance, text)


def write_text(code: int, instance: int, text: str) -> bytes:
    """The record of a text, such as a log line; it is cut after 60,000 bytes."""
    data = text.encode()[:60_000]
    return _OUT_TEXT.pack(code, 6 + len(data), instance, len(data)) + data
