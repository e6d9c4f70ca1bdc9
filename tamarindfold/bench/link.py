"""The adapter: the simulator's wire on standard input and output, one Gateway for each instance."""

from __future__ import annotations

import sys
from typing import BinaryIO

from tamarindfold.bench import wire
from tamarindfold.choice import Gateway


def _exactly(source: BinaryIO, count: int, what: str) -> bytes:
    data = source.read(count)
    if len(data) != count:
        raise wire.WireError(f"{what}: input ends after {len(data)} of {count} bytes")
    return data


def answer_batch(gateways: dict[int, Gateway], now: float, count: int, body: bytes) -> bytes:
    """Hand each event to its instance and collect the reply's records."""
    out: list[bytes] = []
    at = 0
    for number in range(1, count + 1):
        if len(body) - at < wire.RECORD.size:
            raise wire.WireError(f"record {number} at byte {at}: truncated header")
        code, length = wire.RECORD.unpack_from(body, at)
        fields = body[at + wire.RECORD.size : at + wire.RECORD.size + length]
        if len(fields) < max(length, wire.INSTANCE.size):
            raise wire.WireError(f"record {number} at byte {at}: truncated fields")
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
                out += [wire.write_action(instance, action) for action in gateway.handle(now, event)]
            else:
                raise wire.WireError(f"instance {instance} has not been started")
        except ValueError as error:
            raise wire.WireError(f"record {number} at byte {at}, code {code}: {error}") from error
        at += wire.RECORD.size + length
    if at != len(body):
        raise wire.WireError(f"byte {at}: {len(body) - at} bytes after the last record")
    return b"".join(out)


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    gateways: dict[int, Gateway] = {}
    while head := source.read(wire.BATCH_HEAD.size):
        if len(head) < wire.BATCH_HEAD.size:
            raise wire.WireError(f"batch header: input ends after {len(head)} bytes")
        length, now, count = wire.BATCH_HEAD.unpack(head)
        reply = answer_batch(gateways, now, count, _exactly(source, length, "batch"))
        sink.write(wire.REPLY_HEAD.pack(len(reply)) + reply)
        sink.flush()


def main() -> int:
    """Exit 0 at the end of input, 2 with one plain line on malformed input."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"bench.link: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
