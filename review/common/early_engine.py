"""A stand-in of a plain service's engine, a process of its own.

Usage: early_engine.py HOST PORT NAME PIECES PAUSE_MS

It begins its answer before it has read a long body, keeps the channel and reads
on once the answer is out. The answer has no length and ends with its channel.
"""

import socket
import sys
import threading
import time

HOST, PORT, NAME = sys.argv[1], int(sys.argv[2]), sys.argv[3]
PIECES, PAUSE_S = int(sys.argv[4]), int(sys.argv[5]) / 1000
STAMP = "Peridotreach-Response-Stamp"


def say(text):
    """Reports to the script."""
    print(text, flush=True)


def read_head(channel):
    """Returns the lines of a request's head and how much of the body came with
    it."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = channel.recv(16384)
        if not more:
            return None, 0
        data += more
    head, _, rest = data.partition(b"\r\n\r\n")
    return head.decode("latin-1").split("\r\n"), len(rest)


def serve(channel):
    """Serves one request."""
    lines, read = read_head(channel)
    if lines is None:
        channel.close()
        return
    headers = {name.strip().lower(): value.strip() for name, _, value in
               (line.partition(":") for line in lines[1:])}
    identity = headers.get("peridotreach-request-id", "")
    if headers.get("peridotreach-target-instance") != NAME:
        channel.sendall(b"HTTP/1.1 421 Misdirected Request\r\n"
                        b"Content-Length: 0\r\nConnection: close\r\n\r\n")
        channel.close()
        return
    length = int(headers.get("content-length", "0"))
    say(f"runs {identity}, {read} of {length} bytes of the body read")
    channel.sendall((f"HTTP/1.1 200 OK\r\nPeridotreach-Request-Id: {identity}\r\n"
                     f"{STAMP}: s.{identity}\r\nConnection: close\r\n\r\n").encode())
    for number in range(1, PIECES + 1):
        channel.sendall(f"{identity} piece {number} of {PIECES}\n".encode())
        time.sleep(PAUSE_S)
    while read < length:
        more = channel.recv(65536)
        if not more:
            break
        read += len(more)
    say(f"ends {identity}, {read} of {length} bytes of the body read")
    channel.close()


def guarded(channel):
    """Serves one request; the caller may leave."""
    try:
        serve(channel)
    except OSError as cause:
        say(f"channel ends: {cause}")
        channel.close()


# Links have small windows, so a peer that does not read blocks the writer.
WINDOW_BYTES = 32768

listener = socket.socket()
listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
listener.bind((HOST, PORT))
listener.listen()
say("listens")
while True:
    accepted, _ = listener.accept()
    threading.Thread(target=guarded, args=(accepted,), daemon=True).start()
