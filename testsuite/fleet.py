# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""A small fleet of real processes on loopback, for whole-program cases.

Each case starts what it needs, waits on conditions (never for a fixed time),
and ends only the processes that it started.
"""

import errno
import hashlib
import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time
import uuid

SECRET = "a-fleet-secret-for-tests"
WAIT_SECONDS = 60


def own_address(first):
    """Returns the loopback address of this process in 127.`first`.0.0/10.

    Ports that are found free here are bound by another process a moment later.
    On an address that all runs of cases share, another run would have taken
    some of them meanwhile, and its instance would answer for the one here.
    Linux serves all of 127.0.0.0/8, and process ids have 22 bits at most."""
    process = os.getpid()
    return "127.%d.%d.%d" % (first + (process >> 16), process >> 8 & 0xff,
                             process & 0xff)


ADDRESS = own_address(64)
# For an instance that has the same port as another one.
SECOND_ADDRESS = own_address(128)

# Below the ports that Linux gives to those who ask for any (32768 and up, see
# ip_local_port_range), so that no stand-in of this process is given one.
FIRST_PORT = 20_000
ports = itertools.count(FIRST_PORT)


def free_port():
    """Returns a port of ADDRESS that is free, and that is never returned
    again."""
    for port in ports:
        with socket.socket() as probe:
            try:
                probe.bind((ADDRESS, port))
                return port
            except OSError as failure:
                if failure.errno != errno.EADDRINUSE:
                    raise


def has_stopped(child):
    """Whether all threads of a child process stand after SIGSTOP."""
    return os.waitid(os.P_PID, child,
                     os.WSTOPPED | os.WNOWAIT | os.WNOHANG) is not None


def wait_until(condition, what, seconds=WAIT_SECONDS):
    """Returns the first true value of condition(); fails after `seconds`."""
    last = time.monotonic() + seconds
    while True:
        try:
            value = condition()
        except (OSError, http.client.HTTPException):
            value = None
        if value:
            return value
        if time.monotonic() > last:
            raise AssertionError("waited in vain for: " + what)
        time.sleep(0.02)


def uuid7(unix_ms=None):
    """Returns a UUID of version 7 (RFC 9562), now or at `unix_ms`."""
    millis = int(time.time() * 1000) if unix_ms is None else unix_ms
    value = (millis << 80) | (0x7 << 76) | (uuid.uuid4().int & ((1 << 76) - 1))
    value = (value & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=value))


class Answer:
    """A whole HTTP answer."""

    def __init__(self, status, headers, text):
        self.status = status
        self.headers = headers
        self.text = text

    def json(self):
        return json.loads(self.text)

    def error(self):
        """Returns the type of a typed error."""
        return self.json()["error"]["type"]


def http_call(address, method, path, body=None, headers=None, timeout=60):
    """Makes one HTTP call; `body` may be a text or something for JSON."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        if body is not None and not isinstance(body, (str, bytes)):
            body = json.dumps(body)
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return Answer(answer.status, dict(answer.getheaders()),
                      answer.read().decode())
    finally:
        connection.close()


class Process:
    """One started process and the address it serves at."""

    def __init__(self, command, log_path):
        self.log_path = log_path
        self.log = open(log_path, "w")
        self.popen = subprocess.Popen(command, stdout=subprocess.PIPE,
                                      stderr=self.log, text=True)
        line = self.popen.stdout.readline().split()
        if not line:
            raise AssertionError("did not start: " + " ".join(command) + "\n" +
                                 open(log_path).read())
        self.address = line[1]
        self.peers = line[3] if len(line) > 3 else None

    def post(self, path, body=None):
        """Makes a JSON call, for stand-ins."""
        return http_call(self.address, "POST", path, body or {}).json()

    def stats(self):
        return self.post("/stats")

    def fault(self, path, kind, **order):
        """Gives a fault order to a stand-in."""
        return self.post("/fault", dict(order, path=path, kind=kind))

    def clear_faults(self):
        return self.post("/fault/clear")

    def signal(self, number):
        """Sends a signal. After SIGSTOP all threads stand when it returns:
        on a busy machine the process answers on for a moment."""
        self.popen.send_signal(number)
        if number == signal.SIGSTOP:
            wait_until(lambda: has_stopped(self.popen.pid),
                       "a process to stop")

    def kill(self):
        """Ends it at once, as a crash would."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait()
        self.popen.stdout.close()
        self.log.close()


class Entry(Process):
    """An entry instance."""

    def ready(self):
        return http_call(self.address, "GET", "/readyz").status == 200

    def status(self):
        proof = {"X-Crosslink-Fleet": peer_proof()}
        return http_call(self.peers, "GET", "/status", headers=proof).json()

    def metric(self, name):
        """Returns one number of /metrics."""
        for line in http_call(self.address, "GET", "/metrics").text.split("\n"):
            if line.startswith("crosslink_" + name + " "):
                return float(line.split()[1])
        raise AssertionError("no such metric: " + name)

    def believed_blocks(self):
        """Returns the blocks that it believes cached at all engines."""
        return sum(engine["believed_cached_blocks"]
                   for engine in self.status()["engines"])

    def breaches(self):
        return sum(self.status()["invariant_breaches"].values())


def peer_proof():
    """Returns the header value that proves the fleet's secret."""
    import hmac
    return hmac.new(SECRET.encode(), b"crosslink peer",
                    hashlib.sha256).hexdigest()


