# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""A runner of an application service, as PROTOCOL.md describes it: it answers
421 where another runner is expected, 400 without an attempt id, and else runs
the request and answers with its signature."""

import itertools
import threading
import time

import standins


class PlainRunner:
    numbers = itertools.count(1)

    def __init__(self, record, answer=None):
        self.id = "i-%d" % next(PlainRunner.numbers)
        self.record = record
        self.answer = answer  # answer(request, run); None: a short body
        self.ran = []
        self.lock = threading.Lock()
        self.server = standins.Server(self.handle)
        self.address = self.server.address

    def handle(self, request):
        head = {}
        for name, value in request.headers.items():  # as RFC 9110, 5.3
            name = name.lower()
            head[name] = head[name] + ", " + value if name in head else value
        expected = head.get("crosslink-expect-instance")
        if expected not in (None, self.id):
            self.record.note("answered_421", runner=self.id, expected=expected)
            return request.answer(421, b"", [("Crosslink-Instance-Id",
                                              self.id)])
        call = head.get("crosslink-attempt-id")
        if not call:
            self.record.note("answered_400", runner=self.id,
                             path=request.path)
            return request.answer(400, b"", [("Crosslink-Not-Executed", "1")])
        run = {"id": call, "tenant": head.get("crosslink-tenant"),
               "method": request.command, "path": request.path,
               "body": request.body, "at": time.monotonic()}
        with self.lock:
            self.ran.append(run)
        self.record.note("run", runner=self.id, **{
            key: run[key] for key in ("id", "tenant", "method", "path",
                                      "body")})
        if self.answer:
            return self.answer(request, run)
        return request.answer(200, b"body of " + call.encode(),
                              self.words(call))

    def words(self, call):
        return [("Crosslink-Attempt-Id", call),
                ("Crosslink-Response-Signature", "sig-%s-%s" % (self.id, call))]
