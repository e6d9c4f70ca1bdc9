"""One request taken: what is known of it, and its one final answer."""

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
    """A server's answer, to be passed on."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """Nothing ran; coming back after this time is harmless."""

    retry_after_ms: float
    why: Why


@dataclass(frozen=True, slots=True)
class Failed:
    """Nothing is promised; late: the time ran out."""

    late: bool


@dataclass(frozen=True, slots=True)
class Expired:
    """The token ran out before a try could be sent, and nothing of the request was."""


@dataclass(frozen=True, slots=True)
class Left:
    """The client went away; nobody is there to be told."""


@dataclass(frozen=True, slots=True)
class Lapsed:
    """A permit whose outcome nobody told: unknown for good."""


Final = Served | Refused | Failed | Expired | Left | Lapsed


@dataclass(slots=True)
class Exchange:
    """A request in the module's hands. Times are the clock's milliseconds."""

    number: int
    name: bytes  # the request's name for client and servers
    cls: int
    customer: int
    plan: int
    units: float
    width: int
    retry: bool
    deadline_ms: float  # the client's
    give_up_ms: float  # the module's: the answer is owed by then
    method: str
    target: bytes
    headers: Headers
    body: bytes
    token_until_ms: float = math.inf
    known: Any = None  # the registry's word on the credential (identity.resolve.Known), where there is one
    first: int | None = None  # the first gateway of the customer's set, where the client's side names it
    attempts: int = 0
    written: int = 0  # attempts of which at least one byte went out
    final: Final | None = None
    todo: list[Any] | None = None  # attempts to be carried out by the request's greenlet
    look: Callable[[], None] | None = None  # looks whether its client has left, and then withdraws it
    woken: Event | None = None  # made only where that greenlet has nothing to do but wait

    def work(self, attempt: Any) -> None:
        """An attempt for the request's greenlet."""
        if self.todo is None:
            self.todo = [attempt]
        else:
            self.todo.append(attempt)
        if self.woken is not None:
            self.woken.set()

    def finish(self, final: Final) -> bool:
        """Give the final answer; False where there was one already."""
        if self.final is not None:
            return False
        self.final = final
        if self.woken is not None:
            self.woken.set()
        return True
