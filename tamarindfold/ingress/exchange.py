"""A client request while the gateway processes it, and the possible final outcomes."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from gevent.event import Event

from tamarindfold.http1.requests import Headers
from tamarindfold.interface import Why


@dataclass(frozen=True, slots=True)
class Served:
    """A server's response, to be forwarded to the client."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """The request did not run; it is safe to retry after `retry_after_ms`."""

    retry_after_ms: float
    why: Why


@dataclass(frozen=True, slots=True)
class Failed:
    """It is unknown whether the request ran; late: whether its time ran out."""

    late: bool


@dataclass(frozen=True, slots=True)
class TokenExpired:
    """The token expired or was revoked before any attempt was sent."""


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client disconnected, so no answer is sent."""


@dataclass(frozen=True, slots=True)
class PermitLapsed:
    """A proxy got a permit and never reported the outcome, which stays unknown."""


Final = Served | Refused | Failed | TokenExpired | ClientLeft | PermitLapsed


@dataclass(slots=True)
class Exchange:
    """A request that the decision module is handling. Times are in the gateway clock's milliseconds."""

    number: int  # unique within this process
    name: bytes  # the request's name in headers, chosen by the sender or assigned by the gateway
    cls: int
    customer: int
    plan: int
    units: float
    width: int  # number of gateways that the customer is spread over
    retry: bool
    deadline_ms: float  # when the client gives up
    give_up_ms: float  # when the decision module must have answered
    method: str
    target: bytes
    headers: Headers
    body: bytes
    token_until_ms: float = math.inf
    credential: Any = None  # the registry's entry (identity.resolve.ResolvedCredential), if any
    first_gateway: int | None = None  # first gateway of the customer's set, if the client names it
    attempts: int = 0
    written: int = 0  # attempts of which at least one byte was sent
    final: Final | None = None
    pending_attempts: list[Any] | None = None  # started attempts that the request's greenlet is to run
    check_client: Callable[[], None] | None = None  # withdraws the request if the client has disconnected
    wakeup: Event | None = None  # created only when the request's greenlet has to wait

    def add_attempt(self, attempt: Any) -> None:
        """Queue an attempt for the request's greenlet."""
        if self.pending_attempts is None:
            self.pending_attempts = [attempt]
        else:
            self.pending_attempts.append(attempt)
        if self.wakeup is not None:
            self.wakeup.set()

    def finish(self, final: Final) -> bool:
        """Set the final outcome; False if there already was one."""
        if self.final is not None:
            return False
        self.final = final
        if self.wakeup is not None:
            self.wakeup.set()
        return True
