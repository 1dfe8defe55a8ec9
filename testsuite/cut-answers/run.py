# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""A plain service that stops at any byte of its answer and ends the connection:
at the own door, no part of an answer passes for the whole of one."""

import contextlib
import itertools
import os
import socket
import struct
import sys
import threading

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import fleet as f  # noqa: E402

KEY = "cook-key"
HEAD = {"Authorization": "Bearer " + KEY}
BODY = b"body that came whole"
ANNOUNCE_SECONDS = 0.3
SERVICES = 40
# A service that broke off is left alone for long; all places by hand.
EVERY = 1 if os.environ.get("CROSSLINK_ALL_CUTS") else 6
FRAMINGS = {
    "length": (b"Content-Length: %d" % len(BODY), BODY),
    "chunks": (b"Transfer-Encoding: chunked",
               b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)),
    "unframed": (b"X-Other: a", b""),
}


def answer_of(framing):
    """The answer, up to where a part may not be told from the whole."""
    field, body = FRAMINGS[framing]
    return (b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + field +
            b"\r\nX-Nota: a\r\n\r\n" + body)


class CutService:
    """Answers each request with `answer`, and ends its connection. Listed as
    many, since one that broke off is left alone for a while."""

    def __init__(self, platform):
        self.answer = b""
        self.resets = False
        self.asked = 0
        self.ended = threading.Event()
        self.listeners = [socket.create_server((f.ADDRESS, 0), backlog=64)
                          for _ in range(SERVICES)]
        self.addresses = ["%s:%d" % listener.getsockname()
                          for listener in self.listeners]
        for listener in self.listeners:
            threading.Thread(target=self.accept, args=(listener,),
                             daemon=True).start()
        threading.Thread(target=self.announce, args=(platform,),
                         daemon=True).start()

    def announce(self, platform):
        while not self.ended.is_set():
            for number, address in enumerate(self.addresses):
                with contextlib.suppress(OSError):
                    platform.post("/instances/announce", {
                        "id": "cut-%d" % number, "kind": "plain",
                        "address": address, "zone": "zone-a",
                        "service": "bookings", "leaving": False})
            self.ended.wait(ANNOUNCE_SECONDS)

    def accept(self, listener):
        while True:
            try:
                peer, _ = listener.accept()
            except OSError:
                return
            with peer, contextlib.suppress(OSError):
                self.serve(peer)

    def serve(self, peer):
        request = b""
        while b"\r\n\r\n" not in request:
            request += peer.recv(65536)
        self.asked += 1
        peer.sendall(self.answer)
        if self.resets:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))

    def end(self):
        self.ended.set()
        for listener in self.listeners:
            listener.close()


def check_cut(entry, service, framing, resets, first):
    whole = answer_of(framing)
    service.resets = resets
    for place in range(first, len(whole), EVERY):
        service.answer = whole[:place]
        asked = service.asked

        def is_asked():
            got = f.http_call(entry.address, "GET", "/bookings/1",
                              headers=HEAD)
            assert got.status != 200, (framing, resets, place, got.text)
            return service.asked > asked
        f.wait_until(is_asked, "the service is asked")


def main():
    with f.Fleet() as fleet:
        fleet.start_platform()
        entry = fleet.start_entry()
        fleet.apply(f.declarations([f.account("cooks", KEY)]))
        service = CutService(fleet.platform)
        fleet.wait_ready(plains=SERVICES)
        ways = itertools.product(FRAMINGS, (False, True))
        for number, (framing, resets) in enumerate(ways):
            check_cut(entry, service, framing, resets, number % EVERY)
        service.resets = False
        for framing in ("length", "chunks"):
            service.answer = answer_of(framing)

            def is_whole():
                got = f.http_call(entry.address, "GET", "/bookings/1",
                                  headers=HEAD)
                return (got.status, got.text) == (200, BODY.decode())
            f.wait_until(is_whole, "a whole answer comes")
        service.end()


if __name__ == "__main__":
    main()
