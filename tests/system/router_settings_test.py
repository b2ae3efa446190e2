#!/usr/bin/env python3
"""A router takes changed settings with and without a signal, and keeps those
in force when the file cannot be read."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests" / "soak"))

from soak import Router  # noqa: E402
from store import Store  # noqa: E402

BUILD = pathlib.Path(os.environ.get("PERIDOT_BUILD", ROOT / "build"))
NET = "127.0.21"
PATIENCE_S = 30


def lines_of(router, message):
    """Returns the log lines of one kind."""
    found = []
    for line in pathlib.Path(router.log).read_text().splitlines():
        if line.startswith("{"):
            entry = json.loads(line)
            if entry["message"] == message:
                found.append(entry)
    return found


async def wait_for(router, message, count):
    """Waits for log lines of one kind. Returns the last one."""
    for _ in range(PATIENCE_S * 20):
        found = lines_of(router, message)
        if len(found) >= count:
            return found[-1]
        await asyncio.sleep(0.05)
    raise AssertionError(f"{router.name} did not log {message!r}")


def change(router, **fields):
    """Writes the settings file with other values."""
    with open(router.path, encoding="utf-8") as file:
        settings = json.load(file)
    for path, value in fields.items():
        place = settings
        *parents, last = path.split("__")
        for parent in parents:
            place = place[parent]
        place[last] = value
    with open(router.path, "w", encoding="utf-8") as file:
        json.dump(settings, file)


async def run(folder):
    """Runs the cases one after another."""
    store, other_store = Store(), Store()
    servers = [await asyncio.start_server(s.serve, f"{NET}.200", 0)
               for s in (store, other_store)]
    places = ["%s:%d" % s.sockets[0].getsockname()[:2] for s in servers]
    router = Router(str(BUILD / "peridot-router"), folder, NET, 0, places[0])
    router.write_settings([])
    await router.start()
    await wait_for(router, "started", 1)
    while not store.items:
        await asyncio.sleep(0.05)

    router.send(signal.SIGHUP)
    entry = await wait_for(router, "reloaded", 1)
    assert entry["changed"] == "false", entry

    change(router, bounds__retry_slack=9, provider__address=places[1])
    entry = await wait_for(router, "reloaded", 2)
    assert entry["cause"] == "file written", entry
    assert entry["changed"] == "true", entry
    for _ in range(PATIENCE_S * 20):
        if other_store.items:
            break
        await asyncio.sleep(0.05)
    assert other_store.items, "the router does not use the changed store"

    change(router, zone="elsewhere", bounds__grace_s=3)
    router.send(signal.SIGHUP)
    entry = await wait_for(router, "settings_need_restart", 1)
    assert entry["settings"] == "zone", entry

    pathlib.Path(router.path).write_text("{")
    router.send(signal.SIGHUP)
    await wait_for(router, "settings_unreadable", 1)
    assert router.process.returncode is None

    router.send(signal.SIGTERM)
    await router.ended()
    assert router.process.returncode == 0, router.process.returncode
    # The stand-ins' calls that still wait are cut off; that says nothing.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)


with tempfile.TemporaryDirectory() as directory:
    asyncio.run(run(directory))
print("settings are taken while the router runs")
