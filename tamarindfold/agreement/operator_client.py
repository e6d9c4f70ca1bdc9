"""Client for operators: sends proposals and commands to the keepers over plain blocking sockets."""

from __future__ import annotations

import socket
import time
from collections.abc import Sequence
from typing import TypeVar

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from msgspec import Struct

from tamarindfold.agreement import wire
from tamarindfold.agreement.state import decode
from tamarindfold.http1.client import send_request
from tamarindfold.http1.responses import BadResponse, ResponseReader
from tamarindfold.identity.wire import BadUpdate

CALL_TIMEOUT_S = 6.0
RETRY_PAUSE_S = 0.1
T = TypeVar("T", bound=Struct)


class NoAnswer(RuntimeError):
    """No keeper gave a usable answer; the text is the reason of the last failure."""


class OperatorClient:
    """Calls to the keepers of one fleet."""

    def __init__(self, keepers: Sequence[tuple[str, int]], key: Ed25519PrivateKey) -> None:
        self.keepers, self.key = list(keepers), key

    def call(self, keeper: int, path: str, body: bytes, kind: type[T], purpose: str) -> T:
        """Call one keeper. Raises NoAnswer unless it sends a valid reply of this kind and purpose."""
        host, port = self.keepers[keeper]
        try:
            with socket.create_connection((host, port), timeout=CALL_TIMEOUT_S) as sock:
                reader = ResponseReader(wire.BODY_BYTES)
                status, answer = send_request(
                    sock, reader, "POST", path, f"{host}:{port}", body, [(b"connection", b"close")]
                )
        except (OSError, BadResponse) as error:
            raise NoAnswer(f"keeper {keeper} at {host}:{port}: {error}") from None
        if status != 200:
            raise NoAnswer(f"keeper {keeper} answered {status}: {answer.decode(errors='replace')}")
        try:
            return wire.unpack(answer, kind, self.key.public_key(), purpose)
        except BadUpdate as error:
            raise NoAnswer(f"keeper {keeper}: {error}") from None

    def statuses(self) -> list[wire.KeeperStatus]:
        """The status of each keeper that answers. Raises NoAnswer if none does."""
        statuses, reason = [], "no keepers"
        for keeper in range(len(self.keepers)):
            try:
                statuses.append(self.call(keeper, "/v1/look", b"", wire.KeeperStatus, "look"))
            except NoAnswer as error:
                reason = str(error)
        if not statuses:
            raise NoAnswer(reason)
        return statuses

    def status(self) -> wire.KeeperStatus:
        """The status of the leader or, if none answers, of the keeper that knows the most entries."""
        statuses = self.statuses()
        return next((s for s in statuses if s.leader == s.keeper and s.recovered), None) or max(
            statuses, key=lambda s: decode(s.state).number
        )

    def send(self, request: wire.Proposal | wire.OperatorCommand, timeout_s: float) -> wire.OperatorReply:
        """Send a request to the leader, with retries. Raises NoAnswer if the result stays unknown."""
        purpose = "propose" if isinstance(request, wire.Proposal) else "command"
        body = wire.pack(request, self.key, purpose)
        deadline, keeper, reason = time.monotonic() + timeout_s, 0, ""
        redirected_by: set[int] = set()
        while time.monotonic() < deadline:
            try:
                reply = self.call(keeper, f"/v1/{purpose}", body, wire.OperatorReply, "told")
            except NoAnswer as error:
                reason, keeper = str(error), (keeper + 1) % len(self.keepers)
            else:
                if not reply.retry:
                    return reply
                reason = reply.reason
                if reply.leader not in (-1, keeper, *redirected_by):
                    # follow each keeper's redirection at once, but only once between two pauses
                    redirected_by.add(keeper)
                    keeper = reply.leader
                    continue
                keeper = (keeper + 1) % len(self.keepers)
            redirected_by.clear()
            time.sleep(RETRY_PAUSE_S)
        raise NoAnswer(f"the result of the request is unknown: {reason}")
