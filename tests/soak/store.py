"""A stand-in of the platform's metadata store."""

import asyncio
import base64
import json
import urllib.parse

from http_wire import encode, read_message


class Store:
    """Items with revisions, leases and watches, in memory."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.leases = {}
        self.history = []
        self.oldest = 1
        self.era = 1
        self.changed = asyncio.Event()
        # Addresses that are listed in place of those that were registered.
        self.renamed = {}

    def put(self, key, value, lease=0):
        """Writes an item as the operator or an engine does."""
        self.revision += 1
        made = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "rev": self.revision, "created": made, "lease": lease}
        self.items[key] = item
        self._note(item)

    def remove(self, key):
        """Removes an item."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._note({"key": key, "rev": self.revision, "removed": True})

    def forget_history(self):
        """Drops the history, so that watches have to read anew."""
        self.history.clear()
        self.oldest = self.revision + 1

    def copy(self):
        """Returns a copy to which the store may be restored."""
        return self.revision, dict(self.items), dict(self.leases)

    def restore(self, copy):
        """Returns to a copy: what was written since is lost."""
        self.revision, self.items, self.leases = (copy[0], dict(copy[1]),
                                                  dict(copy[2]))
        self.era += 1
        self.forget_history()
        self.changed.set()
        self.changed = asyncio.Event()

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self):
        """Ends leases that were not renewed."""
        while True:
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            ended = [k for k, (until, _) in self.leases.items() if until < now]
            for lease in ended:
                self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    async def serve(self, reader, writer):
        """Serves one connection."""
        try:
            while (request := await read_message(reader)) is not None:
                status, body = await self._answer(request)
                writer.write(encode(f"HTTP/1.1 {status} X",
                                    [("Content-Type", "application/json"),
                                     ("Store-Era", str(self.era))],
                                    json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        now = asyncio.get_running_loop().time()
        if url.path == "/api/kv-range":
            prefix = query["path_prefix"]
            found = [i for k, i in sorted(self.items.items())
                     if k.startswith(prefix) and k > query.get("after", "")]
            return 200, {"items": found, "truncated": False,
                         "store_revision": self.revision}
        if url.path == "/api/kv-watch":
            return await self._watch(query)
        if url.path == "/api/kv-lease":
            lease = self.revision * 1000 + len(self.leases) + 1
            life = body["ttl_ms"]
            self.leases[lease] = (now + life / 1000, life)
            return 200, {"lease": lease, "ttl_ms": life}
        name, _, lease = url.path.rpartition("/")
        if name == "/api/kv-keep":
            if int(lease) not in self.leases:
                return 404, {}
            life = self.leases[int(lease)][1]
            self.leases[int(lease)] = (now + life / 1000, life)
            return 200, {"ttl_ms": life}
        if name == "/api/kv-lease-end":
            self._end(int(lease))
            return 200, {}
        if url.path == "/api/kv-txn":
            for row in body["expect_rev"]:
                held = self.items.get(row["key"], {}).get("rev", 0)
                if held != row["rev"]:
                    return 412, {"items": []}
            for key in body["remove"]:
                self.remove(key)
            for put in body["puts"]:
                if put["key"].startswith(("op/", "servers/")):
                    return 403, {}
                lease = put.get("lease", 0)
                if lease != 0 and lease not in self.leases:
                    return 404, {}
                value = base64.b64decode(put["value"])
                for listens, listed in self.renamed.items():
                    value = value.replace(f'"{listens}"'.encode(),
                                          f'"{listed}"'.encode())
                self.put(put["key"], value, lease)
            return 200, {"rev": self.revision}
        return 404, {}

    async def _watch(self, query):
        after = int(query["after"])
        if after + 1 < self.oldest or after > self.revision:
            return 410, {}
        wait = int(query["wait_ms"]) / 1000
        until = asyncio.get_running_loop().time() + wait
        while True:
            events = [e for e in self.history if e["rev"] > after
                      and e["key"].startswith(query["path_prefix"])]
            left = until - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass
