"""Streams with neither a length nor chunks, whose engine leaves in plan."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import (ENGINE, Fleet, main, manifest, read_chunk, read_head,  # noqa: E402
                     request, route, trouble)
from model_engine import Book, ModelEngine  # noqa: E402

NET = "127.0.93"
STREAMS = 6
EVENTS = 200
LEAVES_AFTER_S = 2.0


async def call(router, number, record):
    """Sends one stream's request. Returns what broke the rule."""
    identity = f"stream-{number}"
    reader, writer = await router.connect()
    record(f"client sends {identity} to {router.name}")
    writer.write(request("POST", "/report/1", identity, 39000, b"lot notes", [
        ("Peridotreach-Model", "m"), ("Peridotreach-Token-Usage", "1460,800"),
        ("Peridotreach-Prefix-Hash", f"5c1e07a2:800,{number:x}:660")]))
    head = await read_head(reader)
    if head is None or head.status != 200:
        record(f"client: {identity} got "
               f"{'a closed channel' if head is None else head.status}")
        writer.close()
        return []
    buffer, complete = b"", False
    while (chunk := await read_chunk(reader)) is not None:
        buffer += chunk
        if not chunk:
            complete = True
            break
    writer.close()
    got = [event.split(b"data: ")[-1].decode()
           for event in buffer.split(b"\n\n") if event]
    due = [f"{identity}/{n}" for n in range(1, EVENTS + 1)]
    record(f"client: {identity} has {len(got)} of {EVENTS} events, "
           f"{'complete' if complete else 'broken off'}")
    if got != due[:len(got)]:
        return [f"ORDER: {identity}: pieces missing, doubled or foreign"]
    if complete and len(got) < EVENTS:
        return [f"ORDER: {identity} ended as complete after {len(got)} of "
                f"{EVENTS} events"]
    return []


async def play(folder, record):
    """Runs streams on two engines; one of them leaves."""
    fleet = Fleet(NET, folder, 2)
    try:
        await fleet.start(manifest(
            1, [route("report", "stream", "llm", 39000, slo_ms=4000)],
            [{"name": "llm", "max_conns": 222, "engine": ENGINE}]))
        book = Book(record, EVENTS)
        engines = [ModelEngine(book, fleet.store, f"i-{i}", f"zone-{'ab'[i]}",
                               f"{NET}.{100 + i}", framed=False)
                   for i in range(2)]
        for engine in engines:
            await engine.start()
        await fleet.wait_until_ready()
        calls = [asyncio.ensure_future(call(fleet.routers[n % 2], n, record))
                 for n in range(STREAMS)]
        await asyncio.sleep(LEAVES_AFTER_S)
        if trouble():
            engines[0].leave()
        broken = [line for lines in await asyncio.gather(*calls)
                  for line in lines]
        record(f"runs: {book.runs}")
        return broken
    finally:
        await fleet.stop()


main(play, FOLDER)
