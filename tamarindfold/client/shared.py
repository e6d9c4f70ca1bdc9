"""What both drivers share: settings, the state of a client, and the mapping of httpx results to events."""

from __future__ import annotations

import base64
import secrets
import socket
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from random import SystemRandom
from typing import Any
from urllib.parse import quote_plus, urlsplit

import httpx

from tamarindfold.client.budget import RetryBudget
from tamarindfold.client.core import (
    Answered,
    Broken,
    Call,
    CallSpec,
    Outcome,
    Result,
    Rules,
    Send,
    TooLate,
    Unreached,
)
from tamarindfold.client.gateways import Gateways
from tamarindfold.client.jitter import ReconnectSchedule
from tamarindfold.client.protocol import headers
from tamarindfold.client.tokens import TokenCache

# errors that are raised before the first byte of a request is written
NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.ProxyError,
    httpx.UnsupportedProtocol,
    httpx.InvalidURL,
)
MIN_TIMEOUT_S = 0.001  # time-outs must be positive
CONNECT_SHARE = 0.5  # of the time left: the limit for connecting, so that another gateway can be tried
FIRST_BYTE_EVENT = "http11.send_request_headers.started"  # httpx's event before the first byte is written


class WriteLimitReached(Exception):
    """The time in which a try may be written has passed."""


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one client. Times in milliseconds.

    identity: stable over restarts and different for each client. spread_ms: the time over which clients
    stagger their reconnects. repeat_part: the retries that each call adds to the retry budget.
    """

    gateways: Sequence[str]  # base URLs
    identity: str = ""
    token: str = ""  # a fixed token or API key
    token_url: str = ""  # or a token endpoint, with the client's id and secret (RFC 6749 section 4.4)
    client_id: str = ""
    client_secret: str = ""
    scope: str = ""
    rules: Rules = field(default_factory=Rules)
    connections: int = 20
    idle_ms: float = 30_000.0  # below the gateway's 75 s, so that the client closes first
    spread_ms: float = 5_000.0
    repeat_part: float = 0.2

    def __post_init__(self) -> None:
        for gateway in self.gateways:
            parts = urlsplit(gateway)
            if parts.scheme not in ("http", "https") or not parts.hostname or parts.path not in ("", "/"):
                raise ValueError(f"gateway {gateway!r} is not an http or https base URL")
        if bool(self.token) == bool(self.token_url):
            raise ValueError("either token or token_url is required, and not both")


@dataclass(frozen=True, slots=True)
class Reply:
    """The result of a call and the last answer, if there was one."""

    result: Result
    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def served(self) -> bool:
        """Whether the reply holds the server's answer."""
        return self.result.outcome is Outcome.SERVED


NO_ANSWER = Reply(Result(Outcome.FAILED, "", 0))


