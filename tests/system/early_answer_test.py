#!/usr/bin/env python3
"""Endpoints that begin an answer with neither a length nor chunks before they have
read a long request. One that crashes resets the connection; the part of its answer
that has arrived must not be passed on as complete."""

import asyncio
import sys
import tempfile

from router_bench import Bench, STAMP, encode, read_message
from http_wire import read_head
from soak import HOST, KEY

NET = "127.0.55"
BODY_BYTES = 4_000_000
# Less than the body, so that the router's write is still pending.
RECEIVE_BYTES = 32768
PIECES, PIECE = 40, b"a piece of the answer\n"
PAUSE_S = 0.02
CALLS = 6


async def serve(reader, writer):
    """Sends its answer, or a part of it, before it reads the body."""
    head = await read_head(reader)
    if head is None:
        writer.close()
        return
    crashes = head.target.endswith("crash")
    writer.write((f"HTTP/1.1 200 OK\r\nPeridotreach-Request-Id: "
                  f"{head.get('peridotreach-request-id')}\r\n"
                  f"{STAMP[0]}: {STAMP[1]}\r\n\r\n").encode())
    for _ in range(PIECES // 2 if crashes else PIECES):
        writer.write(PIECE)
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
    if not crashes:
        await reader.readexactly(int(head.get("content-length")))
        writer.close()
        return
    # Unread bytes make the kernel reset the connection.
    writer.transport.abort()


async def call(bench, number, how):
    """Sends a long request. Returns what went wrong."""
    reader, writer = await bench.connect()
    writer.write(encode(f"POST /entry/{how} HTTP/1.1", [
        ("Host", HOST), ("X-Api-Key", KEY),
        ("Peridotreach-Request-Id", f"{how}-{number}"),
        ("Peridotreach-Deadline-Ms", "5000")], b"b" * BODY_BYTES))
    answer = await asyncio.wait_for(read_message(reader), 10)
    writer.close()
    if how == "whole":
        is_right = answer is not None and answer.status == 200 and \
            answer.body == PIECES * PIECE
        return [] if is_right else [f"whole: {answer and answer.status}"]
    if answer is not None and answer.status == 200:
        return [f"crash: {len(answer.body)} bytes passed on as complete"]
    return []


async def run(folder):
    """Plays both kinds. Returns what went wrong."""
    bench = Bench(NET, folder, "non_idempotent", serve, RECEIVE_BYTES,
                  max_body_bytes=BODY_BYTES)
    await bench.start()
    faults = []
    for how in ("whole", "crash"):
        for found in await asyncio.gather(*[call(bench, number, how)
                                            for number in range(CALLS)]):
            faults += found
    await bench.stop()
    return faults


with tempfile.TemporaryDirectory() as directory:
    faulty = asyncio.run(run(directory))
for fault in faulty:
    print(fault)
print(f"{2 * CALLS} calls, {len(faulty)} faults")
sys.exit(1 if faulty else 0)
