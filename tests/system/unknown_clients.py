#!/usr/bin/env python3
"""Crowds of clients and endpoints that break off, never end or do not read, at
a router of a small VM. The process lives, stays within the VM's memory and
descriptors, and answers an ordinary caller while the crowd is still connected.

usage: unknown_clients.py ROW"""

import asyncio
import hashlib
import os
import socket
import sys
import tempfile

from router_bench import STAMP, Bench, encode, read_message, request

NET = "127.0.25"
MEMORY_MB = 110
MAX_BODY = 4 << 20
# Several of the router's reads.
MAX_HEADER = 16 << 10
# Descriptors that the platform sets aside for files.
FILE_FDS = 200
CROWD = 60
# Sent by each client of which the bytes have no end.
ENDLESS_BYTES = 8 << 20
STREAM_READERS = 400
STREAM_EVENT = b"data: " + b"x" * 16384 + b"\n\n"
STREAM_EVENTS = 64
IDLE_CLIENTS = 300
SMALL_MAX_FDS = 400
# After this long a crowd is complete even if the router reads no more of it.
CROWD_S = 20
PATIENCE_S = 60
BLOCK = 64 << 10

CHUNKED = b"Transfer-Encoding: chunked"
CHUNK = b"10000\r\n" + b"x" * BLOCK + b"\r\n"
TINY_CHUNKS = b"1\r\nx\r\n" * BLOCK


def head(framing, path="/entry/crowd", name="r"):
    """Returns the head of a request whose body is framed like this."""
    raw = request(path, name, deadline_ms=PATIENCE_S * 1000)
    return raw[:raw.index(b"Content-Length")] + framing + b"\r\n\r\n"


