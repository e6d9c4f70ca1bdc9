"""Forwards connections with a constant one-way delay: `proxy.py DELAY_MS PORT...`; prints its ports.

A process of its own, with a selector that waits for less than a millisecond. It ends with its standard input.
"""

from __future__ import annotations

import asyncio
import selectors
import socket
import sys


def no_delay(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


async def pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, delay_s: float) -> None:
    loop = asyncio.get_running_loop()
    try:
        while data := await reader.read(65536):
            loop.call_later(delay_s, writer.write, data)
    except (OSError, asyncio.CancelledError):
        pass
    finally:
        loop.call_later(delay_s, writer.close)


async def main(delay_s: float, ports: list[int]) -> None:
    async def forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, port: int) -> None:
        no_delay(writer)
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            writer.close()
            return
        no_delay(to_writer)
        await asyncio.gather(pump(reader, to_writer, delay_s), pump(to_reader, writer, delay_s))

    servers = [
        await asyncio.start_server(lambda r, w, port=port: forward(r, w, port), "127.0.0.1", 0)
        for port in ports
    ]
    print(*(server.sockets[0].getsockname()[1] for server in servers), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.buffer.read)


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selectors.SelectSelector())) as runner:
        runner.run(main(float(sys.argv[1]) / 1000, [int(port) for port in sys.argv[2:]]))
