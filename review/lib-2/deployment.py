# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""A small deployment on loopback for the scripts of this review: the store of
the platform (the project's stand-in), runners of this folder that speak plain
sockets, and processes of the program, started with the words of the deploy
file."""

import ctypes
import json
import os
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "testsuite"))
sys.path.insert(0, os.path.join(ROOT, "platform", "standins"))
import fleet  # noqa: E402
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "key-of-one"
HOST = "shop.example"
HEARTBEAT_S = 1.2
START_S = 20

#: Bounds of the small deployments (sites/vfq-brno.toml).
BOUNDS = {"graceS": 8, "leaseMs": 3000, "versionMs": 10000,
          "retryBudgetRatio": 0.2, "retryBudgetSlack": 58}


def end_with_parent():
    """Lets a process end where this one is killed."""
    pr_set_pdeathsig = 1
    ctypes.CDLL(None).prctl(pr_set_pdeathsig, signal.SIGKILL)


# The processes are ended where a run takes too long.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


class Held(Exception):
    """The case could not run."""


class Record:
    """record.txt of a case, with times since its start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f s  %s\n" % (
                time.monotonic() - self.began, text))
            self.file.flush()


def route(name, kind, service, **more):
    value = {"name": name, "host": HOST, "pathPrefix": "/%s/" % name,
             "kind": kind, "service": service, "timeoutMs": 4000,
             "targetLatencyMs": 500, "priority": 1, "maxAttempts": 1,
             "public": False, "stickySessions": kind == "streaming"}
    value.update(more)
    return value


def configuration(routes, version=1):
    return {"version": version, "routes": routes,
            "services": [
                {"name": "plain", "healthPath": "/health"},
                {"name": "llm", "healthPath": "/health", "engine": {
                    "slots": 64, "kvCapacityTokens": 41564,
                    "kvTokenBytes": 18432, "linkMbps": 130000,
                    "managed": True, "models": [{"name": "m"}]}}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "one", "apiKeys": [KEY]}]}


def words_of(settings):
    """The words of the deploy file's `run`, with its gaps filled."""
    with open(os.path.join(ROOT, "deploy", "system.toml"),
              encoding="utf-8") as file:
        run = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)
    run = re.sub(r"\{\{#zones\}\}.*\{\{/zones\}\}",
                 ",".join("%s:%s" % z for z in settings["zones"].items()), run)

    def fill(gap):
        value = settings
        for part in gap.group(1).split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part)
        if isinstance(value, list):
            return ",".join(str(item) for item in value)
        return "" if value is None else str(value)

    return shlex.split(re.sub(r"\{\{([^}]*)\}\}", fill, run))


class Store(standins.MetadataStore):
    """The project's stand-in, which can cut the watches that wait."""

    def __init__(self):
        self.waiting = set()
        super().__init__()

    def _watch(self, request, query):
        self.waiting.add(request.connection)
        try:
            return super()._watch(request, query)
        finally:
            self.waiting.discard(request.connection)

    def cut_watches(self):
        """Closes the connections of the watches that wait now."""
        cut = list(self.waiting)
        for connection in cut:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        return len(cut)


