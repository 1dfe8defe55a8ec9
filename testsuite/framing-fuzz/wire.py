# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""Strict reading of HTTP/1.1 messages, and drawn bytes that frame a body."""

import re

HEAD_END = b"\r\n\r\n"
MOST_HEAD = 1 << 20
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
NOTES = [b"plain", b"=?UTF-8?Q?caldo_de_res?=", b"=?UTF-8?Q?a=0D=0A=0D=0Ab?=", b"a\tb", b"",
         b"=?UTF-8?Q?a=0D=0AContent-Length:_0=0D=0A=0D=0APOST_/once/x?=",
         b"=?ISO-8859-1?B?YQ0KYjogYw==?=", "sin az\u00facar".encode(), b"a" * 900,
         b"\"quoted, text\"; x=1", b"\xff", b"a\xff\xfe"]


# Lines of a head that are as long as buffers of readers, or nearly.
LONG_NOTES = [b"a" * (4096 - len(b"X-Nota: ") + extra)
              for extra in range(-6, 3)]


def twice(draw, fields, names):
    """The lines of a head with one of the fields `names` once more, as it is or
    with another value."""
    line = next(l for l in draw.sample(fields, len(fields))
                if l.partition(b":")[0] in names)
    name, _, text = line.partition(b":")
    again = draw.choice([name, name.lower()]) + b":" + draw.choice([text, b" 1"])
    return fields[:1] + draw.sample(fields[1:] + [again], len(fields))


class Ended(Exception):
    """The connection ended, or fell silent, inside a message."""


class Malformed(Exception):
    """What came is no message."""


class Reader:
    """Reads messages from a socket."""

    def __init__(self, peer):
        self.peer = peer
        self.rest = b""

    def more(self):
        try:
            piece = self.peer.recv(65536)
        except OSError as failure:
            raise Ended(str(failure)) from failure
        if not piece:
            raise Ended("closed")
        self.rest += piece

    def until(self, end, most):
        while end not in self.rest:
            if len(self.rest) > most:
                raise Malformed("without end: %r" % self.rest[:80])
            self.more()
        text, _, self.rest = self.rest.partition(end)
        return text

    def exactly(self, count):
        while len(self.rest) < count:
            self.more()
        text, self.rest = self.rest[:count], self.rest[count:]
        return text

    def head(self):
        """Returns the start line, and the fields as (name, value)."""
        lines = self.until(HEAD_END, MOST_HEAD).split(b"\r\n")
        fields = []
        for line in lines[1:]:
            name, colon, value = line.partition(b":")
            if not colon or not TOKEN.match(name) or CONTROL.search(value):
                raise Malformed("the field %r" % line)
            fields.append((name.lower().decode(), value.strip(b" \t")))
        if CONTROL.search(lines[0]):
            raise Malformed("the line %r" % lines[0])
        return lines[0], fields

    def chunks(self):
        body = b""
        while True:
            size = self.until(b"\r\n", MOST_HEAD).split(b";")[0].strip()
            if not re.match(rb"[0-9a-fA-F]{1,8}\Z", size):
                raise Malformed("the size of a chunk %r" % size)
            if int(size, 16) == 0:
                break
            body += self.exactly(int(size, 16))
            if self.exactly(2) != b"\r\n":
                raise Malformed("the end of a chunk")
        while self.until(b"\r\n", MOST_HEAD):
            pass
        return body

    def to_end(self):
        while True:
            try:
                self.more()
            except Ended as end:
                if str(end) != "closed":
                    raise
                body, self.rest = self.rest, b""
                return body


def values(fields, name):
    return [value for key, value in fields if key == name]


def value(fields, name):
    found = values(fields, name)
    return found[0] if found else None


def chunked(draw, body, trailers=True):
    """The body in chunks of drawn sizes."""
    out = b""
    while body:
        size = draw.choice([1, 2, 3, 10, 100, 4096, len(body)])
        piece, body = body[:size], body[size:]
        digits = draw.choice(["%x", "%X", "%04x"]) % len(piece)
        extra = draw.choice([b"", b"", b";x", b";x=y", b";x=\"0\""])
        out += digits.encode() + extra + b"\r\n" + piece + b"\r\n"
    out += b"0\r\n"
    if trailers and draw.random() < 0.2:
        out += b"X-Sum: 0\r\n"
    return out + b"\r\n"


def body_of(draw, call):
    """A body that names its call, at times with bytes that look like framing."""
    text = b"body of " + call.encode() + b"\n"
    text += draw.choice([b"", b"0\r\n\r\n", b"a\r\n", b"HTTP/1.1 200 OK\r\n\r\n",
                         b"caldo;40\r\n0\r\n\r\n", b"\xff", b"\xff0\r\n"])
    return text + b"x" * draw.choice([0, 0, 1, 7, 500, 5000, 70000])


def events_of(draw, call):
    """A stream of events that name their call."""
    out = b""
    for number in range(1, draw.choice([2, 3, 10, 40])):
        note = draw.choice([b"", b"", b": a comment\n", b"versions: 1\n"])
        out += note + b"id: %d\ndata: %s %s\n\n" % (
            number, call.encode(), b"y" * draw.choice([0, 5, 900]))
    return out
