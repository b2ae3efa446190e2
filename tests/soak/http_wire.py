"""A small HTTP/1.1 reader and writer over asyncio streams."""

import asyncio


class Message:
    """A request or an answer: its first line, headers by lowercase name."""

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads first line and headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunk(reader):
    """Reads one chunk; empty at the last one, None if it broke off."""
    try:
        size = int(await reader.readuntil(b"\r\n"), 16)
        chunk = await reader.readexactly(size + 2)
        return chunk[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return None


async def read_message(reader):
    """Reads a whole message; None if it broke off."""
    message = await read_head(reader)
    if message is None:
        return None
    if message.get("transfer-encoding") == "chunked":
        while True:
            chunk = await read_chunk(reader)
            if chunk is None:
                return None
            if not chunk:
                return message
            message.body += chunk
    length = int(message.get("content-length", "0"))
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return message


def encode(first, headers, body=b""):
    """Returns the bytes of a message with a length."""
    lines = [first]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, request, timeout):
    """Sends a request on a connection of its own; None if it fails."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request)
            return await read_message(reader)
    except (TimeoutError, ConnectionError, OSError):
        return None
    finally:
        if writer is not None:
            writer.close()