class Front:
    """One process of the program at a loopback address of its own."""

    def __init__(self, deployment, number, zone):
        self.deployment = deployment
        self.name = "front-%s-%d" % (zone, number)
        self.zone = zone
        self.ip = "%s.%d" % (deployment.net, 10 + number)
        self.process = None
        self.log = None

    @property
    def address(self):
        return self.ip, self.deployment.ports[0]

    def start(self):
        d = self.deployment
        settings = {
            "nodeName": self.name, "zone": self.zone, "ip": self.ip,
            "zones": {zone: "region" for zone in d.zones},
            "listen": {"front": "%s:%d" % (self.ip, d.ports[0]),
                       "ready": "%s:%d" % (self.ip, d.ports[1]),
                       "control": "%s:%d" % (self.ip, d.ports[2])},
            "internalPortRange": [d.ports[3], d.ports[3] + 15],
            "seeds": ["%s:%d" % (f.ip, d.ports[2]) for f in d.fronts[:3]],
            "limits": {"memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0},
            "bounds": d.bounds,
            "platform": {"address": d.store_address, "writes_per_s": 400,
                         "reads_per_s": 2000}}
        self.log = open(os.path.join(d.folder.name, self.name + ".log"), "a",
                        encoding="utf-8")
        self.process = subprocess.Popen(
            words_of(settings), cwd=ROOT, stdout=self.log, stderr=self.log,
            preexec_fn=end_with_parent)

    def ready(self):
        try:
            with socket.create_connection((self.ip, self.deployment.ports[1]),
                                          1) as peer:
                peer.sendall(b"GET /ready HTTP/1.1\r\nHost: r\r\n"
                             b"Connection: close\r\n\r\n")
                return peer.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def signal(self, number):
        self.process.send_signal(number)

    def text(self):
        with open(self.log.name, encoding="utf-8") as file:
            return file.read()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class Deployment:
    """The store, the entries of its runners with their heartbeats, and the
    processes of the program."""

    def __init__(self, routes, runners, fronts=1, zones=("zone-a",),
                 bounds=None, store_address=None):
        self.folder = tempfile.TemporaryDirectory()
        # An address for each process, which no other run has at this time.
        self.net = "127.%d.%d" % (192 + (os.getpid() >> 8 & 0x3f),
                                  os.getpid() & 0xff)
        self.ports = [fleet.free_port() for _ in range(3)]
        self.ports.append(fleet.free_port())
        self.zones = list(zones)
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.store = Store()
        self.store_address = store_address or self.store.address
        self.store.put("op/config", configuration(routes))
        self.store.put("op/version/m", {"model": "m", "version": 1})
        self.runners = list(runners)
        self.left = []
        for runner in self.runners:
            self._put(runner)
            runner.put = self._put
        self.stopped = threading.Event()
        self.beat = threading.Thread(target=self._beat, daemon=True)
        self.beat.start()
        self.fronts = []
        for number in range(fronts):
            self.fronts.append(Front(self, number,
                                     self.zones[number % len(self.zones)]))

    def _put(self, runner):
        runner.sequence += 1
        self.store.put("servers/" + runner.id, runner.entry())

    def _beat(self):
        while not self.stopped.wait(HEARTBEAT_S):
            for runner in list(self.runners):
                self._put(runner)

    def wait_ready(self):
        end = time.monotonic() + START_S
        while not all(front.ready() for front in self.fronts):
            if time.monotonic() > end:
                raise Held("the processes were not ready")
            time.sleep(0.02)

    def holder(self):
        """The process that holds the duty, by the store; None for none."""
        address = self.store.value("crosslink/duty/steward") or ""
        for front in self.fronts:
            if address.startswith(front.ip + ":"):
                return front
        return None

    def leave(self, runner):
        """The entry of a runner goes. Returns when the store had taken that."""
        self.runners.remove(runner)
        self.left.append(runner)
        self.store.remove("servers/" + runner.id)
        return time.monotonic()

    def __enter__(self):
        for front in self.fronts:
            front.start()
        try:
            self.wait_ready()
        except Held:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        self.stopped.set()
        for front in self.fronts:
            front.end()
        for runner in self.runners + self.left:
            runner.close()
        self.store.server.close()
        self.folder.cleanup()


class Request:
    """A request as a runner read it."""

    def __init__(self, method, target, fields, body):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body

    @property
    def id(self):
        return self.fields.get("crosslink-attempt-id", "")


class Runner:
    """A runner on plain sockets. `run(request, connection)` writes the answer;
    it returns whether the connection goes on."""

    numbers = iter(range(1, 10_000))

    def __init__(self, service, run, zone="zone-a"):
        self.id = "i-%d" % next(Runner.numbers)
        self.service = service
        self.zone = zone
        self.run = run
        self.sequence = 1
        self.state = "ready"
        self.version = 1
        self.orders = []
        self.server = socket.create_server((fleet.ADDRESS, 0), backlog=128)
        self.address = "%s:%d" % self.server.getsockname()
        self.open = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self):
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": 64,
                "state": self.state, "coldRemainingMs": 0,
                "sequence": self.sequence, "stage": "both",
                "models": [{"name": "m", "version": self.version,
                            "adapters": []}]}

    def head(self, request, status="200 OK", **more):
        fields = {"Crosslink-Attempt-Id": request.id,
                  "Crosslink-Response-Signature": "sig." + self.id}
        fields.update({k.replace("_", "-"): v for k, v in more.items()})
        lines = ["HTTP/1.1 " + status] + ["%s: %s" % i for i in fields.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _accept(self):
        while True:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(connection)
            threading.Thread(target=self._serve, args=[connection],
                             daemon=True).start()

    def _serve(self, connection):
        try:
            rest = b""
            while True:
                while b"\r\n\r\n" not in rest:
                    piece = connection.recv(65536)
                    if not piece:
                        return
                    rest += piece
                head, rest = rest.split(b"\r\n\r\n", 1)
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ")
                fields = {}
                for line in lines:
                    name, value = line.split(":", 1)
                    fields[name.lower()] = value.strip()
                length = int(fields.get("content-length", 0))
                while len(rest) < length:
                    piece = connection.recv(65536)
                    if not piece:
                        return
                    rest += piece
                body, rest = rest[:length], rest[length:]
                request = Request(method, target, fields, body)
                if not self._answer(request, connection):
                    return
        except OSError:
            pass
        finally:
            self.open.discard(connection)
            connection.close()

    def _answer(self, request, connection):
        if request.target == "/report":
            text = json.dumps({
                "stage": "both", "busy": False, "sequence": len(self.orders),
                "models": [{"name": "m", "version": self.version,
                            "adapters": []}]}).encode()
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n" % len(text) + text)
            return True
        if request.fields.get("crosslink-expect-instance") != self.id:
            connection.sendall(
                b"HTTP/1.1 421 M\r\nCrosslink-Attempt-Id: %s\r\n"
                b"Crosslink-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                % request.id.encode())
            return True
        return self.run(self, request, connection)

    def close(self):
        self.server.close()
        for connection in list(self.open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Engine(Runner):
    """A runner of a model that takes orders for new weights. `loading` counts
    the engines that load at the same time, with its lock."""

    LOAD_S = 0.76  # new weights take a runner so long, longer beside others
    AT_ONCE = 3

    class Loading:
        def __init__(self):
            self.lock = threading.Lock()
            self.count = 0

    def __init__(self, run, loading, record, zone="zone-a"):
        self.loading = loading
        self.record = record
        self.lock = threading.Lock()
        self.running = 0
        self.busy = False
        self.put = lambda engine: None  # writes its entry
        super().__init__("llm", run, zone)

    def _answer(self, request, connection):
        if request.target == "/report":
            return self._report(connection)
        if request.fields.get("crosslink-expect-instance") != self.id:
            return super()._answer(request, connection)
        if request.target == "/order":
            return self._order(request, connection)
        with self.lock:
            expected = int(request.fields.get("expect-version", self.version))
            refused = "421 M" if expected != self.version else (
                "503 S" if self.busy else None)
            if not refused:
                self.running += 1
        if refused:
            connection.sendall((
                "HTTP/1.1 %s\r\nCrosslink-Attempt-Id: %s\r\n"
                "Crosslink-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                % (refused, request.id)).encode())
            return True
        try:
            return self.run(self, request, connection)
        finally:
            with self.lock:
                self.running -= 1

    def _report(self, connection):
        text = json.dumps({
            "stage": "both", "busy": self.busy,
            "sequence": len(self.orders), "queued": 0,
            "running": self.running, "kvUsed": 0, "kvTotal": 41564,
            "handles": 0, "models": [{"name": "m", "version": self.version,
                                      "adapters": []}]}).encode()
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n" % len(text) + text)
        return True

    def _order(self, request, connection):
        order = json.loads(request.body)
        with self.lock:
            if self.version == order["version"]:
                status = "200 OK"
            elif self.busy or order.get(
                    "expected", len(self.orders)) != len(self.orders):
                status = "409 C"
            else:
                status = "202 A"
                self.busy = True
                self.orders.append(order)
        if status == "202 A":
            threading.Thread(target=self._load, args=[order["version"]],
                             daemon=True).start()
        connection.sendall(("HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n"
                            % status).encode())
        return True

    def _load(self, version):
        while self.running:
            time.sleep(0.01)
        with self.loading.lock:
            self.loading.count += 1
            span = self.LOAD_S * max(1, self.loading.count / self.AT_ONCE)
        time.sleep(span)
        with self.loading.lock:
            self.loading.count -= 1
        with self.lock:
            self.version = version
            self.busy = False
        self.record("runner %s has version %d" % (self.id, version))
        self.put(self)


class Call:
    """One attempt of a client on a connection of its own or on a kept one."""

    numbers = iter(range(1, 100_000))

    def __init__(self, address, path, method="POST", body=b"", tokens=None,
                 deadline_ms=12000, connection=None, more=(),
                 part="5c1e07a2"):
        self.id = "%016x" % (0xa0000000 + next(Call.numbers))
        self.connection = connection or socket.create_connection(address, 1)
        fields = [("Host", HOST), ("Crosslink-Attempt-Id", self.id),
                  ("Crosslink-Deadline-Ms", str(deadline_ms)),
                  ("Api-Key", KEY)]
        if tokens:
            fields += [("Crosslink-Model", "m"),
                       ("Crosslink-Token-Count", "460,%d" % tokens),
                       ("Crosslink-Prompt-Prefix", "%s:360,%s:100"
                        % (part, self.id[-8:]))]
        fields += list(more)
        if body or method == "POST":
            fields.append(("Content-Length", str(len(body))))
        head = "\r\n".join(["%s %s HTTP/1.1" % (method, path)] +
                           ["%s: %s" % item for item in fields])
        self.connection.sendall(head.encode() + b"\r\n\r\n" + body)
        self.sent_at = time.monotonic()
        self.received = b""
        self.closed = None

    def read(self, seconds):
        """Reads until the answer is whole, its connection ends, or for
        `seconds`. Returns whether it is whole."""
        end = time.monotonic() + seconds
        while not self.whole():
            left = end - time.monotonic()
            if left <= 0:
                return False
            self.connection.settimeout(left)
            try:
                piece = self.connection.recv(65536)
            except TimeoutError:
                return False
            except OSError as failure:
                self.closed = str(failure)
                return self.whole()
            if not piece:
                self.closed = "closed"
                return self.whole()
            self.received += piece
        return True

    @property
    def status(self):
        return int(self.received[9:12]) if len(self.received) > 12 else None

    def whole(self):
        if b"\r\n\r\n" not in self.received:
            return False
        head, body = self.received.split(b"\r\n\r\n", 1)
        lower = head.lower()
        if b"transfer-encoding: chunked" in lower:
            return body.endswith(b"0\r\n\r\n")
        match = re.search(rb"content-length: *(\d+)", lower)
        return bool(match) and len(body) >= int(match.group(1))
