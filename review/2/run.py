"""An engine crashes in the middle of an answer that has no length, before it
has read the whole of a long request."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import (Fleet, entry, free_port, main, manifest, read_body,  # noqa: E402
                     read_head, request, route, trouble)

NET = "127.0.92"
CALLS = 6
BODY_BYTES = 4_000_000
PIECES = 40
PAUSE_MS = 50
CRASH_AFTER_S = 0.8


async def call(router, number, record):
    """Sends one long request. Returns what broke the rule."""
    identity = f"tally-{number}"
    reader, writer = await router.connect()
    record(f"client sends {identity}, {BODY_BYTES} bytes, to {router.name}")
    writer.write(request("POST", "/batch/1", identity, 15000, b"b" * BODY_BYTES))
    head = await read_head(reader)
    if head is None:
        record(f"client: {identity} got a closed channel")
        writer.close()
        return []
    complete = await read_body(reader, head)
    writer.close()
    whole = "".join(f"{identity} piece {n} of {PIECES}\n"
                    for n in range(1, PIECES + 1)).encode()
    record(f"client: {identity} got {head.status}, stamp "
           f"{head.get('Peridotreach-Response-Stamp') or 'none'}, "
           f"{len(head.body)} bytes, {'complete' if complete else 'broken off'}")
    if head.status == 200 and complete and head.body != whole:
        return [f"MIXED: {identity} got 200 with {len(head.body)} of "
                f"{len(whole)} bytes of the engine's body, as complete"]
    if not trouble() and not (head.status == 200 and complete):
        return [f"{identity} was not served without the disruption"]
    return []


async def note(engine, record, name):
    """Records what the engine says."""
    async for line in engine.stdout:
        record(f"{name} {line.decode().strip()}")


async def play(folder, record):
    """Sends long requests to an engine that crashes."""
    fleet = Fleet(NET, folder, 3)
    engine = None
    try:
        await fleet.start(manifest(
            1, [route("batch", "non_idempotent", "records", 15000)],
            [{"name": "records", "max_conns": 96}]))
        host = f"{NET}.100"
        port = free_port(host)
        engine = await asyncio.create_subprocess_exec(
            sys.executable, str(FOLDER.parent / "common" / "early_engine.py"),
            host, str(port), "i-0", str(PIECES), str(PAUSE_MS),
            stdout=asyncio.subprocess.PIPE)
        asyncio.ensure_future(note(engine, record, "i-0"))
        fleet.store.put("servers/i-0", entry("records", f"{host}:{port}",
                                             "zone-a", slots=6))
        await fleet.wait_until_ready()
        calls = [asyncio.ensure_future(call(fleet.routers[n % 3], n, record))
                 for n in range(CALLS)]
        await asyncio.sleep(CRASH_AFTER_S)
        if trouble():
            record("i-0 crashes (SIGKILL)")
            engine.kill()
        return [line for lines in await asyncio.gather(*calls) for line in lines]
    finally:
        if engine is not None and engine.returncode is None:
            engine.kill()
            await engine.wait()
        await fleet.stop()


main(play, FOLDER)
