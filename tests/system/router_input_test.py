#!/usr/bin/env python3
"""Bad input from callers and endpoints at a real router: each gets its typed
answer, nothing of it reaches an endpoint, and the router serves on."""

import asyncio
import sys
import tempfile

from router_bench import (Bench, HOST, KEY, LIMITS, STAMP, encode,
                          read_message)

NET = "127.0.23"
PATIENCE_S = 30
MOST_HEADER = LIMITS["max_header_bytes"]
MOST_BODY = LIMITS["max_body_bytes"]


class BadEndpoint:
    """Answers by the last part of the path; notes what arrived."""

    def __init__(self):
        self.arrived = []

    async def serve(self, reader, writer):
        """Serves one connection."""
        request = await read_message(reader)
        if request is not None:
            self.arrived.append(request.target)
            writer.write(self.answer(request))
            await writer.drain()
        writer.close()

    def answer(self, request):
        """Returns the bytes of the answer."""
        identity = ("Peridotreach-Request-Id",
                    request.get("peridotreach-request-id"))
        whole = encode("HTTP/1.1 200 OK", [identity, STAMP], b"whole answer")
        kind = request.target.rpartition("/")[2]
        if kind == "truncated":
            return whole[:-5]
        if kind == "unstamped":
            return encode("HTTP/1.1 200 OK", [identity], b"whole answer")
        if kind == "foreign":
            return encode("HTTP/1.1 200 OK",
                          [("Peridotreach-Request-Id", "another"), STAMP])
        if kind == "encoded":
            return encode("HTTP/1.1 200 OK", [identity, STAMP,
                                              ("Content-Encoding", "gzip")])
        if kind == "garbage":
            return b"\x00\x01 no answer\r\n\r\n"
        if kind == "doubled":
            return whole + whole
        return whole


def request(path, extra=(), host=HOST, key=KEY, body=b"body"):
    """Returns the bytes of a request."""
    return encode(f"POST {path} HTTP/1.1", [
        ("Host", host), ("X-Api-Key", key), ("Peridotreach-Request-Id", "r-1"),
        ("Peridotreach-Deadline-Ms", "5000"), *extra], body)


def smuggled(extra):
    """Returns a request with a second one in its body."""
    inner = request("/entry/inner")
    return request("/entry/outer", extra, body=inner)


def smuggled_by(coding):
    """Returns a request with a second one in its body, whose end the transfer
    coding does not tell."""
    outer = smuggled([("Transfer-Encoding", coding)])
    start = outer.index(b"Content-Length:")
    return outer[:start] + outer[outer.index(b"\r\n", start) + 2:]


CALLERS = [
    ("a coding that is not chunked", smuggled_by("gzip"), {400}),
    ("the identity coding", smuggled_by("identity"), {400}),
    ("chunks that are no last coding", smuggled_by("chunked, identity"), {400}),
    ("chunks of an encoded body", smuggled_by("gzip, chunked"), {400}),
    ("two codings", smuggled_by("gzip\r\nTransfer-Encoding: chunked"), {400}),
    ("both lengths", smuggled([("Transfer-Encoding", "chunked")]), {400}),
    ("two lengths", smuggled([("Content-Length", "1")]), {400}),
    ("a length that is none", request("/entry/x").replace(
        b"Content-Length: 4", b"Content-Length: 4x"), {400}),
    ("no request", b"\x16\x03\x01\x02\x00 hello\r\n\r\n", {400}),
    ("a header too long", request(
        "/entry/x", [("X-Long", "y" * (2 * MOST_HEADER))]), {431}),
    ("a body too long", request("/entry/x", body=b"z" * (2 * MOST_BODY)),
     {413}),
    ("an unknown host", request("/entry/x", host="other.example"), {404}),
    ("an unknown path", request("/nowhere/x"), {404}),
    ("a wrong key", request("/entry/x", key="wrong"), {401}),
    ("no key", request("/entry/x", key=""), {401}),
]

ENDPOINTS = [("truncated", 502), ("unstamped", 502), ("foreign", 502),
             ("encoded", 502), ("garbage", 502), ("doubled", 200),
             ("whole", 200)]


async def ask(router, raw):
    """Sends bytes on a connection of its own. Returns the answers."""
    reader, writer = await asyncio.open_connection(
        router.host, router.ports["front"])
    writer.write(raw)
    answers = []
    try:
        async with asyncio.timeout(PATIENCE_S):
            answers.append(await read_message(reader))
            writer.write_eof()
            while (more := await read_message(reader)) is not None:
                answers.append(more)
    except (ConnectionError, OSError):
        pass
    writer.close()
    return [answer for answer in answers if answer is not None]


async def run(folder):
    """Runs all cases. Returns what went wrong."""
    faults = []
    endpoint = BadEndpoint()
    bench = Bench(NET, folder, "non_idempotent", endpoint.serve)
    await bench.start()
    router = bench.router
    whole = await ask(router, request("/entry/whole"))
    if [answer.status for answer in whole] != [200]:
        faults.append("a whole answer was not passed on")
    endpoint.arrived.clear()
    for name, raw, allowed in CALLERS:
        answers = await ask(router, raw)
        statuses = [answer.status for answer in answers]
        if len(statuses) != 1 or statuses[0] not in allowed:
            faults.append(f"{name}: answered {statuses}, allowed {allowed}")
        if endpoint.arrived:
            faults.append(f"{name}: {endpoint.arrived} reached an endpoint")
        endpoint.arrived.clear()
    for kind, status in ENDPOINTS:
        answers = await ask(router, request("/entry/" + kind))
        statuses = [answer.status for answer in answers]
        if statuses != [status]:
            faults.append(f"endpoint's {kind}: answered {statuses}")
        if status == 200 and answers and answers[0].body != b"whole answer":
            faults.append(f"endpoint's {kind}: body {answers[0].body!r}")
        if len(endpoint.arrived) != 1:
            faults.append(f"endpoint's {kind}: ran {endpoint.arrived}")
        endpoint.arrived.clear()
    if router.process.returncode is not None:
        faults.append(f"the router ended with {router.process.returncode}")
    await bench.stop()
    return faults


with tempfile.TemporaryDirectory() as directory:
    found = asyncio.run(run(directory))
for fault in found:
    print(fault)
print(f"{len(CALLERS) + len(ENDPOINTS)} cases, {len(found)} faults")
sys.exit(1 if found else 0)
