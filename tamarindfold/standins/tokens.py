"""A token introspection endpoint (RFC 7662) with a table of tokens."""

from __future__ import annotations

import base64
from typing import Any
from urllib.parse import parse_qs, unquote_plus

import gevent
import msgspec
from gevent import socket
from msgspec import Struct

from tamarindfold.http1 import write
from tamarindfold.http1.requests import Request
from tamarindfold.standins.base import Fault, Standin, open_ledger, serve_http

NO_EXPIRY_S = 1e15


class TokensConfig(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Configuration of the endpoint.

    tokens maps each token to its claims, without `active`. The claim exp_in_ms stands for an `exp` that many
    milliseconds after the token is loaded.
    """

    seed: int = 1
    host: str = "127.0.0.1"
    port: int = 0
    ledger: str = ""
    client_id: str = "gateway"
    client_secret: str = "gateway-secret"
    delay_ms: float = 1.0
    tokens: dict[str, dict[str, Any]] = {}
    faults: list[Fault] = []


class TokenServer(Standin):
    """Answers POST /introspect."""

    fault_kinds = frozenset(("hang", "slow", "error", "not_json", "wrong_type", "close"))

    def __init__(self, config: TokensConfig) -> None:
        super().__init__(config.seed, open_ledger(config.ledger), config.faults, config.host, config.port)
        self.config = config
        self.tokens = {token: self._with_absolute_expiry(claims) for token, claims in config.tokens.items()}

    @property
    def url(self) -> str:
        """URL of the endpoint."""
        return f"http://{self.address}/introspect"

    def _with_absolute_expiry(self, claims: dict[str, Any]) -> dict[str, Any]:
        claims = dict(claims)
        if (expires_in := claims.pop("exp_in_ms", None)) is not None:
            claims["exp"] = (self.clock() + expires_in) / 1000
        return claims

    def serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        serve_http(sock, self.clock, self._handle)

    def _handle(self, sock: socket.socket, request: Request, first_byte_at: float) -> None:
        status, answer = self._answer(request, first_byte_at)
        if self.active_fault("hang") is not None:
            while (left_ms := self.fault_end("hang") - self.clock()) > 0:
                gevent.sleep(min(left_ms, 3_600_000) / 1000)
        if (slow := self.active_fault("slow")) is not None:
            gevent.sleep(slow.delay_ms / 1000)
        gevent.sleep(self.config.delay_ms / 1000)
        body = msgspec.json.encode(answer)
        if (error := self.active_fault("error")) is not None:
            status, body = error.status, b"{}"
        elif self.active_fault("not_json") is not None:
            body = b"<html>active: true</html>"
        elif self.active_fault("wrong_type") is not None:
            body = b'{"active":"true"}'
        elif self.active_fault("close") is not None:
            sock.close()
            return
        headers = [(b"content-type", b"application/json")]
        sock.sendall(write.response(status, headers, body, request.keep_alive))

    def _answer(self, request: Request, first_byte_at: float) -> tuple[int, dict[str, Any]]:
        if (request.method, request.target) != ("POST", b"/introspect"):
            return 404, {}
        if (request.get(b"content-type") or b"").partition(b";")[0] != b"application/x-www-form-urlencoded":
            return 400, {"error": "invalid_request"}
        scheme, _, pair = (request.get(b"authorization") or b"").decode().partition(" ")
        name, _, secret = base64.b64decode(pair if scheme == "Basic" else "").decode().partition(":")
        if (unquote_plus(name), unquote_plus(secret)) != (self.config.client_id, self.config.client_secret):
            return 401, {"error": "invalid_client"}
        (token,) = parse_qs(request.body.decode()).get("token", [""])
        claims = self.tokens.get(token)
        active = claims is not None and self.clock() < claims.get("exp", NO_EXPIRY_S) * 1000
        self.ledger.record(first_byte_at, "asked", sub=claims.get("sub", "") if claims else "", active=active)
        return 200, {"active": True} | claims if active and claims is not None else {"active": False}

    def handle_admin(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Adds PUT /tokens: its table is merged into the present one; a token with null is revoked."""
        if (method, path) == ("PUT", "/tokens"):
            for token, claims in msgspec.convert(body, dict[str, dict[str, Any] | None]).items():
                if claims is None:
                    self.tokens.pop(token, None)
                else:
                    self.tokens[token] = self._with_absolute_expiry(claims)
            return 200, {}
        return super().handle_admin(method, path, body)
