"""The asyncio driver, on httpx; the same decisions as the blocking one."""

from __future__ import annotations

import asyncio
from types import TracebackType

import httpx

from tamarindfold.client.core import Broken, Event, NoToken, Result, Send, Wait, Woke
from tamarindfold.client.shared import NOTHING, Mind, Reply, Settings, answered, fault, now_ms, try_headers
from tamarindfold.client.tokens import Fetch, Hold, Use

LOOK_EVERY_S = 0.05  # while another task fetches the token


class AsyncClient:
    """Calls through the gateways of one customer, in one event loop."""

    def __init__(self, settings: Settings, transport: httpx.AsyncBaseTransport | None = None) -> None:
        self.mind = Mind(settings)
        self.closed = asyncio.Event()
        own = transport or httpx.AsyncHTTPTransport(limits=self.mind.limits(True), retries=0)
        once = transport or httpx.AsyncHTTPTransport(limits=self.mind.limits(False), retries=0)
        self.kept = httpx.AsyncClient(transport=own, trust_env=False)
        self.once = httpx.AsyncClient(transport=once, trust_env=False)
        self.renewals: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> AsyncClient:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """No more tries; calls that wait end at once, those with a try out as soon as that ends."""
        self.closed.set()
        for task in self.renewals:
            task.cancel()
        await self.kept.aclose()
        await self.once.aclose()

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
        """One call to its end, as `blocking.Client.call`. A cancelled call's try may run."""
        if effect == "keyed" and not key:
            raise ValueError("a keyed call needs a key")
        call, name = self.mind.call(effect, deadline_ms, window_ms)
        action, reply = call.start(now_ms()), NOTHING
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
        """Wait so long, or until the client is closed."""
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
        began = now_ms()
        token = await self._token(began + send.time_left_ms)
        left = send.time_left_ms - (now_ms() - began)
        if token is None or left <= 0:
            return NoToken(), NOTHING
        client = self.kept if send.effect != "unsafe" else self.once
        sent = extra | try_headers(send, name, units, key, token)
        try:
            async with (
                asyncio.timeout(left / 1000),
                client.stream(
                    method,
                    send.gateway + path,
                    content=body or None,
                    headers=sent,
                    timeout=self.mind.timeout(left),
                ) as answer,
            ):
                parts = [part async for part in answer.aiter_raw()]
        except TimeoutError:
            return Broken(), NOTHING
        except (httpx.TransportError, httpx.InvalidURL, RuntimeError) as error:  # the last: closed meanwhile
            return fault(error), NOTHING
        if answer.status_code == 401:
            self.mind.tokens.refused(token)
        found = dict(answer.headers)
        return answered(answer.status_code, found), Reply(
            NOTHING.result, answer.status_code, found, b"".join(parts)
        )

    async def _token(self, until_ms: float) -> str | None:
        if self.mind.settings.token:
            return self.mind.settings.token
        while now_ms() < until_ms and not self.closed.is_set():
            match self.mind.tokens.need(now_ms()):
                case Use(token, renew):
                    if renew:
                        task = asyncio.create_task(self._fetch(until_ms))
                        self.renewals.add(task)
                        task.add_done_callback(self.renewals.discard)
                    return token
                case Fetch():
                    await self._fetch(until_ms)
                case Hold(until):
                    wait = LOOK_EVERY_S * 1000 if until is None else min(until, until_ms) - now_ms()
                    await self._pause(max(1.0, wait))
        return None

    async def _fetch(self, until_ms: float) -> None:
        url, headers, form = self.mind.token_request()
        try:
            answer = await self.kept.post(
                url, headers=headers, data=form, timeout=self.mind.timeout(until_ms - now_ms())
            )
        except asyncio.CancelledError:
            self.mind.tokens.failed(now_ms())
            raise
        except (httpx.HTTPError, RuntimeError):
            self.mind.tokens.failed(now_ms())
            return
        self.mind.token_answer(answer)
