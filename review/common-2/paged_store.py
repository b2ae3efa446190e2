"""The project's stand-in of the store, with what the pages say besides: reads
in pages, writes of several items at once, and a history that is dropped."""

import asyncio
import pathlib
import sys
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests" / "soak"))

from store import Store  # noqa: E402

# A page has at most about this many items or bytes.
PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20
HISTORY_S = 20
VALUE_BYTES = 1048576
WRITE_ENTRIES = 32


class PagedStore(Store):
    """A store that keeps `HISTORY_S` of history."""

    def __init__(self):
        super().__init__()
        self.noted = []

    def put_at_once(self, items):
        """Writes items in one call, at one revision. Returns it."""
        if len(items) > WRITE_ENTRIES:
            raise ValueError("too many entries for one call")
        if any(len(value) > VALUE_BYTES for value in items.values()):
            raise ValueError("a value is too large")
        revision = self.revision + 1
        for key, value in items.items():
            self.revision = revision - 1
            self.put(key, value)
        return revision

    def _note(self, event):
        super()._note(event)
        self.noted.append((asyncio.get_running_loop().time(), event["rev"]))

    async def drop_history(self):
        """Drops what is older than the platform's settings say."""
        while True:
            await asyncio.sleep(0.25)
            until = asyncio.get_running_loop().time() - HISTORY_S
            while self.noted and self.noted[0][0] < until:
                self.oldest = max(self.oldest, self.noted.pop(0)[1] + 1)
            self.history = [event for event in self.history
                            if event["rev"] >= self.oldest]

    async def _answer(self, request):
        status, body = await super()._answer(request)
        path = urllib.parse.urlsplit(request.target).path
        if status != 200 or path != "/api/kv-range":
            return status, body
        page, size = [], 0
        for item in body["items"]:
            length = len(item["value"]) + 200
            if page and (len(page) == PAGE_ITEMS or size + length > PAGE_BYTES):
                body["truncated"] = True
                break
            page.append(item)
            size += length
        body["items"] = page
        return status, body