def account(name, key, template="cooks", **parameters):
    """Returns the declaration of one client account."""
    return {"name": name, "template": template, "parameters": parameters,
            "key_hashes": [hashlib.sha256(key.encode()).hexdigest()]}


def declarations(accounts, version="v1", **changes):
    """Returns a template set with one template and these accounts."""
    body = {
        "models": [{"model": "andes-7b", "version": version,
                    "adapters": ["tags"]}],
        "plain_services": [
            {"service": "bookings", "path_prefix": "/bookings",
             "not_repeatable": [{"method": "POST",
                                 "path_prefix": "/bookings"}]}],
        "limits": {"requests_per_second": 10000,
                   "tokens_per_second": 100000000, "concurrent": 1000},
        "weight": {"$parameter": "weight"},
    }
    body.update(changes)
    return {"templates": [{"name": "cooks",
                           "parameters": {"weight": {"default": 1,
                                                     "minimum": 0.01,
                                                     "maximum": 100}},
                           "account": body}],
            "accounts": accounts}


class Fleet:
    """Starts and ends processes; use as a context."""

    def __init__(self, programs=None):
        self.programs = programs or os.environ["CROSSLINK_PROGRAMS"]
        self.folder = tempfile.TemporaryDirectory(prefix="crosslink-")
        self.processes = []
        self.entries = []
        self.platform = None
        self.count = 0
        self.secret_file = os.path.join(self.folder.name, "secret")
        with open(self.secret_file, "w") as file:
            file.write(SECRET + "\n")

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        failed = kind is not None
        for process in self.processes:
            process.kill()
        if failed:
            for process in self.processes:
                text = open(process.log_path).read()
                if text:
                    print("--- " + process.log_path + "\n" + text[-4000:])
        self.folder.cleanup()

    def _start(self, maker, command):
        self.count += 1
        log = os.path.join(self.folder.name, "%d.log" % self.count)
        process = maker([str(word) for word in command], log)
        self.processes.append(process)
        return process

    def _standin(self, kind, *words, bind=ADDRESS + ":0"):
        program = os.path.join(self.programs, "standins", "crosslink_standin")
        return self._start(Process, [program, kind, "--bind", bind] +
                           list(words))

    def start_platform(self, *words, bind=ADDRESS + ":0"):
        self.platform = self._standin("platform", "--list-lag-ms", 200, *words,
                                      bind=bind)
        return self.platform

    def start_engine(self, zone="zone-a", *words):
        return self._standin("engine", "--platform", self.platform.address,
                             "--zone", zone, *words)

    def start_store(self, zone="zone-a", *words):
        return self._standin("store", "--platform", self.platform.address,
                             "--zone", zone, *words)

    def start_plain(self, zone="zone-a", *words):
        return self._standin("plain", "--platform", self.platform.address,
                             "--zone", zone, *words)

    def start_entry(self, zone="zone-a", *words, platform=None,
                    peer_port=None):
        program = os.path.join(self.programs, "crosslink", "crosslink")
        command = [program, "serve", "--bind", ADDRESS + ":0", "--peer-bind",
                   "%s:%d" % (ADDRESS, peer_port or free_port()),
                   "--zone", zone,
                   "--platform", platform or self.platform.address,
                   "--fleet-secret-file", self.secret_file,
                   "--list-period-ms", 200, "--load-period-ms", 50]
        entry = self._start(Entry, command + list(words))
        self.entries.append(entry)
        return entry

    def tool(self, *words, check=True):
        """Runs the tool; returns the finished process."""
        program = os.path.join(self.programs, "crosslink", "crosslink")
        done = subprocess.run([program] + [str(word) for word in words],
                              capture_output=True, text=True, timeout=120)
        if check and done.returncode != 0:
            raise AssertionError("%s: exit %d\n%s%s" % (
                words, done.returncode, done.stdout, done.stderr))
        return done

    def write_templates(self, document, name="templates"):
        """Writes a directory of declarations; returns its path."""
        path = os.path.join(self.folder.name, name)
        os.makedirs(path, exist_ok=True)
        with open(os.path.join(path, "all.json"), "w") as file:
            json.dump(document, file)
        return path

    def apply(self, document, *words, check=True):
        return self.tool("template", "apply", self.write_templates(document),
                         "--platform", self.platform.address, *words,
                         check=check)

    def wait_ready(self, engines=0, plains=0, stores=0):
        """Waits until all entries are ready and know their upstreams."""
        for entry in self.entries:
            wait_until(entry.ready, "an entry instance to be ready")

            def knows(entry=entry):
                status = entry.status()
                taking = [engine for engine in status["engines"]
                          if engine["takes_work"]]
                return (len(taking) >= engines and
                        len(status["plain"]) >= plains and
                        len(status["stores"]) >= stores)
            wait_until(knows, "an entry instance to know the upstreams")

    def wait_members(self, count):
        """Waits until each entry sees `count` live members."""
        for entry in self.entries:
            def sees(entry=entry):
                alive = [member for member in entry.status()["members"]
                         if member["state"] == "alive"]
                return len(alive) == count
            wait_until(sees, "the members to know each other")