class ClientState:
    """The state that all calls of a client share."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        draw = SystemRandom().random
        self.draw = draw
        identity = settings.identity or f"{socket.gethostname()}/{settings.client_id}"
        self.gateways = Gateways([g.rstrip("/") for g in settings.gateways], identity, draw)
        self.budget = RetryBudget(settings.repeat_part)
        self.reconnects = ReconnectSchedule(identity, settings.spread_ms, 200.0, 30_000.0, draw)
        self.tokens = TokenCache(draw)
        self.prefix = secrets.token_hex(6)
        self.call_count = 0

    def call(self, effect: str, deadline_ms: float, window_ms: float) -> tuple[Call, str]:
        """A new call with its deadline in deadline_ms, and its request name."""
        self.call_count += 1
        spec = CallSpec(effect, now_ms() + deadline_ms, window_ms)
        call = Call(self.settings.rules, spec, self.gateways, self.budget, self.reconnects, self.draw)
        return call, f"{self.prefix}-{self.call_count}"

    def timeout(self, left_ms: float) -> httpx.Timeout:
        """The time-outs of one request."""
        left_s = max(MIN_TIMEOUT_S, left_ms / 1000)
        return httpx.Timeout(left_s, connect=left_s * CONNECT_SHARE, pool=left_s * CONNECT_SHARE)

    def limits(self, reuse: bool) -> httpx.Limits:
        """The connection limits. reuse: connections may serve several requests.

        Unsafe calls must not reuse connections: if the gateway closes an idle connection just as a request is
        sent on it, it is unknown whether the request ran.
        """
        return httpx.Limits(
            max_connections=self.settings.connections,
            max_keepalive_connections=self.settings.connections if reuse else 0,
            keepalive_expiry=self.settings.idle_ms / 1000,
        )

    def token_request(self) -> tuple[str, dict[str, str], dict[str, str]]:
        """URL, headers and form fields of a client credentials request."""
        settings = self.settings
        credentials = f"{quote_plus(settings.client_id)}:{quote_plus(settings.client_secret)}".encode()
        form = {"grant_type": "client_credentials"} | ({"scope": settings.scope} if settings.scope else {})
        return settings.token_url, {"authorization": "Basic " + base64.b64encode(credentials).decode()}, form

    def apply_token_answer(self, answer: httpx.Response) -> None:
        """Apply the answer of the token endpoint."""
        lifetime_ms: float | None = None
        token = ""
        if answer.status_code == 200:
            try:
                body = answer.json()
                token = body["access_token"]
                lifetime_ms = float(body["expires_in"]) * 1000 if "expires_in" in body else None
            except (ValueError, KeyError, TypeError):
                token = ""
        if token and isinstance(token, str):
            self.tokens.fetched(now_ms(), token, lifetime_ms)
        else:
            self.tokens.failed(now_ms())


class WriteLimit:
    """Stops a try that is about to be written too late; `trace` is called by httpx, see its trace extension.

    A try is decided on before the wait for a token and for a connection, which may outlast the time in which
    servers drop repeats of a key.
    """

    def __init__(self, send: Send, started_ms: float) -> None:
        self.until_ms = started_ms + send.write_left_ms
        self.cuts_connecting = False  # whether connecting gets less than its usual time

    @property
    def left_ms(self) -> float:
        """The time in which the try may still be written."""
        return self.until_ms - now_ms()

    def timeout(self, usual: httpx.Timeout) -> httpx.Timeout:
        """The usual time-outs, but a connection is waited for only as long as the try may be written."""
        left_s = max(MIN_TIMEOUT_S, self.left_ms / 1000)
        if usual.connect is None or left_s >= usual.connect:
            return usual
        self.cuts_connecting = True
        return httpx.Timeout(usual.read, connect=left_s, pool=left_s)

    def trace(self, event: str, info: Mapping[str, Any]) -> None:
        """Raise WriteLimitReached if the first byte would be written too late."""
        if event == FIRST_BYTE_EVENT and self.left_ms <= 0:
            raise WriteLimitReached

    async def async_trace(self, event: str, info: Mapping[str, Any]) -> None:
        """`trace` for the asynchronous client."""
        self.trace(event, info)

    def failed_try(self, error: Exception) -> Unreached | Broken | TooLate:
        """The event for an error: whether any byte of the try was written, and whose fault it was."""
        cut_short = self.cuts_connecting and isinstance(error, httpx.ConnectTimeout | httpx.PoolTimeout)
        if cut_short or isinstance(error, WriteLimitReached):
            return TooLate()
        return Unreached() if isinstance(error, NOT_SENT_ERRORS) else Broken()


def now_ms() -> float:
    """Monotonic milliseconds: adjustments of the wall clock do not affect deadlines."""
    return time.monotonic() * 1000


def answer_event(status: int, received: Mapping[str, str]) -> Answered:
    """The event for a complete answer."""
    return Answered(status, {name.lower(): value for name, value in received.items()}, time.time() * 1000)


def try_headers(send: Send, name: str, units: float | None, key: str, token: str) -> dict[str, str]:
    """The headers of a try. Each try has its own request name."""
    return headers(f"{name}.{send.number}", send.time_left_ms, send.retry, units, key, token)
