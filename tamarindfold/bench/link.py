"""The simulator's adapter: its protocol on standard input and output, and one Gateway for each instance."""

from __future__ import annotations

import sys
from typing import BinaryIO

from tamarindfold.bench import wire
from tamarindfold.choice import Gateway


def _read_exactly(source: BinaryIO, count: int, name: str) -> bytes:
    """Read count bytes; WireError if the input ends early."""
    data = source.read(count)
    if len(data) != count:
        raise wire.WireError(f"{name}: input ends after {len(data)} of {count} bytes")
    return data


def answer_batch(gateways: dict[int, Gateway], now: float, count: int, body: bytes) -> bytes:
    """Hand each event of a batch to its instance; return the records of all resulting actions.

    WireError names the record that is malformed, and its position.
    """
    actions: list[bytes] = []
    offset = 0
    for number in range(1, count + 1):
        if len(body) - offset < wire.RECORD.size:
            raise wire.WireError(f"record {number} at byte {offset}: truncated header")
        code, length = wire.RECORD.unpack_from(body, offset)
        fields = body[offset + wire.RECORD.size : offset + wire.RECORD.size + length]
        if len(fields) < max(length, wire.INSTANCE.size):
            raise wire.WireError(f"record {number} at byte {offset}: truncated fields")
        (instance,) = wire.INSTANCE.unpack_from(fields)
        try:
            if code == wire.PROVISION:
                seed, settings = wire.read_provision(fields)
                gateways[instance] = Gateway(settings, seed)
            elif code == wire.STOPPED:
                gateways.pop(instance, None)
            elif instance in gateways:
                gateway = gateways[instance]
                event = wire.read_event(code, fields, gateway.settings)
                actions += [wire.write_action(instance, action) for action in gateway.handle(now, event)]
            else:
                raise wire.WireError(f"instance {instance} has not been started")
        except ValueError as error:
            raise wire.WireError(f"record {number} at byte {offset}, code {code}: {error}") from error
        offset += wire.RECORD.size + length
    if offset != len(body):
        raise wire.WireError(f"byte {offset}: {len(body) - offset} bytes after the last record")
    return b"".join(actions)


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each batch of events until the input ends."""
    gateways: dict[int, Gateway] = {}
    while head := source.read(wire.BATCH_HEAD.size):
        if len(head) < wire.BATCH_HEAD.size:
            raise wire.WireError(f"batch header: input ends after {len(head)} bytes")
        length, now, count = wire.BATCH_HEAD.unpack(head)
        reply = answer_batch(gateways, now, count, _read_exactly(source, length, "batch"))
        sink.write(wire.REPLY_HEAD.pack(len(reply)) + reply)
        sink.flush()


def main() -> int:
    """Run the adapter; exit code 0 at the end of the input, 2 on malformed input, with one line on stderr."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"bench.link: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