def complete(entry, key, prompt, max_tokens=4, headers=None, **fields):
    """Asks for a completion and returns the answer."""
    body = dict(fields, model=fields.get("model", "andes-7b"), prompt=prompt,
                max_tokens=max_tokens)
    head = {"Authorization": "Bearer " + key}
    head.update(headers or {})
    return http_call(entry.address, "POST", "/v1/completions", body, head)


def book(entry, key, idempotency_key, text="lane", timeout=60):
    """Makes an unrepeatable call to the plain service."""
    head = {"Authorization": "Bearer " + key}
    if idempotency_key:
        head["Idempotency-Key"] = idempotency_key
    return http_call(entry.address, "POST", "/bookings", text, head, timeout)


def stream_events(entry, key, prompt, max_tokens=4, headers=None, on_event=None,
                  **fields):
    """Asks for a streamed completion; returns (seconds to first token, list of
    decoded events)."""
    head = {"Authorization": "Bearer " + key}
    head.update(headers or {})
    body = dict(fields, model="andes-7b", prompt=prompt, max_tokens=max_tokens,
                stream=True)
    connection = http.client.HTTPConnection(entry.address, timeout=60)
    try:
        began = time.monotonic()
        connection.request("POST", "/v1/completions", json.dumps(body), head)
        answer = connection.getresponse()
        first = None
        events = []
        for line in answer:
            if not line.startswith(b"data: "):
                continue
            if first is None:
                first = time.monotonic() - began
            data = line[6:].strip().decode()
            events.append(data if data == "[DONE]" else json.loads(data))
            if on_event:
                on_event(len(events))
        return first, events
    finally:
        connection.close()


def text_of(events):
    """Returns the text of streamed events, and whether it ended whole."""
    text = "".join(event["choices"][0]["text"] for event in events
                   if isinstance(event, dict) and "choices" in event)
    return text, bool(events) and events[-1] == "[DONE]"


def expected_text(prompt, count, version="v1", model="andes-7b", adapter=""):
    """Returns the whole answer that the engine stand-in gives."""
    text = ""
    for index in range(count):
        seed = "\n".join([model, version, adapter, prompt, str(index)])
        text += " w" + hashlib.sha256(seed.encode()).hexdigest()[:5]
    return text


class Link:
    """A cuttable TCP link to an address: what a zone's network is made of."""

    def __init__(self, target):
        self.target = target
        self.cut_now = False
        self.passing = threading.Event()
        self.passing.set()
        self.sockets = set()
        self.lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.bind((ADDRESS, 0))
        self.listener.listen(128)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        """Breaks what is connected and refuses what comes."""
        self.cut_now = True
        self._break()

    def _break(self):
        with self.lock:
            for one in self.sockets:
                try:
                    one.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def hold(self):
        """Passes nothing on until it is mended; nothing is lost."""
        self.passing.clear()

    def break_connections(self):
        """Breaks what is connected; new connections go through."""
        self._break()

    def mend(self):
        self.cut_now = False
        self.passing.set()

    def _accept(self):
        while True:
            near, _ = self.listener.accept()
            if self.cut_now:
                near.close()
                continue
            host, port = self.target.split(":")
            try:
                far = socket.create_connection((host, int(port)))
            except OSError:
                near.close()
                continue
            with self.lock:
                self.sockets.update([near, far])
            for one, other in ((near, far), (far, near)):
                threading.Thread(target=self._carry, args=(one, other),
                                 daemon=True).start()

    def _carry(self, one, other):
        try:
            while True:
                data = one.recv(65536)
                self.passing.wait()
                if not data:
                    break
                other.sendall(data)
        except OSError:
            pass
        for end in (one, other):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
