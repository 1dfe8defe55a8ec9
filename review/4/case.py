# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""A runner is killed while it answers in chunks: see claim.txt."""

import json
import os
import subprocess
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
LIB = os.path.join(os.path.dirname(HERE), "lib")
sys.path.insert(0, LIB)
import client as c  # noqa: E402
import deployment as d  # noqa: E402
import fleet  # noqa: E402
import runner_process  # noqa: E402

RUNNERS = 7  # one of them is killed: a share of 0.14
KILL_AFTER_SECONDS = 0.25  # two or three lines of six
DEADLINE_MS = 2500


class RunnerProcess:
    def __init__(self, name, record):
        self.id = name
        self.record = record
        self.ran = []
        self.on_run = lambda runner, run: None
        self.process = subprocess.Popen(
            [sys.executable, os.path.join(LIB, "runner_process.py"), name], stdout=subprocess.PIPE, text=True)
        self.address = self.process.stdout.readline().split()[1]
        threading.Thread(target=self.follow, daemon=True).start()

    def follow(self):
        for line in self.process.stdout:
            run = json.loads(line.split(" ", 1)[1])
            self.record.note("run", **run)
            self.ran.append(run)
            self.on_run(self, run)

    def kill(self):
        self.record.note("killed", runner=self.id)
        self.process.kill()

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def case(record):
    runners = [RunnerProcess("i-%d" % number, record)
               for number in range(RUNNERS)]
    try:
        return play(record, runners)
    finally:
        for runner in runners:
            runner.end()


def play(record, runners):
    with d.Deployment(record) as world:
        for runner in runners:
            world.list("sitio", runner.id, runner.address)
        for number, one in enumerate(world.instances):
            fleet.wait_until(lambda one=one, number=number: fleet.http_call(
                one.address, "GET", "/sube/precios", headers={
                    "Host": d.HOST, "Api-Key": d.KEYS["one"],
                    "Crosslink-Attempt-Id": "first-%d-%f" % (
                        number, time.monotonic()),
                    "Crosslink-Deadline-Ms": "2500"}).status == 200,
                "calls are served", 10)

        def kill_soon(runner, run):
            if d.TROUBLE and run["id"] == "call":
                threading.Timer(KILL_AFTER_SECONDS, runner.kill).start()

        for runner in runners:
            runner.on_run = kill_soon
        connection = c.Connection(world.instances[0].address)
        connection.send(c.head("POST", "/ver/precios", "call", DEADLINE_MS,
                               "Content-Length: 4") + b"dato")
        record.note("sent", id="call")
        answer = connection.answer(DEADLINE_MS / 1000 + 1)
        record.note("answered", id="call", status=answer.status,
                    head=answer.head, body=answer.body, whole=answer.whole(),
                    closed=answer.ended)
    success = answer.status is not None and 200 <= answer.status < 300
    if success and answer.whole() and answer.body != runner_process.WHOLE:
        record.note("rule_broken", id="call", got=answer.body,
                    made=runner_process.WHOLE)
        return d.BROKEN
    return d.HELD


d.run_case(HERE, case)
