# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""A small deployment for the cases of the review: instances that are started
with the command of deploy/system.toml before the project's stand-in of the
platform's store, and a record of what was sent, answered and run."""

import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "testsuite"))
sys.path.insert(0, os.path.join(ROOT, "platform", "standins"))
import fleet  # noqa: E402
import standins  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "tienda.example"
KEYS = {"one": "key-of-one", "two": "key-of-two"}
READY_SECONDS = 20
# Bounds of recetario-gt, a small deployment.
BOUNDS = {"graceS": 8, "leaseMs": 3000, "versionMs": 10000,
          "retryBudgetRatio": 0.2, "retryBudgetSlack": 54}


def route(name, kind, service, **more):
    value = {"name": name, "host": HOST, "pathPrefix": "/%s/" % name,
             "kind": kind, "service": service, "timeoutMs": 4000,
             "targetLatencyMs": 500, "priority": 1, "maxAttempts": 2,
             "public": False, "stickySessions": kind == "streaming",
             "resumable": False}
    value.update(more)
    return value


def configuration(version=1, routes=None, **more):
    value = {"version": version,
             "routes": routes or [route("ver", "unsafe", "sitio",
                                        maxAttempts=1),
                                  route("sube", "safe", "sitio")],
             "services": [{"name": "sitio", "healthPath": "/health"}],
             "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                        "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
             "tenants": [{"name": name, "apiKeys": [key]}
                         for name, key in KEYS.items()]}
    value.update(more)
    return value


class Record:
    """record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def note(self, what, **fields):
        words = " ".join("%s=%r" % item for item in fields.items())
        with self.lock:
            self.file.write("%8.3f %s %s\n" % (
                time.monotonic() - self.start, what, words))
            self.file.flush()


def fill(template, fields, scope=None):
    """Fills the gaps of the command of the deploy file."""
    def look(name, item=None):
        if name in (".", "@") and item is not None:
            return item[0 if name == "@" else 1]
        value = fields
        for step in name.split("."):
            value = value[int(step)] if isinstance(value, list) else value.get(
                step) if isinstance(value, dict) else None
            if value is None:
                return ""
        return value

    def text(value):
        return ",".join(map(str, value)) if isinstance(value, list) else str(
            value)

    def block(match):
        entries = list(look(match[1]).items())
        parts = []
        for number, item in enumerate(entries):
            part = match[2].replace(
                "{{,}}", "," if number + 1 < len(entries) else "")
            parts.append(re.sub(r"\{\{(.*?)\}\}",
                                lambda gap: text(look(gap[1], item)), part))
        return "".join(parts)

    template = re.sub(r"\{\{#(.*?)\}\}(.*?)\{\{/\1\}\}", block, template)
    return re.sub(r"\{\{(.*?)\}\}", lambda gap: text(look(gap[1])), template)


def run_words(fields):
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        run = tomllib.load(file)["roles"]["front"]["run"]
    return [fill(word, fields) for word in split_words(run)]


def split_words(run):
    """Splits at spaces outside of gaps."""
    return re.findall(r"(?:\{\{.*?\}\}|\S)+", run)


class Instance:
    """One process of the product."""

    def __init__(self, number, zone, store_address, ports, ips, zones, record,
                 bounds):
        self.name = "front-%s-%d" % (zone, number)
        self.ip = ips[number]
        self.record = record
        self.address = "%s:%d" % (self.ip, ports["front"])
        self.ready_address = "%s:%d" % (self.ip, ports["ready"])
        fields = {
            "nodeName": self.name, "zone": zone, "ip": self.ip,
            "zones": {name: "region" for name in zones},
            "listen": {"front": self.address, "ready": self.ready_address},
            "internalPortRange": [ports["internal"], ports["internal"]],
            "seeds": ["%s:%d" % (ip, ports["control"]) for ip in ips[:3]],
            "limits": {"memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0},
            "bounds": dict(BOUNDS, **(bounds or {})),
            "platform": {"address": store_address}}
        self.words = run_words(fields)
        self.log = None
        self.process = None

    def start(self):
        self.log = tempfile.TemporaryFile("w+")
        self.process = subprocess.Popen(
            self.words, cwd=ROOT, stdout=self.log, stderr=subprocess.STDOUT)
        self.record.note("started", instance=self.name,
                         process=self.process.pid)

    def ready(self):
        return fleet.http_call(self.ready_address, "GET", "/ready",
                               timeout=5).status == 200

    def signal(self, number):
        self.record.note("signal", instance=self.name,
                         signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    def logged(self):
        self.log.seek(0)
        return self.log.read()


class Deployment:
    """A store of the platform with a configuration, and instances."""

    def __init__(self, record, zones=("norte", "centro"), bounds=None,
                 config=None, store_address=None):
        self.record = record
        self.store = standins.MetadataStore()
        self.store.put("op/config", config or configuration())
        ports = {name: fleet.free_port()
                 for name in ("front", "ready", "internal", "control")}
        process = os.getpid()
        ips = ["127.%d.%d.%d" % (10 + number, process >> 8 & 0xff,
                                 process & 0xff)
               for number in range(len(zones))]
        self.instances = [
            Instance(number, zone, store_address or self.store.address, ports,
                     ips, sorted(set(zones)), record, bounds)
            for number, zone in enumerate(zones)]

    def list(self, service, runner_id, address, **more):
        entry = {"service": service, "address": address, "zone": "norte",
                 "version": "v1", "slots": 6, "state": "ready",
                 "coldRemainingMs": 0, "sequence": 1}
        entry.update(more)
        self.store.put("servers/" + runner_id, entry)

    def __enter__(self):
        try:
            for instance in self.instances:
                instance.start()
            for instance in self.instances:
                fleet.wait_until(lambda one=instance: one.ready(),
                                 "an instance is ready", READY_SECONDS)
        except BaseException:
            self.end()
            raise
        return self

    def __exit__(self, *_):
        self.end()

    def end(self):
        for instance in self.instances:
            instance.end()


def run_case(folder, case):
    """Runs case(record) and ends with the code that it returns."""
    record = Record(folder)
    record.note("begin", trouble=TROUBLE)
    # So that what was started is ended also where the case is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        code = case(record)
    except BaseException as failure:  # The case could not run.
        record.note("not_run", failure=repr(failure))
        code = NOT_RUN
    record.note("end", code=code)
    sys.stdout.write({HELD: "held", BROKEN: "broken",
                      NOT_RUN: "could not run"}[code] + "\n")
    sys.stdout.flush()
    os._exit(code)


def to_json(value):
    return json.dumps(value, sort_keys=True)
