#!/usr/bin/env python3
"""A watch whose answer was lost while the store was silent does not keep a
router from the changes after the store's return."""

import asyncio
import json
import os
import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests" / "soak"))

from proxy import Proxy  # noqa: E402
from soak import Router  # noqa: E402
from store import Store  # noqa: E402

BUILD = pathlib.Path(os.environ.get("PERIDOT_BUILD", ROOT / "build"))
NET = "127.0.24"
PATIENCE_S = 30

# The platform's time to catch up after an outage, and slack for a busy machine;
# the lost watch itself would wait for 15 s at the least.
CATCH_UP_S = 4
SLACK_S = 6


def manifest(version):
    """Returns a manifest without routes."""
    return json.dumps({"version": version, "routes": [],
                       "services": []}).encode()


async def wait_for(router, text, patience):
    """Waits for a text in the router's log. Returns whether it came."""
    for _ in range(int(patience * 20)):
        if text in pathlib.Path(router.log).read_text(encoding="utf-8"):
            return True
        await asyncio.sleep(0.05)
    return False


async def run(folder):
    """Returns what went wrong."""
    store = Store()
    server = await asyncio.start_server(store.serve, f"{NET}.200", 0)
    proxy = Proxy("%s:%d" % server.sockets[0].getsockname()[:2])
    await proxy.start(f"{NET}.201")
    store.put("op/config", manifest(1))
    router = Router(str(BUILD / "peridot-router"), folder, NET, 0,
                    proxy.address)
    router.write_settings([])
    await router.start()
    faults = []
    try:
        if not await wait_for(router, '"version":"1"', PATIENCE_S):
            return ["the first manifest was not taken"]
        await asyncio.sleep(1.0)
        proxy.mode = "silent"
        store.put("op/config", manifest(2))
        if not await wait_for(router, '"store_lost"', PATIENCE_S):
            return ["the silence was not noticed"]
        proxy.mode = "pass"
        if not await wait_for(router, '"version":"2"', CATCH_UP_S + SLACK_S):
            faults.append("the change was not taken after the store's return")
    finally:
        router.process.kill()
        await router.ended()
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    return faults


with tempfile.TemporaryDirectory() as directory:
    found = asyncio.run(run(directory))
for fault in found:
    print(fault)
print("0 faults" if not found else f"{len(found)} faults")
sys.exit(1 if found else 0)
