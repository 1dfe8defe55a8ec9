# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""Runners that send further bytes after some whole answers, late, and clients
of two tenants before them."""

import client as c
import deployment as d
import fleet
from runner import PlainRunner

CALLS = 600
SPOILED_EACH = 40  # after one answer of 40 (0.025), further bytes come
DEADLINE_MS = 2500
TENANTS = ("one", "two")
UNSAFE, SAFE = "/ver/a", "/sube/a"


class SpoilingRunner(PlainRunner):
    """Answers each request as it should. After some whole answers it writes
    `page`(run) as well; the bytes go out when the next request on the
    connection is there."""

    def __init__(self, record, page):
        super().__init__(record, self.answer_and_spoil)
        self.page = page
        self.answers = 0
        self.late = {}  # further bytes by connection

    def answer_and_spoil(self, request, run):
        further = self.late.pop(request.connection, None)
        if further:
            self.record.note("further_bytes", runner=self.id, bytes=further)
            request.wfile.write(further)
        self.answers += 1
        if d.TROUBLE and self.answers % SPOILED_EACH == 0:
            self.late[request.connection] = self.page(run)
        return request.answer(200, b"body of " + run["id"].encode(),
                              self.words(run["id"]))


def play(record, page):
    """Sends calls one after the other on kept connections, two in three of
    them unsafe. Returns the runners, and (id, answer) of each call."""
    runners = [SpoilingRunner(record, page) for _ in range(2)]
    answers = []
    with d.Deployment(record) as world:
        for runner in runners:
            world.list("sitio", runner.id, runner.address)
        for number, one in enumerate(world.instances):
            fleet.wait_until(lambda one=one, number=number: fleet.http_call(
                one.address, "GET", SAFE, headers={
                    "Host": d.HOST, "Api-Key": d.KEYS["one"],
                    "Crosslink-Attempt-Id": "first-%d" % number,
                    "Crosslink-Deadline-Ms": "2500"}).status == 200,
                "calls are served", 10)
        clients = {(one, tenant): c.Connection(one.address)
                   for one in world.instances for tenant in TENANTS}
        for number in range(CALLS):
            one = world.instances[number % len(world.instances)]
            tenant = TENANTS[number // 2 % 2]
            call = "call-%s-%d" % (tenant, number)
            path, method = (UNSAFE, "POST") if number % 3 else (SAFE, "GET")
            client = clients[(one, tenant)]
            client.send(c.head(method, path, call, DEADLINE_MS,
                               "Content-Length: 0", tenant=tenant))
            answer = client.answer(DEADLINE_MS / 1000 + 1)
            record.note("answered", id=call, status=answer.status,
                        body=answer.body)
            if answer.ended:
                clients[(one, tenant)] = c.Connection(one.address)
            answers.append((call, answer))
    return runners, answers
