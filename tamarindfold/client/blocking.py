"""The blocking driver, on httpx: for threads, and for greenlets where sockets are patched."""

from __future__ import annotations

import threading
from types import TracebackType

import httpx

from tamarindfold.client.core import Broken, Event, NoToken, Result, Send, Wait, Woke
from tamarindfold.client.shared import NOTHING, Mind, Reply, Settings, answered, fault, now_ms, try_headers
from tamarindfold.client.tokens import Fetch, Hold, Use

LOOK_EVERY_S = 0.05  # while another thread fetches the token


class Client:
    """Calls through the gateways of one customer."""

    def __init__(self, settings: Settings, transport: httpx.BaseTransport | None = None) -> None:
        self.mind = Mind(settings)
        self.lock = threading.Lock()  # the decisions are shared; a call's own I/O is not under it
        self.closed = threading.Event()
        own = transport or httpx.HTTPTransport(limits=self.mind.limits(True), retries=0)
        once = transport or httpx.HTTPTransport(limits=self.mind.limits(False), retries=0)
        self.kept = httpx.Client(transport=own, trust_env=False)
        self.once = httpx.Client(transport=once, trust_env=False)

    def __enter__(self) -> Client:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        """No more tries; calls that wait end at once, those with a try out as soon as that ends."""
        self.closed.set()
        self.kept.close()
        self.once.close()

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
        """One call to its end. effect: safe, keyed (with a key, and the window in which the servers drop
        repeats) or unsafe. ValueError for a keyed call without a key."""
        if effect == "keyed" and not key:
            raise ValueError("a keyed call needs a key")
        with self.lock:
            call, name = self.mind.call(effect, deadline_ms, window_ms)
            action = call.start(now_ms())
        reply = NOTHING
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
        """One try: what came of it."""
        began = now_ms()
        token = self._token(send, began + send.time_left_ms)
        left = send.time_left_ms - (now_ms() - began)
        if token is None or left <= 0:
            return NoToken(), NOTHING
        client = self.kept if send.effect != "unsafe" else self.once
        sent = extra | try_headers(send, name, units, key, token)
        try:
            with client.stream(
                method,
                send.gateway + path,
                content=body or None,
                headers=sent,
                timeout=self.mind.timeout(left),
            ) as answer:
                parts = []
                for part in answer.iter_raw():  # as it comes: a chunk size would wait for a whole chunk
                    parts.append(part)
                    if now_ms() - began > send.time_left_ms:
                        return Broken(), NOTHING  # it trickles: each read in time, the whole not
        except (httpx.TransportError, httpx.InvalidURL, RuntimeError) as error:  # the last: closed meanwhile
            return fault(error), NOTHING
        if answer.status_code == 401:
            with self.lock:
                self.mind.tokens.refused(token)
        found = dict(answer.headers)
        return answered(answer.status_code, found), Reply(
            NOTHING.result, answer.status_code, found, b"".join(parts)
        )

    # ---- tokens

    def _token(self, send: Send, until_ms: float) -> str | None:
        """A token; None where there is none in time."""
        if self.mind.settings.token:
            return self.mind.settings.token
        while now_ms() < until_ms and not self.closed.is_set():
            with self.lock:
                need = self.mind.tokens.need(now_ms())
            match need:
                case Use(token, renew):
                    if renew:
                        threading.Thread(target=self._fetch, args=(until_ms,), daemon=True).start()
                    return token
                case Fetch():
                    self._fetch(until_ms)
                case Hold(until):
                    pause = LOOK_EVERY_S if until is None else (min(until, until_ms) - now_ms()) / 1000
                    self.closed.wait(max(0.001, pause))
        return None

    def _fetch(self, until_ms: float) -> None:
        url, headers, form = self.mind.token_request()
        try:
            answer = self.kept.post(
                url, headers=headers, data=form, timeout=self.mind.timeout(until_ms - now_ms())
            )
        except (httpx.HTTPError, RuntimeError):
            with self.lock:
                self.mind.tokens.failed(now_ms())
            return
        with self.lock:
            self.mind.token_answer(answer)
