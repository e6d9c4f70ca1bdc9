"""The asyncio driver, on httpx. It uses the same core as the blocking one."""

from __future__ import annotations

import asyncio
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

TOKEN_POLL_S = 0.05  # polling interval while another task fetches the token


class AsyncClient:
    """A client of the gateways for one customer, in one event loop."""

    def __init__(self, settings: Settings, transport: httpx.AsyncBaseTransport | None = None) -> None:
        self.state = ClientState(settings)
        self.closed = asyncio.Event()
        pooled_transport = transport or httpx.AsyncHTTPTransport(
            limits=self.state.limits(reuse=True), retries=0
        )
        unpooled_transport = transport or httpx.AsyncHTTPTransport(
            limits=self.state.limits(reuse=False), retries=0
        )
        self.pooled = httpx.AsyncClient(transport=pooled_transport, trust_env=False)
        self.unpooled = httpx.AsyncClient(transport=unpooled_transport, trust_env=False)
        self.renewals: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> AsyncClient:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Start no more tries. Waiting calls end at once, others as soon as their try in flight ends."""
        self.closed.set()
        for task in self.renewals:
            task.cancel()
        await self.pooled.aclose()
        await self.unpooled.aclose()

    async def call(
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
        """Make one call, as `blocking.Client.call`. If it is cancelled, a try in flight may still run."""
        if effect == "keyed" and not key:
            raise ValueError("a keyed call needs a key")
        call, name = self.state.call(effect, deadline_ms, window_ms)
        action, reply = call.start(now_ms()), NO_ANSWER
        while not isinstance(action, Result):
            if self.closed.is_set():
                action = call.stop()
                break
            if isinstance(action, Wait):
                await self._pause(action.until_ms - now_ms())
                event: Event = Woke()
            else:
                event, reply = await self._try(action, name, method, path, body, key, units, headers or {})
            action = call.handle(now_ms(), event)
        return Reply(action, reply.status, reply.headers, reply.body)

    async def _pause(self, ms: float) -> None:
        """Sleep for this long, or until the client is closed."""
        try:
            await asyncio.wait_for(self.closed.wait(), max(0.0, ms) / 1000)
        except TimeoutError:
            return

    async def _try(
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
        started = now_ms()
        limit = WriteLimit(send, started)
        token = await self._token(limit.until_ms)
        left_ms = send.time_left_ms - (now_ms() - started)
        if token is None or left_ms <= 0:
            return NoToken(), NO_ANSWER
        if limit.left_ms <= 0:
            return TooLate(), NO_ANSWER
        client = self.pooled if send.effect != "unsafe" else self.unpooled
        request_headers = extra | try_headers(send, name, units, key, token)
        try:
            async with (
                asyncio.timeout(left_ms / 1000),
                client.stream(
                    method,
                    send.gateway + path,
                    content=body or None,
                    headers=request_headers,
                    timeout=limit.timeout(self.state.timeout(left_ms)),
                    extensions={"trace": limit.async_trace},
                ) as answer,
            ):
                parts = [part async for part in answer.aiter_raw()]
        except TimeoutError:
            return Broken(), NO_ANSWER
        except (httpx.TransportError, httpx.InvalidURL, RuntimeError, WriteLimitReached) as error:
            # httpx raises RuntimeError if the client was closed in the meantime
            return limit.failed_try(error), NO_ANSWER
        if answer.status_code == 401:
            self.state.tokens.rejected(token)
        received = dict(answer.headers)
        return answer_event(answer.status_code, received), Reply(
            NO_ANSWER.result, answer.status_code, received, b"".join(parts)
        )

    async def _token(self, until_ms: float) -> str | None:
        if self.state.settings.token:
            return self.state.settings.token
        while now_ms() < until_ms and not self.closed.is_set():
            match self.state.tokens.need(now_ms()):
                case Use(token, renew):
                    if renew:
                        task = asyncio.create_task(self._fetch(until_ms))
                        self.renewals.add(task)
                        task.add_done_callback(self.renewals.discard)
                    return token
                case Fetch():
                    await self._fetch(until_ms)
                case Hold(until):
                    pause_ms = TOKEN_POLL_S * 1000 if until is None else min(until, until_ms) - now_ms()
                    await self._pause(max(1.0, pause_ms))
        return None

    async def _fetch(self, until_ms: float) -> None:
        url, headers, form = self.state.token_request()
        try:
            answer = await self.pooled.post(
                url, headers=headers, data=form, timeout=self.state.timeout(until_ms - now_ms())
            )
        except asyncio.CancelledError:
            self.state.tokens.failed(now_ms())
            raise
        except (httpx.HTTPError, RuntimeError):
            self.state.tokens.failed(now_ms())
            return
        self.state.apply_token_answer(answer)