def blocks_of(row):
    """Returns the first bytes of a client, the block that it repeats, how often,
    and its last bytes."""
    chunked = head(CHUNKED)
    whole = head(b"Content-Length: %d" % MAX_BODY)
    endless = ENDLESS_BYTES // BLOCK
    whole_blocks = MAX_BODY // BLOCK
    line = b"X-Trailer: " + b"x" * 51 + b"\r\n"
    # Reads of a power of two bytes end with the first byte of a line, of which
    # the parser cannot tell yet whether it belongs to the line before.
    begun = chunked[:-2]
    padding = b"X-Padding: %b\r\n" % (b"x" * (-(len(begun) + 14) % len(line)))
    return {
        "header_lines": (begun + padding + line[:1],
                         (line[1:] + line[:1]) * (BLOCK // len(line)), endless,
                         b""),
        "trailers": (chunked + b"1\r\nx\r\n0\r\n", line * (BLOCK // len(line)),
                     endless, b""),
        "trailer_line": (chunked + b"1\r\nx\r\n0\r\nX-Trailer: ", b"x" * BLOCK,
                         endless, b""),
        "chunk_extension": (chunked + b"4;", b"x" * BLOCK, endless, b""),
        "whole_bodies": (whole, b"x" * (MAX_BODY - 1), 1, b""),
        "pieces": (whole, b"x" * BLOCK, whole_blocks - 1, b"x" * (BLOCK - 1)),
        "large_chunks": (chunked, CHUNK, whole_blocks, b""),
        "tiny_chunks": (chunked, TINY_CHUNKS, whole_blocks, b""),
        "one_chunk": (chunked + b"%x\r\n" % (MAX_BODY - BLOCK), b"x" * BLOCK,
                      whole_blocks - 2, b"x" * (BLOCK - 1)),
        "slow_endpoint": (whole, b"x" * BLOCK, whole_blocks, b""),
    }[row]


# What half of the idle clients send.
BEGUN = {"idle": head(CHUNKED)[:40],
         "begun_bodies": head(b"Content-Length: 1000") + b"x"}


async def serve(reader, writer):
    """An endpoint that answers by the last part of the path."""
    raw = await reader.readuntil(b"\r\n\r\n")
    if b"/entry/crowd" in raw:
        writer.transport.pause_reading()
        await asyncio.sleep(PATIENCE_S)
        writer.close()
        return
    length = int(raw.lower().partition(b"content-length: ")[2].split()[0])
    body = await reader.readexactly(length)
    name = raw.partition(b"Request-Id: ")[2].partition(b"\r\n")[0].decode()
    headers = [("Peridotreach-Request-Id", name), STAMP]
    if b"/entry/stream" not in raw:
        digest = hashlib.sha256(body).hexdigest().encode()
        writer.write(encode("HTTP/1.1 200 OK", headers, digest))
    else:
        headers += [("Content-Type", "text/event-stream"),
                    ("Transfer-Encoding", "chunked")]
        lines = ["HTTP/1.1 200 OK"] + [f"{n}: {v}" for n, v in headers]
        writer.write("\r\n".join(lines + ["", ""]).encode())
        try:
            for _ in range(STREAM_EVENTS):
                writer.write(b"%x\r\n%b\r\n" % (len(STREAM_EVENT), STREAM_EVENT))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        except OSError:
            pass
    writer.close()


class Usage:
    """The highest memory and number of descriptors of the router so far."""

    def __init__(self, bench):
        self.bench = bench
        self.memory_mb = 0
        self.sockets = 0

    def unread_bytes(self):
        """Returns what has arrived at the router's callers' port unread."""
        host = socket.inet_aton(self.bench.router.host)[::-1].hex().upper()
        local = [f"{host}:{self.bench.router.ports[name]:04X}"
                 for name in ("front", "directory")]
        with open("/proc/net/tcp", encoding="ascii") as table:
            rows = [line.split() for line in table]
        return sum(int(row[4].split(":")[1], 16) for row in rows
                   if row[1] in local and row[3] != "0A")

    async def watch(self):
        """Follows the router until it is cancelled."""
        folder = f"/proc/{self.bench.router.process.pid}/fd"
        while True:
            try:
                names = os.listdir(folder)
                links = [os.readlink(f"{folder}/{name}") for name in names]
            except OSError:
                links = []
            unread_mb = self.unread_bytes() / (1 << 20)
            self.memory_mb = max(self.memory_mb,
                                 self.bench.memory_mb() + unread_mb)
            self.sockets = max(self.sockets, sum(
                link.startswith(("socket", "pipe")) for link in links))
            await asyncio.sleep(0.05)


async def send_crowd(bench, row, port):
    """Opens the crowd. Returns its connections."""
    first, block, count, last = blocks_of(row)

    async def send(writer):
        try:
            writer.write(first)
            for _ in range(count):
                writer.write(block)
                await writer.drain()
            writer.write(last)
            await writer.drain()
        except OSError:
            pass

    callers = [await bench.connect(port) for _ in range(CROWD)]
    tasks = [asyncio.ensure_future(send(writer)) for _, writer in callers]
    await asyncio.wait(tasks, timeout=CROWD_S)
    # The last bytes are on their way.
    await asyncio.sleep(1)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return [writer for _, writer in callers]


async def open_streams(bench):
    """Opens streams whose callers stop to read after the first event."""
    callers = []

    async def open_one(number):
        near = socket.socket()
        near.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        near.setblocking(False)
        await asyncio.get_running_loop().sock_connect(
            near, (bench.router.host, bench.router.ports["front"]))
        reader, writer = await asyncio.open_connection(sock=near)
        callers.append(writer)
        writer.write(request("/entry/stream", f"s-{number}",
                             PATIENCE_S * 1000))
        try:
            await reader.readuntil(b"data: ")
        except (asyncio.IncompleteReadError, OSError):
            pass
        writer.transport.pause_reading()

    await asyncio.wait([asyncio.ensure_future(open_one(number))
                        for number in range(STREAM_READERS)], timeout=CROWD_S)
    await asyncio.sleep(2)
    return callers


async def open_idle(bench, port, begun):
    """Opens connections of which half never send, half only send `begun`."""
    callers = []
    for number in range(IDLE_CLIENTS):
        try:
            _, writer = await bench.connect(port)
        except OSError:
            continue
        if number % 2:
            writer.write(begun)
        callers.append(writer)
        await asyncio.sleep(0)
    await asyncio.sleep(1)
    return callers


async def ask(bench, raw):
    """Returns the answer to a request on a connection of its own."""
    reader, writer = await bench.connect()
    try:
        async with asyncio.timeout(PATIENCE_S):
            writer.write(raw)
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        writer.close()


async def check_calm(bench):
    """Sends a body of the largest size in each framing."""
    body = os.urandom(MAX_BODY)
    digest = hashlib.sha256(body).hexdigest().encode()
    chunks = b"".join(b"%x\r\n%b\r\n" % (BLOCK, body[at:at + BLOCK])
                      for at in range(0, MAX_BODY, BLOCK))
    faults = []
    for framing, framed in ((b"Content-Length: %d" % MAX_BODY, body),
                            (CHUNKED, chunks + b"0\r\n\r\n")):
        answer = await ask(bench, head(framing, "/entry/whole") + framed)
        if answer is None or answer.status != 200 or answer.body != digest:
            faults.append(f"{framing}: {answer and answer.status}")
    return faults


async def run(folder, name):
    """Plays one row. Returns what went wrong."""
    row = name.removeprefix("directory_")
    port = "directory" if row != name else "front"
    is_stream = row == "stream_readers"
    max_fds = SMALL_MAX_FDS if row in BEGUN else 4100
    limits = {"max_header_bytes": MAX_HEADER} if row == "header_lines" else {}
    bench = Bench(NET, folder, "stream" if is_stream else "non_idempotent",
                  serve, receive_bytes=16384,
                  vm={"memory_mb": MEMORY_MB, "max_fds": max_fds},
                  timeout_ms=PATIENCE_S * 1000, max_body_bytes=MAX_BODY,
                  idle_timeout_ms=PATIENCE_S * 1000,
                  header_timeout_ms=PATIENCE_S * 1000, **limits)
    await bench.start()
    usage = Usage(bench)
    watch = asyncio.ensure_future(usage.watch())
    callers, faults, answer = [], [], None
    if row == "calm":
        faults = await check_calm(bench)
    elif is_stream:
        callers = await open_streams(bench)
    elif row in BEGUN:
        callers = await open_idle(bench, port, BEGUN[row])
    else:
        callers = await send_crowd(bench, row, port)
    path = "/entry/stream" if is_stream else "/entry/ordinary"
    if bench.router.process.returncode is not None:
        faults.append("the router ended")
    else:
        answer = await ask(bench, request(path, "ordinary", PATIENCE_S * 1000))
    if answer is None or answer.status != 200:
        faults.append(f"an ordinary request got {answer and answer.status}")
    elif is_stream and answer.body != STREAM_EVENT * STREAM_EVENTS:
        faults.append(f"an ordinary stream had {len(answer.body)} bytes")
    watch.cancel()
    if usage.memory_mb > MEMORY_MB:
        faults.append(f"{usage.memory_mb:.0f} MB of {MEMORY_MB}")
    if usage.sockets > max_fds - FILE_FDS:
        faults.append(f"{usage.sockets} sockets of {max_fds - FILE_FDS}")
    print(f"{name}: {usage.memory_mb:.0f} MB, {usage.sockets} sockets")
    for writer in callers:
        writer.transport.abort()
    await bench.stop()
    return faults


with tempfile.TemporaryDirectory() as directory:
    found = asyncio.run(run(directory, sys.argv[1]))
for fault in found:
    print(fault)
sys.exit(1 if found else 0)
