"""Cases in which another writer puts entries beside those of the servers:
values of the largest size whose bytes cannot be read."""

import asyncio
import collections
import os
import tempfile
import time
import traceback

from paged_store import VALUE_BYTES
from rig import (BROKEN, HELD, MACHINE_LIMITS, NOT_RUN, Record, Rig,
                 end_on_sigterm)
from service import DRAIN_S, Server, call, calls_manifest

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = 3.0
# Calls of each router, when they are sent after drain_ms, and when the server
# exits after them.
CALLS = 8
CALLS_AFTER_DRAIN_S = 0.4
EXIT_AFTER_CALLS_S = 0.3
RESTART_S = 0.5
# How long each odd entry of a series stays, and the pause after it.
ENTRY_LIFE_S = 0.25
ENTRY_PAUSE_S = 0.05


def odd_entries(count):
    """Returns values that no reader can decode."""
    return {f"servers/odd-{number}": os.urandom(VALUE_BYTES)
            for number in range(count)}


async def start(rig, net, record):
    """Starts two servers and the routers. Returns the servers."""
    servers = [Server("i-1"), Server("i-2", work_s=0.6)]
    for number, server in enumerate(servers):
        await server.start(f"{net}.{101 + number}")
        rig.store.put(f"servers/{server.name}", server.entry("ready", 1))
    rig.store.put("op/config", calls_manifest())
    rig.store_address = await rig.start_store()
    await rig.start(rig.store_address)
    await asyncio.sleep(CONTACT_S + 0.5)
    for number in range(rig.count):
        status = await call(rig, f"before-{number}", number)
        if status != 200:
            raise RuntimeError(f"router {number} answered {status} at first")
    record.note(f"{rig.count} routers serve; servers i-1 and i-2 are ready")
    return servers


def write_odd_entries(rig, count, record):
    """Writes the entries in one call."""
    if not TROUBLE:
        record.note("no odd entries (TROUBLE=0)")
        return
    revision = rig.store.put_at_once(odd_entries(count))
    record.note(f"another writer puts {count} entries of {VALUE_BYTES} bytes "
                f"that cannot be read, in one call; revision {revision}")


async def play_drain(rig, net, record, count):
    """A server leaves after the odd entries were written. Returns whether the
    rule DRAIN was broken."""
    servers = await start(rig, net, record)
    write_odd_entries(rig, count, record)
    await asyncio.sleep(CONTACT_S)
    leaving = servers[1]
    leaving.is_leaving = True
    revision = rig.store.put_at_once(
        {"servers/i-2": leaving.entry("draining", 2)})
    loop = asyncio.get_running_loop()
    acknowledged_at = loop.time()
    record.note(f"i-2 reports draining; the store accepts it, revision "
                f"{revision}")
    await asyncio.sleep(DRAIN_S + CALLS_AFTER_DRAIN_S)
    calls = {(number, turn): asyncio.ensure_future(
                 call(rig, f"router{number}-{turn}", number))
             for number in range(rig.count) for turn in range(CALLS)}
    record.note(f"{CALLS} calls at each router")
    await asyncio.sleep(EXIT_AFTER_CALLS_S)
    await leaving.exit()
    rig.store.remove("servers/i-2")
    record.note(f"i-2 exits, {loop.time() - acknowledged_at:.2f} s after the "
                "store accepted its report")
    answers = {f"router{number}-{turn}": await task
               for (number, turn), task in calls.items()}
    record.note("answers to the calls: "
                f"{dict(collections.Counter(answers.values()))}")
    late = {identity: began - acknowledged_at
            for began, identity in leaving.begun
            if began - acknowledged_at > DRAIN_S}
    by_router = collections.Counter(name.split("-")[0] for name in late)
    record.note("calls that i-2 began to run over 2 s after that, by the "
                f"router that sent them: {dict(by_router)}")
    lost = {identity: answers[identity] for identity in late
            if identity not in leaving.ended}
    record.note(f"of these lost at its exit, with what the caller got: {lost}")
    for number in range(rig.count):
        if not rig.runs(number):
            raise RuntimeError(f"router {number} has ended")
    return bool(late)


async def put_in_turn(rig, record):
    """Puts odd entries, each under a key of its own, and removes each before
    the next one comes."""
    number = 0
    while True:
        number += 1
        key = f"servers/odd-{number}"
        rig.store.put_at_once({key: os.urandom(VALUE_BYTES)})
        await asyncio.sleep(ENTRY_LIFE_S)
        rig.store.remove(key)
        await asyncio.sleep(ENTRY_PAUSE_S)
        if number % 50 == 0:
            record.note(f"{number} odd entries were written and removed")


async def play_memory(rig, net, record, watch_s):
    """Acts as the platform does: kills a process that exceeds its memory, and
    starts it again. Returns whether the rule Fault was broken."""
    await start(rig, net, record)
    limit = MACHINE_LIMITS["memory_mb"]
    writer = None
    if TROUBLE:
        record.note("another writer puts one entry after the other, each of "
                    f"{VALUE_BYTES} bytes that cannot be read, and removes it "
                    f"after {ENTRY_LIFE_S} s")
        writer = asyncio.ensure_future(put_in_turn(rig, record))
    else:
        record.note("no odd entries (TROUBLE=0)")
    ends = [0] * rig.count
    highest = [0.0] * rig.count
    until = time.monotonic() + watch_s
    while time.monotonic() < until and min(ends) < 3:
        for number in range(rig.count):
            memory = rig.memory_mb(number)
            highest[number] = max(highest[number], memory)
            if memory <= limit and rig.runs(number):
                continue
            ends[number] += 1
            record.note(f"router {number} has taken {memory:.0f} MB of "
                        f"{limit} MB: killed, and started again; "
                        f"end {ends[number]}")
            if rig.runs(number):
                rig.processes[number].kill()
                await rig.processes[number].wait()
            await asyncio.sleep(RESTART_S)
            await rig.start_router(number, rig.store_address)
        await asyncio.sleep(0.02)
    record.note(f"highest memory {[round(mb) for mb in highest]} MB, ends of "
                f"the processes {ends}")
    if writer is not None:
        writer.cancel()
        listed = sum(key.startswith("servers/odd-") for key in rig.store.items)
        record.note(f"odd entries in the store at the end: {listed}")
    return min(ends) >= 3


def main(folder, net, routers, zones, play, *arguments):
    """Plays a case. Returns the exit code of its script."""
    async def run():
        end_on_sigterm()
        record = Record(folder)
        with tempfile.TemporaryDirectory() as directory:
            rig = Rig(net, directory, routers, zones)
            try:
                async with asyncio.timeout(110):
                    is_broken = await play(rig, net, record, *arguments)
            except (RuntimeError, OSError, TimeoutError):
                record.note("could not run: " + traceback.format_exc(limit=1))
                return NOT_RUN
            finally:
                await rig.stop()
        record.note("rule broken" if is_broken else "rule held")
        return BROKEN if is_broken else HELD

    return asyncio.run(run())
