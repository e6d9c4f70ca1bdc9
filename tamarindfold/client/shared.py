"""What both drivers share: settings, a client's decisions, and what a transport's faults tell them."""

from __future__ import annotations

import base64
import secrets
import socket
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from random import SystemRandom
from urllib.parse import quote_plus, urlsplit

import httpx

from tamarindfold.client.budget import Budget
from tamarindfold.client.core import Answered, Ask, Broken, Call, Outcome, Result, Rules, Send, Unreached
from tamarindfold.client.gateways import Gateways
from tamarindfold.client.protocol import headers
from tamarindfold.client.spread import Reconnects
from tamarindfold.client.tokens import Tokens

# a fault of these kinds comes before the first byte of a request is written
BEFORE_THE_FIRST_BYTE = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.ProxyError,
    httpx.UnsupportedProtocol,
    httpx.InvalidURL,
)
CONNECT_PART = 0.5  # of the time left: what connecting may take at most, so that another gateway can be tried


@dataclass(frozen=True, slots=True)
class Settings:
    """One client. identity: stable over restarts and different for each till; times in milliseconds."""

    gateways: Sequence[str]  # base URLs
    identity: str = ""
    token: str = ""  # a token or API key that does not change
    token_url: str = ""  # else: the token endpoint, with the client's id and secret (RFC 6749 section 4.4)
    client_id: str = ""
    client_secret: str = ""
    scope: str = ""
    rules: Rules = field(default_factory=Rules)
    connections: int = 20
    idle_ms: float = 30_000.0  # less than the gateway's own 75 s, so that the client is the one that closes
    spread_ms: float = 5_000.0
    repeat_part: float = 0.2

    def __post_init__(self) -> None:
        for gateway in self.gateways:
            parts = urlsplit(gateway)
            if parts.scheme not in ("http", "https") or not parts.hostname or parts.path not in ("", "/"):
                raise ValueError(f"gateway {gateway!r} is no http or https base URL")
        if bool(self.token) == bool(self.token_url):
            raise ValueError("give either a token or a token_url")


@dataclass(frozen=True, slots=True)
class Reply:
    """A call's end and, where it was answered, the last answer."""

    result: Result
    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def served(self) -> bool:
        """Whether the server's answer is here."""
        return self.result.outcome is Outcome.SERVED


NOTHING = Reply(Result(Outcome.FAILED, "", 0))


class Mind:
    """The decisions that all calls of a client share."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        draw = SystemRandom().random
        self.draw = draw
        identity = settings.identity or f"{socket.gethostname()}/{settings.client_id}"
        self.gateways = Gateways([g.rstrip("/") for g in settings.gateways], identity, draw)
        self.budget = Budget(settings.repeat_part)
        self.reconnects = Reconnects(identity, settings.spread_ms, 200.0, 30_000.0, draw)
        self.tokens = Tokens(draw)
        self.prefix = secrets.token_hex(6)
        self.numbers = 0

    def call(self, effect: str, deadline_ms: float, window_ms: float) -> tuple[Call, str]:
        """A new call, deadline_ms from now, and its name."""
        self.numbers += 1
        ask = Ask(effect, now_ms() + deadline_ms, window_ms)
        made = Call(self.settings.rules, ask, self.gateways, self.budget, self.reconnects, self.draw)
        return made, f"{self.prefix}-{self.numbers}"

    def timeout(self, left_ms: float) -> httpx.Timeout:
        """For one try."""
        left = max(0.001, left_ms / 1000)
        return httpx.Timeout(left, connect=left * CONNECT_PART, pool=left * CONNECT_PART)

    def limits(self, kept: bool) -> httpx.Limits:
        """kept: connections may be used again. Not for what must not run twice: a gateway may close an idle
        connection just as it is used, and then nobody knows."""
        return httpx.Limits(
            max_connections=self.settings.connections,
            max_keepalive_connections=self.settings.connections if kept else 0,
            keepalive_expiry=self.settings.idle_ms / 1000,
        )

    def token_request(self) -> tuple[str, dict[str, str], dict[str, str]]:
        """URL, headers and form of a client credentials grant."""
        s = self.settings
        pair = f"{quote_plus(s.client_id)}:{quote_plus(s.client_secret)}".encode()
        form = {"grant_type": "client_credentials"} | ({"scope": s.scope} if s.scope else {})
        return s.token_url, {"authorization": "Basic " + base64.b64encode(pair).decode()}, form

    def token_answer(self, answer: httpx.Response) -> None:
        """Take what the token endpoint said."""
        life: float | None = None
        token = ""
        if answer.status_code == 200:
            try:
                body = answer.json()
                token = body["access_token"]
                life = float(body["expires_in"]) * 1000 if "expires_in" in body else None
            except (ValueError, KeyError, TypeError):
                token = ""
        if token and isinstance(token, str):
            self.tokens.fetched(now_ms(), token, life)
        else:
            self.tokens.failed(now_ms())


def now_ms() -> float:
    """Monotonic milliseconds: a wall clock that is set leaves deadlines alone."""
    return time.monotonic() * 1000


def answered(status: int, found: Mapping[str, str]) -> Answered:
    """A whole answer as an event."""
    return Answered(status, {name.lower(): value for name, value in found.items()}, time.time() * 1000)


def fault(error: Exception) -> Unreached | Broken:
    """What a transport's fault says of the try."""
    return Unreached() if isinstance(error, BEFORE_THE_FIRST_BYTE) else Broken()


def try_headers(send: Send, name: str, units: float | None, key: str, token: str) -> dict[str, str]:
    """The headers of a try; each has a name of its own."""
    return headers(f"{name}.{send.number}", send.time_left_ms, send.retry, units, key, token)
