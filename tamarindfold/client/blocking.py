"""The blocking driver, on httpx: for threads, and for greenlets with patched sockets."""

from __future__ import annotations

import threading
from types import TracebackType

import httpx

from tamarindfold.client.core import Broken, Event, NoToken, Result, Send, TooLate, Wait, Woke
from tamarindfold.client.shared import (
    NO_ANSWER,
    ClientState,
    WriteLimit,
    WriteLimitReached,
    Reply,
    Settings,
    answer_event,
    now_ms,
    try_headers,
)
from tamarindfold.client.tokens import Fetch, Hold, Use

TOKEN_POLL_S = 0.05  # polling interval while another thread fetches the token


class Client:
    """A client of the gateways for one customer. It may be shared by threads."""

    def __init__(self, settings: Settings, transport: httpx.BaseTransport | None = None) -> None:
        self.state = ClientState(settings)
        self.lock = threading.Lock()  # guards the shared state; never held during I/O
        self.closed = threading.Event()
        pooled_transport = transport or httpx.HTTPTransport(limits=self.state.limits(reuse=True), retries=0)
        unpooled_transport = transport or httpx.HTTPTransport(
            limits=self.state.limits(reuse=False), retries=0
        )
        self.pooled = httpx.Client(transport=pooled_transport, trust_env=False)
        self.unpooled = httpx.Client(transport=unpooled_transport, trust_env=False)

    def __enter__(self) -> Client:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        """Start no more tries. Waiting calls end at once, others as soon as their try in flight ends."""
        self.closed.set()
        self.pooled.close()
        self.unpooled.close()

    def call(
        self,
        method: str,
        path: str,
        *,
        effect: str,
        deadline_ms: float,
        body: bytes = b"",
        key: str = "",
        window_ms: float = 0.0,
        units: float | None = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Make one call and wait for its result.

        effect: safe, keyed (with a key, and the window in which the servers drop repeats) or unsafe. Raises
        ValueError for a keyed call without a key.
        """
        if effect == "keyed" and not key:
            raise ValueError("a keyed call needs a key")
        with self.lock:
            call, name = self.state.call(effect, deadline_ms, window_ms)
            action = call.start(now_ms())
        reply = NO_ANSWER
        while not isinstance(action, Result):
            if self.closed.is_set():
                action = call.stop()
                break
            if isinstance(action, Wait):
                self.closed.wait(max(0.0, action.until_ms - now_ms()) / 1000)
                event: Event = Woke()
            else:
                event, reply = self._try(action, name, method, path, body, key, units, headers or {})
            with self.lock:
                action = call.handle(now_ms(), event)
        return Reply(action, reply.status, reply.headers, reply.body)

    def _try(
        self,
        send: Send,
        name: str,
        method: str,
        path: str,
        body: bytes,
        key: str,
        units: float | None,
        extra: dict[str, str],
    ) -> tuple[Event, Reply]:
        """Send one try; returns its event and the answer."""
        started = now_ms()
        limit = WriteLimit(send, started)
        token = self._token(send, limit.until_ms)
        left_ms = send.time_left_ms - (now_ms() - started)
        if token is None or left_ms <= 0:
            return NoToken(), NO_ANSWER
        if limit.left_ms <= 0:
            return TooLate(), NO_ANSWER
        client = self.pooled if send.effect != "unsafe" else self.unpooled
        request_headers = extra | try_headers(send, name, units, key, token)
        try:
            with client.stream(
                method,
                send.gateway + path,
                content=body or None,
                headers=request_headers,
                timeout=limit.timeout(self.state.timeout(left_ms)),
                extensions={"trace": limit.trace},
            ) as answer:
                parts = []
                for part in answer.iter_raw():  # without a chunk size, which would wait for a full chunk
                    parts.append(part)
                    if now_ms() - started > send.time_left_ms:
                        return Broken(), NO_ANSWER  # a slow answer: each read was in time, the total is not
        except (httpx.TransportError, httpx.InvalidURL, RuntimeError, WriteLimitReached) as error:
            # httpx raises RuntimeError if the client was closed in the meantime
            return limit.failed_try(error), NO_ANSWER
        if answer.status_code == 401:
            with self.lock:
                self.state.tokens.rejected(token)
        received = dict(answer.headers)
        return answer_event(answer.status_code, received), Reply(
            NO_ANSWER.result, answer.status_code, received, b"".join(parts)
        )

    # ---- tokens

    def _token(self, send: Send, until_ms: float) -> str | None:
        """A token; None if none can be had by until_ms."""
        if self.state.settings.token:
            return self.state.settings.token
        while now_ms() < until_ms and not self.closed.is_set():
            with self.lock:
                need = self.state.tokens.need(now_ms())
            match need:
                case Use(token, renew):
                    if renew:
                        threading.Thread(target=self._fetch, args=(until_ms,), daemon=True).start()
                    return token
                case Fetch():
                    self._fetch(until_ms)
                case Hold(until):
                    pause_s = TOKEN_POLL_S if until is None else (min(until, until_ms) - now_ms()) / 1000
                    self.closed.wait(max(0.001, pause_s))
        return None

    def _fetch(self, until_ms: float) -> None:
        url, headers, form = self.state.token_request()
        try:
            answer = self.pooled.post(
                url, headers=headers, data=form, timeout=self.state.timeout(until_ms - now_ms())
            )
        except (httpx.HTTPError, RuntimeError):
            with self.lock:
                self.state.tokens.failed(now_ms())
            return
        with self.lock:
            self.state.apply_token_answer(answer)
