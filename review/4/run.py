"""A planned stop while a caller's kept channel carries a stream: the caller's
next stream on that channel."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import (BOUNDS, ENGINE, Fleet, encode, main, manifest,  # noqa: E402
                     read_chunk, read_head, read_message, request, route,
                     trouble)
from model_engine import Book, ModelEngine  # noqa: E402

NET = "127.0.94"
CALLERS = 4
EVENTS = 175
# The pages' excuse: a request that was sent no later than 3 s after the SIGTERM
# and was still at work in the last sixth of the grace period.
EXCUSED_UNTIL_S = 3.0
PAUSE_S = 0.3


async def look_up(router):
    """Returns the addresses to use and the time for which they are kept."""
    reader, writer = await asyncio.open_connection(
        *router.listen["directory"].split(":"))
    writer.write(encode("GET /api/lookup?name=review.example&region=region&"
                        f"zone={router.zone} HTTP/1.1", [("Host", "d")]))
    answer = await read_message(reader)
    writer.close()
    return answer.body.decode() if answer else ""


async def stream(channel, identity, record):
    """Sends a stream's request. Returns the number of events, whether the
    answer was complete, whether the channel is kept, and the status."""
    reader, writer = channel
    record(f"client sends {identity}")
    try:
        writer.write(request("POST", "/report/1", identity, 39000, b"notes", [
            ("Peridotreach-Model", "m"),
            ("Peridotreach-Token-Usage", "1460,800"),
            ("Peridotreach-Prefix-Hash", "5c1e07a2:800,91bd3f06:660")]))
        await writer.drain()
        head = await read_head(reader)
    except OSError:
        head = None
    if head is None:
        record(f"client: {identity} got a closed channel")
        return 0, False, False, None
    record(f"client: {identity} has {head.status}, connection "
           f"{head.get('connection') or 'kept'}")
    if head.status != 200:
        return 0, True, False, head.status
    events = 0
    while (chunk := await read_chunk(reader)) is not None:
        events += chunk.count(b"\n\n")
        if not chunk:
            break
    complete = chunk is not None
    record(f"client: {identity} has {events} of {EVENTS} events, "
           f"{'complete' if complete else 'broken off'}")
    return events, complete, head.get("connection") != "close", head.status


async def caller(router, number, begin, stopped_at, record):
    """Sends streams one after another on a kept channel, as long as its
    addresses hold. Returns what broke the rule."""
    await asyncio.sleep(begin)
    channel = await router.connect()
    kept, turn, broken = True, 0, []
    while kept and turn < 2:
        turn += 1
        identity = f"report-{number}-{turn}"
        sent = time.monotonic()
        events, complete, kept, status = await stream(channel, identity, record)
        passed_on = status == 200
        late = stopped_at and sent - stopped_at[0] > EXCUSED_UNTIL_S
        if passed_on and not complete and late:
            broken.append(
                f"LOST: {identity}, sent {sent - stopped_at[0]:.1f} s after the "
                f"SIGTERM, was passed on and cut off after {events} events")
    channel[1].close()
    return broken


async def play(folder, record):
    """Stops one of two routers under streams."""
    fleet = Fleet(NET, folder, 2)
    try:
        await fleet.start(manifest(
            1, [route("report", "stream", "llm", 39000, slo_ms=4000)],
            [{"name": "llm", "max_conns": 222, "engine": ENGINE}]))
        book = Book(record, EVENTS)
        for i in range(2):
            await ModelEngine(book, fleet.store, f"i-{i}", f"zone-{'ab'[i]}",
                              f"{NET}.{100 + i}", framed=True).start()
        await fleet.wait_until_ready()
        router, stopped_at = fleet.routers[0], []
        # Streams last 7 s; they end 3.2 to 4.7 s after the SIGTERM.
        calls = [asyncio.ensure_future(
            caller(router, n, n * 0.5, stopped_at, record))
            for n in range(CALLERS)]
        await asyncio.sleep(3.4)
        record(f"lookup: {await look_up(router)}")
        await asyncio.sleep(0.4)
        if trouble():
            stopped_at.append(time.monotonic())
            record("SIGTERM to the router of the callers")
            router.send(signal.SIGTERM)
            await asyncio.sleep(0.5)
            record(f"lookup: {await look_up(fleet.routers[1])}")
        broken = [line for lines in await asyncio.gather(*calls)
                  for line in lines]
        if trouble():
            await asyncio.wait_for(router.process.wait(), BOUNDS["grace_s"])
            record(f"the router ended after "
                   f"{time.monotonic() - stopped_at[0]:.1f} s")
        return broken
    finally:
        await fleet.stop()


main(play, FOLDER)
