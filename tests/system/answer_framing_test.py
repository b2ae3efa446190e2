#!/usr/bin/env python3
"""Answers of endpoints with and without a length or chunks. One that has neither
ends with its connection; it is passed on as complete only if it was."""

import asyncio
import socket
import struct
import sys
import tempfile

from router_bench import Bench, STAMP, read_message, request

NET = "127.0.36"
EVENTS = b"id: 0\ndata: a\n\nid: 1\ndata: b\n\n"
PARTIAL = b"id: 2\ndata: c"
BODY = b"the whole body"
CHUNKED = "Transfer-Encoding: chunked\r\n"
# Kind of route, headers, body, whether the connection is reset at the end, and
# the body that the caller gets; None if the answer must not look complete.
CASES = {
    "plain": ("idempotent", "", BODY, False, BODY),
    "plain-empty": ("idempotent", "", b"", False, b""),
    "plain-reset": ("idempotent", "", BODY, True, None),
    "events": ("stream", "", EVENTS, False, EVENTS),
    "events-reset": ("stream", "", EVENTS, True, None),
    "inside-event": ("stream", "", EVENTS + PARTIAL, False, None),
    "inside-first-event": ("stream", "", PARTIAL, False, None),
    "no-event": ("stream", "", b"", False, None),
    "no-event-reset": ("stream", "", b"", True, None),
    "chunks": ("stream", CHUNKED, b"%x\r\n%s\r\n0\r\n\r\n" %
               (len(EVENTS), EVENTS), False, EVENTS),
    "chunks-no-event": ("stream", CHUNKED, b"0\r\n\r\n", False, b""),
    "chunks-inside-event": ("stream", CHUNKED, b"%x\r\n%s\r\n0\r\n\r\n" %
                            (len(PARTIAL), PARTIAL), False, None),
    "chunks-cut": ("stream", CHUNKED, b"%x\r\n%s\r\n" % (len(EVENTS), EVENTS),
                   False, None),
}
# Heads that end early: in the status line, in the name or value of a header,
# before the empty line and inside of it.
HEAD = ("HTTP/1.1 200 OK\r\nPeridotreach-Request-Id: {identity}\r\n"
        f"{STAMP[0]}: {STAMP[1]}\r\nContent-Type: text/event-stream\r\n"
        "Content-Length: 27\r\n\r\n")
HEAD_ENDS = ["HTTP/1.1 2", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n", STAMP[0],
             f"{STAMP[0]}: {STAMP[1]}\r\n", "text/event", "Content-Length: ",
             "Content-Length: 2", "Content-Length: 27", "Content-Length: 27\r\n",
             "Content-Length: 27\r\n\r"]
# Lets the router read what was sent before a reset discards it.
RESET_DELAY_S = 0.1


async def serve_cut_head(message, name, writer):
    """Sends a part of a head and closes, or resets, the connection."""
    _, number, how = name.split("-")
    head = HEAD.format(identity=message.get("peridotreach-request-id"))
    end = HEAD_ENDS[int(number)]
    writer.write(head[:head.index(end) + len(end)].encode())
    await writer.drain()
    if how == "reset":
        await reset(writer)
    else:
        writer.close()


async def reset(writer):
    """Resets a connection."""
    await asyncio.sleep(RESET_DELAY_S)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def play_cut_head(bench, name):
    """Plays one cut head. Returns what went wrong."""
    reader, writer = await bench.connect()
    writer.write(request("/entry/" + name))
    answer = await asyncio.wait_for(read_message(reader), 5)
    writer.close()
    if answer is not None and answer.status == 502:
        return []
    return [f"{name}: the caller got {answer and answer.status}"]


async def serve(reader, writer):
    """Answers one request as the case says that its path names."""
    message = await read_message(reader)
    if message is None:
        writer.close()
        return
    name = message.target.rpartition("/")[2]
    if name.startswith("head-"):
        await serve_cut_head(message, name, writer)
        return
    kind, headers, body, is_reset, _ = CASES[name]
    if kind == "stream":
        headers += "Content-Type: text/event-stream\r\n"
    identity = message.get("peridotreach-request-id")
    writer.write((f"HTTP/1.1 200 OK\r\nPeridotreach-Request-Id: {identity}\r\n"
                  f"{STAMP[0]}: {STAMP[1]}\r\n{headers}\r\n").encode() + body)
    await writer.drain()
    if is_reset:
        await reset(writer)
        return
    writer.close()


async def play(bench, name):
    """Plays one case. Returns what went wrong."""
    expected = CASES[name][-1]
    reader, writer = await bench.connect()
    writer.write(request("/entry/" + name))
    answer = await asyncio.wait_for(read_message(reader), 5)
    writer.close()
    is_success = answer is not None and answer.status == 200
    if expected is None:
        return [f"{name}: passed on as complete"] if is_success else []
    if not is_success:
        return [f"{name}: the caller got no success"]
    if answer.body != expected:
        return [f"{name}: the caller got {answer.body!r}"]
    return []


async def run(folder, kind):
    """Plays the cases on one kind of route."""
    bench = Bench(NET, folder, kind, serve)
    await bench.start()
    faults = []
    for name, case in CASES.items():
        if case[0] == kind:
            faults += await play(bench, name)
    for number in range(len(HEAD_ENDS)):
        for how in ("close", "reset"):
            faults += await play_cut_head(bench, f"head-{number}-{how}")
    await bench.stop()
    return faults


found = []
for route_kind in ("idempotent", "stream"):
    with tempfile.TemporaryDirectory() as directory:
        found += asyncio.run(run(directory, route_kind))
for fault in found:
    print(fault)
print(f"{len(CASES)} cases, {len(HEAD_ENDS)} cut heads, {len(found)} faults")
sys.exit(1 if found else 0)
