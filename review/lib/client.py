# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""A client that writes its requests to a connection itself, so that a case can
set when the bytes go out."""

import socket
import time

import deployment as d

READ_BYTES = 65_536


def head(method, path, call, deadline_ms, *lines, tenant="one"):
    """The head of a request, up to the empty line."""
    fields = ["Host: " + d.HOST, "Crosslink-Attempt-Id: " + call,
              "Crosslink-Deadline-Ms: %d" % deadline_ms,
              "Api-Key: " + d.KEYS[tenant], *lines]
    return ("%s %s HTTP/1.1\r\n%s\r\n\r\n" % (
        method, path, "\r\n".join(fields))).encode()


class Answer:
    """What came on the connection."""

    def __init__(self, raw, ended):
        self.raw = raw
        self.ended = ended  # the other side closed the connection
        self.head, _, self.body = raw.partition(b"\r\n\r\n")
        words = self.head.split(b" ", 2)
        self.status = int(words[1]) if len(words) > 1 else None

    def field(self, name):
        for line in self.head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b":")
            if key.strip().lower() == name.lower().encode():
                return value.strip().decode()
        return None

    def whole(self):
        """Whether it looks complete (RFC 9112, 6.3)."""
        length = self.field("Content-Length")
        if self.status is None:
            return False
        if length is not None:
            return len(self.body) == int(length)
        if self.field("Transfer-Encoding") == "chunked":
            return self.body.endswith(b"0\r\n\r\n")
        return self.ended


class Connection:
    def __init__(self, address):
        host, port = address.split(":")
        self.peer = socket.create_connection((host, int(port)), timeout=5)

    def send(self, data):
        self.peer.sendall(data)

    def answer(self, seconds):
        """Reads one answer, for `seconds` at most."""
        end = time.monotonic() + seconds
        raw = b""
        while (left := end - time.monotonic()) > 0:
            self.peer.settimeout(left)
            try:
                piece = self.peer.recv(READ_BYTES)
            except TimeoutError:
                break
            except ConnectionError:
                return Answer(raw, True)
            if not piece:
                return Answer(raw, True)
            raw += piece
            answer = Answer(raw, False)
            if b"\r\n\r\n" in raw and answer.whole():
                return answer
        return Answer(raw, False)

    def close(self):
        self.peer.close()
