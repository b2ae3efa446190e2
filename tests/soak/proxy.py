"""A loopback proxy that harms the connections it carries."""

import asyncio


class Proxy:
    """Carries connections to one address. `mode` is pass, refuse, silent,
    no_questions or no_answers."""

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.delay = 0.0
        self.address = ""
        self._writers = set()

    async def start(self, host):
        """Listens on a free port of `host`."""
        server = await asyncio.start_server(self._carry, host, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    def reset_all(self):
        """Resets every connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _carry(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        host, port = self.target.rsplit(":", 1)
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back}
        await asyncio.gather(self._pump(reader, back, False),
                             self._pump(there, writer, True))
        self._writers -= {writer, back}

    async def _pump(self, reader, writer, is_answer):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                lost = "no_answers" if is_answer else "no_questions"
                if self.mode in ("silent", lost):
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()
