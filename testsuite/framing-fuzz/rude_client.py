# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""A client that sends proper and malformed requests, and knows which is which."""

import contextlib
import dataclasses
import random
import socket
import struct
import time

import wire
import world as w

ANSWER_SECONDS = 12
SEND_SECONDS = 5
MOST_PAUSE = 0.05
TARGETS = ["/once/x", "/safe/x?q=%20", "/stream/x"]
# Fields that may stand once.
ONCE = [b"Host", b"Api-Key", b"Crosslink-Attempt-Id", b"Crosslink-Deadline-Ms",
        b"Crosslink-Model", b"Crosslink-Token-Count",
        b"Crosslink-Prompt-Prefix"]
LARGE_HEAD = 5000  # over maxHeaderBytes of the world's configuration


@dataclasses.dataclass
class Request:
    """What a client sent."""

    call: str
    target: str
    body: bytes
    note: bytes
    once: bool
    streams: bool = False
    what: str = "proper"
    must_not_run: bool = False
    bytes: bytes = b""


@dataclasses.dataclass
class Answer:
    """What came for a call, or for none."""

    status: int
    fields: list
    body: bytes
    whole: bool

    def signature(self):
        found = wire.value(self.fields, "crosslink-response-signature")
        return found.decode() if found else None

    def note(self):
        return wire.value(self.fields, "x-nota")


def head_of(request, framing, extra=b""):
    lines = [b"POST " + request.target.encode() + b" HTTP/1.1",
             b"Host: " + w.HOST.encode(), b"Api-Key: " + w.KEY.encode(),
             b"Crosslink-Attempt-Id: " + request.call.encode(),
             b"Crosslink-Deadline-Ms: 3000", b"X-Nota: " + request.note]
    if request.streams:
        lines += [b"Crosslink-Model: m", b"Crosslink-Token-Count: 50,40",
                  b"Crosslink-Prompt-Prefix: aa:32,own:18"]
    return b"\r\n".join(lines + framing) + b"\r\n" + extra


def proper(draw, request):
    """Frames the body as a proper request does."""
    if draw.random() < 0.4:
        return (head_of(request, [b"Transfer-Encoding: chunked"]) + b"\r\n" +
                wire.chunked(draw, request.body))
    return (head_of(request, [b"Content-Length: %d" % len(request.body)]) +
            b"\r\n" + request.body)


def in_part(draw, request):
    """A proper request that is cut: it never ends."""
    request.must_not_run = True
    whole = proper(draw, request)
    # A chunked body has ended with its empty line only.
    return whole[:draw.randrange(1, len(whole))]


def ambiguous(draw, request):
    size = len(request.body)
    told = b"Content-Length: %d" % size
    framing, body = draw.choice([
        ([told, b"Transfer-Encoding: chunked"], request.body),
        ([b"Transfer-Encoding: chunked", told],
         wire.chunked(draw, request.body)),
        ([told, b"Content-Length: %d" % (size + 1)], request.body),
        ([b"Content-Length: %d, %d" % (size, size + 1)], request.body),
        ([b"Content-Length: +%d" % size], request.body),
        ([b"Content-Length: -1"], request.body),
        ([b"Content-Length: 0x%x" % size], request.body),
        ([b"Content-Length: %d x" % size], request.body),
        ([b"Content-Length: 99999999999999999999"], request.body),
        ([b"Content-Length:"], request.body),
        ([b"Transfer-Encoding: gzip, chunked"],
         wire.chunked(draw, request.body)),
        ([b"Transfer-Encoding: chunked, chunked"],
         wire.chunked(draw, request.body)),
        ([b"Transfer-Encoding: xchunked"], wire.chunked(draw, request.body)),
        ([b"Transfer-Encoding : chunked"], wire.chunked(draw, request.body)),
        ([b"Transfer-Encoding:\x0bchunked"], wire.chunked(draw, request.body)),
    ])
    request.must_not_run = True
    return head_of(request, framing) + b"\r\n" + body


def bad_chunks(draw, request):
    request.must_not_run = True
    body = draw.choice([b"g\r\n", b"-1\r\na\r\n", b"2\r\nabc\r\n0\r\n\r\n",
                        b"ffffffffffffffff\r\na", b"2\nab\n0\n\n", b"\r\n",
                        b"2;" + b"x" * 300_000, b"0x2\r\nab\r\n0\r\n\r\n",
                        b"2 2\r\nab\r\n0\r\n\r\n", b"2\rab\r\n0\r\n\r\n"])
    return head_of(request, [b"Transfer-Encoding: chunked"]) + b"\r\n" + body


