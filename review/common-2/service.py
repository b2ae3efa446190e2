"""A plain service, its entry and its callers, for cases with calls."""

import asyncio
import contextlib
import json

from rig import HOST, KEY, STAMP, encode, manifest, read_message

DRAIN_S = 2.0
SERVICE = "terminal"


def calls_manifest():
    """Returns a manifest with one route of calls that must not run twice."""
    return manifest(
        [{"name": "record", "host": HOST, "path_prefix": "/record/",
          "type": "non_idempotent", "timeout_ms": 1500, "slo_ms": 150,
          "priority": 2, "service": SERVICE, "attempts": 1,
          "public": False}],
        [{"name": SERVICE, "health_path": "/health", "max_conns": 96}])


def head(identity, framing, deadline_ms=1500):
    """Returns the first lines of a call, without the end of the header."""
    return (f"POST /record/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n"
            f"Peridotreach-Request-Id: {identity}\r\n"
            f"Peridotreach-Deadline-Ms: {deadline_ms}\r\n"
            f"{framing}\r\n").encode()


class Server:
    """A sound server of a plain service. Notes when each request began."""

    def __init__(self, name, work_s=0.03):
        self.name = name
        self.work_s = work_s
        self.begun = []
        self.ended = set()
        self.address = ""
        self.listener = None
        self.is_leaving = False
        self.exited = False
        self.writers = set()

    async def start(self, host):
        """Starts to listen on a free port."""
        self.listener = await asyncio.start_server(self._serve, host, 0,
                                                   backlog=1000)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]

    def entry(self, state, sequence):
        """Returns the server's entry in the store."""
        return json.dumps({
            "service": SERVICE, "address": self.address, "zone": "pernik-a",
            "version": "v1", "slots": 6, "state": state, "cold_left_ms": 0,
            "seq": sequence}).encode()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(OSError):
            while (message := await read_message(reader)) is not None:
                identity = message.get("peridotreach-request-id")
                now = asyncio.get_running_loop().time()
                self.begun.append((now, identity))
                await asyncio.sleep(self.work_s)
                if self.exited:
                    return
                self.ended.add(identity)
                headers = [("Peridotreach-Request-Id", identity), STAMP]
                if self.is_leaving:
                    headers += [("Server-Leaving", "1"),
                                ("Connection", "close")]
                writer.write(encode("HTTP/1.1 200 OK", headers, b"served"))
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def exit(self):
        """Ends as a process does: what it was running is lost."""
        self.exited = True
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(rig, identity, number=0, timeout_s=2.0):
    """Sends a call on a connection of its own. Returns its status, None if there
    is no answer."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(timeout_s):
            reader, writer = await rig.connect(number=number)
            try:
                writer.write(head(identity, "Content-Length: 4") +
                             b"\r\nbody")
                answer = await read_message(reader)
                return answer and answer.status
            finally:
                writer.close()
    return None
