"""A request whose transfer coding is not chunked carries another request in its
body."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent / "common"))

from harness import (HOST, KEY, REQUEST_ID, STAMP, Fleet, encode, entry,  # noqa: E402
                     free_port, main, manifest, read_message, request, route,
                     trouble)

NET = "127.0.95"
# RFC 9112, 6.3: a request whose final transfer coding is not chunked has a body
# of unknown length; a server answers 400 and closes the connection.
CODINGS = ["gzip", "identity", "chunked, identity"]
ANSWERS_WITHIN_S = 2.0


class Engine:
    """A stand-in of a plain service's engine; notes what it runs."""

    def __init__(self, name, record):
        self.name, self.record, self.ran = name, record, []

    async def serve(self, reader, writer):
        """Serves one channel."""
        while (message := await read_message(reader)) is not None:
            identity = message.get(REQUEST_ID)
            if message.get("Peridotreach-Target-Instance") != self.name:
                writer.write(encode("HTTP/1.1 421 Misdirected Request", []))
                continue
            self.ran.append((identity, message.first, len(message.body)))
            self.record(f"{self.name} runs {identity}: {message.first}, "
                        f"{len(message.body)} bytes of body")
            writer.write(encode("HTTP/1.1 200 OK", [
                (REQUEST_ID, identity), (STAMP, f"s.{identity}")],
                f"done {identity}".encode()))
            await writer.drain()
        writer.close()


async def call(router, number, coding, record):
    """Sends a request with another one in its body; returns its id and the id
    in the body."""
    outer, inner = f"outer-{number}", f"inner-{number}"
    body = request("POST", "/record/inner", inner, 3000, b"bale 7, 120 kg")
    if trouble():
        framing = f"Transfer-Encoding: {coding}"
    else:
        framing = f"Content-Length: {len(body)}"
    head = "\r\n".join([
        "POST /record/outer HTTP/1.1", f"Host: {HOST}",
        f"{REQUEST_ID}: {outer}", "Peridotreach-Deadline-Ms: 3000",
        f"X-Api-Key: {KEY}", framing]) + "\r\n\r\n"
    reader, writer = await router.connect()
    record(f"client sends {outer} with {framing} and {inner} in its body")
    writer.write(head.encode() + body)
    answers = b""
    try:
        async with asyncio.timeout(ANSWERS_WITHIN_S):
            while more := await reader.read(65536):
                answers += more
    except (TimeoutError, OSError):
        pass
    writer.close()
    lines = [line.decode() for line in answers.split(b"\r\n")
             if line.startswith((b"HTTP/1.1", REQUEST_ID.encode()))]
    record(f"client: on the channel of {outer} arrives {lines}")
    return outer, inner


async def play(folder, record):
    """Sends the requests one after another."""
    fleet = Fleet(NET, folder, 2)
    try:
        await fleet.start(manifest(
            1, [route("record", "non_idempotent", "records", 3000)],
            [{"name": "records", "max_conns": 96}]))
        engine = Engine("i-0", record)
        host = f"{NET}.100"
        port = free_port(host)
        await asyncio.start_server(engine.serve, host, port)
        fleet.store.put("servers/i-0", entry("records", f"{host}:{port}",
                                             "zone-a", slots=6))
        await fleet.wait_until_ready()
        broken = []
        for number, coding in enumerate(CODINGS):
            _, inner = await call(fleet.routers[number % 2], number, coding,
                                  record)
            for identity, first, _ in engine.ran:
                if identity == inner:
                    broken.append(f"UNASKED: an engine ran {inner} ({first}), "
                                  f"which stood in the body of another request")
        if not trouble() and len(engine.ran) != len(CODINGS):
            broken.append("not served without the disruption")
        return broken
    finally:
        await fleet.stop()


main(play, FOLDER)
