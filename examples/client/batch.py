"""A batch job under a quota: many quotes, as fast as the quota allows. Usage: `batch.py GATEWAY TOKEN`"""

import asyncio
import sys
from collections import Counter

from tamarindfold.client import Rules
from tamarindfold.client.aio import AsyncClient
from tamarindfold.client.shared import Settings


async def main() -> None:
    """Request ten quotes, two at a time, and print how many calls had which outcome."""
    settings = Settings([sys.argv[1]], identity="batch", token=sys.argv[2], rules=Rules(most_tries=6))
    async with AsyncClient(settings) as client:
        concurrency = asyncio.Semaphore(2)

        async def request_quote(number: int) -> str:
            async with concurrency:
                path = f"/quotes?customer={number}"
                reply = await client.call("GET", path, effect="safe", deadline_ms=4_000)
                return reply.result.outcome.value

        print(dict(Counter(await asyncio.gather(*map(request_quote, range(10))))))


asyncio.run(main())
