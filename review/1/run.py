"""A planned stop of a router that holds requests for which no engine has room
yet."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import (BOUNDS, ENGINE, Fleet, main, manifest, read_body,  # noqa: E402
                     read_head, request, route, trouble)
from model_engine import Book, ModelEngine  # noqa: E402

NET = "127.0.91"
# The engine's memory holds eight of these requests.
RUNNING = 10
WAITING = 4
TOKENS = "3000,1000"
# One event each 40 ms: the running requests last 20 s, within their time limit.
EVENTS = 500
SENT_BEFORE_STOP_S = 1.0


async def call(router, identity, record, stopped_at):
    """Sends one request. Returns what broke the rule."""
    reader, writer = await router.connect()
    sent = time.monotonic()
    record(f"client sends {identity} to {router.name}")
    writer.write(request("POST", "/report/1", identity, 39000, b"notes", [
        ("Peridotreach-Model", "m"), ("Peridotreach-Token-Usage", TOKENS),
        ("Peridotreach-Length-Hint", "1000"),
        ("Peridotreach-Prefix-Hash", f"5c1e07a2:80,{hash(identity) & 0xffff:x}:2920")]))
    head = await read_head(reader)
    took = time.monotonic() - sent
    if head is None:
        record(f"client: {identity} got a closed channel without an answer "
               f"after {took:.2f} s")
        writer.close()
        return identity, None
    complete = await read_body(reader, head)
    record(f"client: {identity} got {head.status} after {took:.2f} s, "
           f"{'complete' if complete else 'broken off'}")
    writer.close()
    return identity, head.status


async def play(folder, record):
    """Fills an engine, lets requests wait and stops their router."""
    fleet = Fleet(NET, folder, 2)
    try:
        await fleet.start(manifest(
            1, [route("report", "stream", "llm", 39000, slo_ms=4000)],
            [{"name": "llm", "max_conns": 222, "engine": ENGINE}]))
        book = Book(record, EVENTS)
        await ModelEngine(book, fleet.store, "i-0", "zone-a", f"{NET}.100",
                          framed=True).start()
        await fleet.wait_until_ready()
        stopped_at = []
        router = fleet.routers[0]
        running = [asyncio.ensure_future(
            call(fleet.routers[1], f"running-{n}", record, stopped_at))
            for n in range(RUNNING)]
        await asyncio.sleep(2)
        waiting = [asyncio.ensure_future(
            call(router, f"waiting-{n}", record, stopped_at))
            for n in range(WAITING)]
        await asyncio.sleep(SENT_BEFORE_STOP_S)
        if trouble():
            stopped_at.append(time.monotonic())
            record(f"SIGTERM to {router.name}")
            router.send(signal.SIGTERM)
            await asyncio.wait_for(router.process.wait(), BOUNDS["grace_s"])
            record(f"{router.name} ended after "
                   f"{time.monotonic() - stopped_at[0]:.1f} s with "
                   f"{router.process.returncode}")
        broken = []
        for identity, status in await asyncio.gather(*waiting):
            if status is None:
                broken.append(f"LOST: {identity} was read and its channel ended "
                              f"without an answer; runs at engines: "
                              f"{book.runs.get(identity, 0)}")
        for task in running:
            task.cancel()
        return broken
    finally:
        await fleet.stop()


main(play, FOLDER)