def bad_head(draw, request):
    request.must_not_run = True
    line = draw.choice([b"X-A : b", b"X-A", b": b", b" X-A: b", b"X-A: b\r\n c",
                        b"X-A: b\0", b"X-A: b\rc", b"X-A: b\nX-B: c",
                        b"X(A: b", b"X-A: " + b"y" * LARGE_HEAD])
    return (head_of(request, [line, b"Content-Length: %d" % len(request.body)])
            + b"\r\n" + request.body)


def repeated(draw, request):
    """A field that may stand once stands twice."""
    request.must_not_run = True
    head, _, body = proper(draw, request).partition(b"\r\n\r\n")
    lines = wire.twice(draw, head.split(b"\r\n"), ONCE)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def versions(draw, request):
    """A version that is not spoken."""
    request.must_not_run = True
    version = draw.choice([b"HTTP/2.0", b"HTTP/0.9", b"HTTP/1", b"FOO/1.1",
                           b"http/1.1", b"HTTP/1.1 "])
    return proper(draw, request).replace(b"HTTP/1.1", version, 1)


def surplus(draw, request):
    """A proper request with bytes of no request after it."""
    return proper(draw, request) + draw.choice(
        [b"\0\0\0", b"x" * 3000, b"GET\r\n\r\n", b"0\r\n\r\n"])


RUDE = [in_part, in_part, ambiguous, bad_chunks, bad_head, repeated, versions,
        surplus]


class RudeClient:
    """Sends requests over a few connections, one after the other."""

    def __init__(self, seed, number, instances):
        self.draw = random.Random("%d/client/%d" % (seed, number))
        self.number = number
        self.instances = instances
        self.made = 0
        self.sent = {}
        self.got = []  # (call, answer)
        self.wrong = []

    def run(self, stop):
        while time.monotonic() < stop:
            instance = self.draw.choice(self.instances)
            host, port = instance.address.split(":")
            with contextlib.suppress(OSError), socket.create_connection(
                    (host, int(port)), timeout=SEND_SECONDS) as peer:
                self.use(peer, stop)

    def use(self, peer, stop):
        peer.settimeout(ANSWER_SECONDS)
        reader = wire.Reader(peer)
        for _ in range(self.draw.randrange(1, 12)):
            requests = [self.make(proper)
                        for _ in range(self.draw.choice([1, 1, 1, 3]))]
            is_rude = self.draw.random() < 0.4
            if is_rude:
                requests.append(self.make(self.draw.choice(RUDE)))
            if not self.send(peer, b"".join(r.bytes for r in requests)):
                return
            if requests[-1].what == "in_part" and not self.leave_part(peer):
                return
            if not all([self.read(reader, one) for one in requests]):
                return
            if is_rude or time.monotonic() > stop:
                return

    def leave_part(self, peer):
        """Ends a request in part; returns whether answers may come."""
        if self.draw.random() < 0.5:
            peer.shutdown(socket.SHUT_WR)
            return True
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
        return False

    def make(self, how):
        self.made += 1
        call = "c%d-%d" % (self.number, self.made)
        target = self.draw.choice(TARGETS)
        request = Request(call, target, wire.body_of(self.draw, call),
                          self.draw.choice(wire.NOTES),
                          not target.startswith("/safe/"),
                          target.startswith("/stream/"), how.__name__)
        request.bytes = how(self.draw, request)
        self.sent[call] = request
        return request

    def send(self, peer, text):
        """Sends it in pieces; returns whether the connection took all."""
        while text:
            size = self.draw.choice([1, 17, 1000, len(text), len(text)])
            try:
                peer.sendall(text[:size])
            except OSError:
                return False
            text = text[size:]
            if text and self.draw.random() < 0.05:
                time.sleep(self.draw.random() * MOST_PAUSE)
        return True

    def read(self, reader, request):
        """Reads the answer to a request; returns whether more may come."""
        try:
            line, fields = reader.head()
            answer = Answer(int(line.split(b" ")[1]), fields, b"", False)
            self.got.append((request.call, answer))
            answer.body = self.read_body(reader, answer)
            answer.whole = True
        except wire.Ended:
            return False
        except (wire.Malformed, ValueError, IndexError) as failure:
            self.wrong.append("%s got malformed bytes: %s" % (request.call,
                                                              failure))
            return False
        return wire.value(fields, "connection") != b"close"

    def read_body(self, reader, answer):
        if answer.status in (204, 304):
            return b""
        if wire.value(answer.fields, "transfer-encoding") == b"chunked":
            return reader.chunks()
        size = wire.value(answer.fields, "content-length")
        return reader.to_end() if size is None else reader.exactly(int(size))
