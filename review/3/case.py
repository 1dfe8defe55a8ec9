# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""A client's header text in the form of RFC 2047 becomes bytes of the request
at the runner: see claim.txt."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import deployment as d  # noqa: E402
import fleet  # noqa: E402
from runner import PlainRunner  # noqa: E402

# In RFC 2047, =0D=0A stands for a line break and an underscore for a space.
# All of this is visible ASCII on one line, as a header's text may be.
NOTES = {
    "two-lines": "=?UTF-8?Q?sin_sal=0D=0A=0D=0Apara_la_abuela?=",
    "other-tenant": "=?UTF-8?Q?sin_sal=0D=0ACrosslink-Tenant:_two?=",
    "second-request": "=?UTF-8?Q?sin_sal=0D=0AContent-Length:_0=0D=0A=0D=0A"
                      "POST_/ver/otra_HTTP/1.1=0D=0A"
                      "Crosslink-Attempt-Id:_never-sent=0D=0A"
                      "Crosslink-Tenant:_two?=",
}
PLAIN_NOTE = "sin sal"
BODY = b"dato"


class Client:
    """Sends requests of tenant one, and keeps what it sent."""

    def __init__(self, record):
        self.record = record
        self.sent = {}

    def call(self, address, call, method, path, body=None, **more):
        self.sent[call] = ("one", method, path, body or b"")
        self.record.note("sent", id=call, tenant="one", method=method,
                         path=path, body=body, headers=more)
        answer = fleet.http_call(address, method, path, body=body, headers=dict(
            {"Host": d.HOST, "Crosslink-Attempt-Id": call,
             "Crosslink-Deadline-Ms": "2500", "Api-Key": d.KEYS["one"]},
            **more))
        self.record.note("answered", id=call, status=answer.status,
                         headers=answer.headers, body=answer.text)
        return answer.status


def case(record):
    client = Client(record)
    runners = [PlainRunner(record) for _ in range(2)]
    with d.Deployment(record) as world:
        for runner in runners:
            world.list("sitio", runner.id, runner.address)
        for number, one in enumerate(world.instances):
            fleet.wait_until(lambda one=one, number=number: client.call(
                one.address, "first-%d-%d" % (number, len(client.sent)), "GET",
                "/sube/a") == 200, "calls are served", 10)
        for number, (name, note) in enumerate(NOTES.items()):
            client.call(world.instances[number % 2].address, "call-" + name,
                        "POST", "/ver/receta", BODY,
                        **{"X-Nota": note if d.TROUBLE else PLAIN_NOTE})
    broken = False
    for run in runners[0].ran + runners[1].ran:
        found = (run["tenant"], run["method"], run["path"], run["body"])
        if client.sent.get(run["id"]) != found:
            broken = True
            record.note("rule_broken", id=run["id"], ran=found,
                        sent=client.sent.get(run["id"]))
    return d.BROKEN if broken else d.HELD


d.run_case(HERE, case)
