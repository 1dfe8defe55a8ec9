# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""A randomised soak of the platform's door: real instances before the stand-ins,
series of faults that overlap, and callers that use their connections until the
process is gone.

    soak.py [--seed N] [--minutes M] [--processes P] [--seeds COUNT] [--reviewed]

With --reviewed, the faults are those that reviews found: what else ends runners or the
store is left out, so that runners that leave can be judged.

The seed gives the plan of faults and what callers send; how threads meet is the
machine's. Checks, from what callers and runners saw: own and whole answers, events
in order and of one software version, also where a stream is taken up elsewhere, at most
one run of what may run once, "not run" that is true, the right account, no
configuration that goes back, few sends of a request, or of a part of
prompts, under which runners end, runners with limits that are spared, and that all is
served again afterwards. It ends only what it started.
SEEDS.md keeps each seed that failed."""

import argparse
import contextlib
import http.client
import os
import random
import re
import signal
import socket
import sys
import threading
import time
import types

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "platform", "testsuite"))
import crash_cases as crash  # noqa: E402
import endless_cases as endless  # noqa: E402
import limit_cases as limits  # noqa: E402
import order_cases as order  # noqa: E402
import part_crash_cases as parts  # noqa: E402
import status_cases as status_words  # noqa: E402
import world as w  # noqa: E402
from world import f  # noqa: E402

SERIES = 3            # of faults, beside each other
CALLERS = 8
LONGEST_FAULT = 2.5   # seconds
LONGEST_PAUSE = 1.0   # between two faults of one series
HEARTBEAT_SECONDS = 0.4
CALM_SECONDS = 4.0    # until all instances can have heard of all that was
LONGEST_LIMIT = 4.0   # seconds for which a runner is in need
LONGEST_BETWEEN_RESTORES = 8.0
OLDEST_COPY = 3.0     # seconds
LONGEST_AWAY = 1.0    # the platform's store, before it comes back from a copy
LONGEST_REWRITE = 1.0 # until others have written theirs again
LEAVING_PART = 0.3    # of the words of runners: the others ask for a backoff
LIMIT = 0.5           # calls a second, in the check at the end
ENDING_PART = "bad"   # of prompts: runners end as they would begin to answer
ENDING_PREFIX = "aa:160,bad:320,own:16"
CROWDED_PART = 0.85   # of the new connections go to one instance, at times
LONGEST_CROWD = 4.0   # seconds
TOKENS = 12
TAKERS = 6            # callers that leave their streams and take them up
MOST_TAKEN_UP = 3     # times, of one stream
LONGEST_LEFT = 2.0    # seconds until a stream is taken up
LONGEST_RELEASE = 5.0 # until runners come back with other software
SOFTWARE = ("v1", "v1.1", "v1.2")
EVENT_PAUSE = 0.01    # seconds
NOT_RUN = (408, 421, 429, 503)
STATUSES = (200, 404, 429, 500, 502, 503, 504)  # that callers may get
DRAIN_SECONDS = 2.0   # from the end of an entry, a runner may get requests
SERVES_ON_SECONDS = 2.6
CONTACT_SECONDS = 3.0 # without a disturbance, before one is judged
LONGEST_PAUSE_WITHIN = 6.0  # of a runner, amid an answer
MOST_MB = 120         # of an instance
KEYS = {w.KEY: "one", "key-alone": "alone"}


class Proxy(f.Link):
    """A link that can also be slow, or silent in one direction."""

    def __init__(self, target):
        self.delay = 0.0
        self.silent_from = None  # the end whose bytes are lost: near, far
        super().__init__(target)

    def _carry(self, one, other):
        port = int(self.address.split(":")[1])
        side = "near" if one.getsockname()[1] == port else "far"
        try:
            while data := one.recv(65536):
                time.sleep(self.delay)
                if self.silent_from != side:
                    other.sendall(data)
        except OSError:
            pass
        for end in (one, other):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)


class ReplacedEndings(crash.Endings):
    """Of runners that come back with the software that is released."""

    released = SOFTWARE[0]

    def start_again(self, runner):
        runner.software = self.released
        super().start_again(runner)


class Scene:
    """The processes, and what the checks need to know of them."""

    def __init__(self, processes):
        self.world = w.World(instances=0, stores=1, engines=5)
        self.world.plain.append(w.standins.Runner())
        self.world.list(self.world.plain[-1], "plain")
        self.proxies = []
        self.lives = []
        for _ in range(processes):
            proxy = Proxy(self.world.store.address)
            self.proxies.append(proxy)
            self.world.instances.append(w.Instance(
                types.SimpleNamespace(address=proxy.address)))
            self.lives.append(0)
        self.locks = [threading.Lock() for _ in range(processes)]
        self.crowded = None  # the number of the instance that most connect to
        self.version = 1  # of the configuration
        self.weights = 1
        self.lock = threading.Lock()
        self.endings = {"plain": crash.Endings(self.world, "plain",
                                               own_id=True),
                        "llm": ReplacedEndings(self.world, "llm")}
        for runner in self.world.llm:
            runner.tells_software = True
            runner.event_pause = EVENT_PAUSE
        self.failures = []
        self.disturbed = []  # (from, until) of what excuses late requests
        self.away = set()  # runners whose entries are gone
        self.left = []  # (runner, when, how long after it got its last request)

    def fail(self, what):
        self.failures.append(what)

    def runners(self):
        return self.world.plain + self.world.llm


# --- faults: each blocks until it is over ------------------------------------

def restart(scene, number, sign):
    with scene.locks[number]:
        instance = scene.world.instances[number]
        scene.lives[number] += 1
        instance.process.send_signal(sign)
        instance.process.wait()
        instance.start_again()
        instance.wait_ready()


def kill(scene, rng, _):
    restart(scene, rng.randrange(len(scene.lives)), signal.SIGKILL)


def planned_stop(scene, rng, _):
    restart(scene, rng.randrange(len(scene.lives)), signal.SIGTERM)


def pause(scene, rng, span):
    number = rng.randrange(len(scene.lives))
    with scene.locks[number]:
        process = scene.world.instances[number].process
        process.send_signal(signal.SIGSTOP)
        time.sleep(span)
        process.send_signal(signal.SIGCONT)


def leave_alone(scene, rng, span):
    """One instance misses what happens, and then hears from nobody."""
    one = rng.randrange(len(scene.lives))
    with contextlib.ExitStack() as held:
        for lock in scene.locks:
            held.enter_context(lock)
        signal_to(scene, [one], signal.SIGSTOP)
        time.sleep(span / 2)
        others = [n for n in range(len(scene.lives)) if n != one]
        signal_to(scene, others, signal.SIGSTOP)
        scene.proxies[one].cut()
        signal_to(scene, [one], signal.SIGCONT)
        time.sleep(span / 2)
        scene.proxies[one].mend()
        signal_to(scene, others, signal.SIGCONT)


def signal_to(scene, numbers, sign):
    for number in numbers:
        scene.world.instances[number].process.send_signal(sign)


def end_runner(scene, rng, _):
    rng.choice(scene.runners()).end()


def silence_runner(scene, rng, _):
    rng.choice(scene.runners()).server.silence()


def spoil_runner(scene, rng, span):
    runner = rng.choice(scene.runners())
    runner.script["*"] = rng.choice(["refuse", "lose", "status:500", "break:3",
                                     "cut"])
    time.sleep(span)
    runner.script.pop("*", None)


def platform_away(scene, _, span):
    scene.world.store.down = True
    time.sleep(span)
    scene.world.store.down = False


def link_fault(scene, rng, span):
    proxy = rng.choice(scene.proxies)
    how = rng.choice(["cut", "break", "slow", "near", "far"])
    if how == "cut":
        proxy.cut()
    elif how == "break":
        proxy.break_connections()
    elif how == "slow":
        proxy.delay = 0.3
    else:
        proxy.silent_from = how
    time.sleep(span)
    proxy.mend()
    proxy.delay = 0.0
    proxy.silent_from = None
    if how in ("near", "far"):
        proxy.break_connections()


def new_configuration(scene, _rng, _span):
    with scene.lock:
        scene.version += 1
        more = [w.route("v%d" % n, "safe", "plain")
                for n in range(2, scene.version + 1)]
        scene.world.store.put("op/config", w.configuration(
            scene.world.kept, scene.version, more))


def new_weights(scene, _rng, _span):
    with scene.lock:
        scene.weights += 1
        scene.world.store.put("op/version/m", {"model": "m",
                                               "version": scene.weights})


FAULTS = [kill, kill, planned_stop, planned_stop, pause, pause, leave_alone,
          end_runner, end_runner, silence_runner, spoil_runner, spoil_runner,
          platform_away, link_fault, link_fault, new_configuration,
          new_weights]


def run_series(scene, seed, end, faults):
    rng = random.Random(seed)
    while time.monotonic() < end:
        time.sleep(rng.uniform(0, LONGEST_PAUSE))
        fault, span = rng.choice(faults), rng.uniform(0.2, LONGEST_FAULT)
        try:
            fault(scene, rng, span)
        except Exception as failure:  # noqa: BLE001: told, never passed over
            scene.fail("%s: %r" % (fault.__name__, failure))


def name_limits(scene, rng, end):
    """Runners come into need, which rises and falls, and are well again."""
    while time.monotonic() < end:
        runner = rng.choice(scene.runners())
        for _ in range(rng.randrange(1, 4)):
            runner.limit = rng.choice([0, 0.3, 1.5, 8])
            time.sleep(rng.uniform(0.2, LONGEST_LIMIT))
        runner.limit = None


def ask_for_backoff(scene, rng, end):
    """Runners turn calls away and want a backoff; others say that they leave, and
    end."""
    while time.monotonic() < end:
        runner = rng.choice(scene.runners())
        if rng.random() < LEAVING_PART:
            runner.says_leaving = True
            time.sleep(rng.uniform(0.2, LONGEST_FAULT))
            runner.end()
            runner.says_leaving = False
        else:
            runner.backoff = rng.choice(["0.3", "1.5", "soon"])
            time.sleep(rng.uniform(0.2, LONGEST_FAULT))
            runner.backoff = None


def restore_store(scene, rng, end):
    """The platform's store comes back from a copy, with or without its history,
    and others write theirs again."""
    store = scene.world.store
    while time.monotonic() < end:
        time.sleep(rng.uniform(0, LONGEST_BETWEEN_RESTORES))
        copy = store.copy()
        time.sleep(rng.uniform(0, OLDEST_COPY))
        store.down = True
        if rng.random() < 0.5:
            store.server.break_connections()
        time.sleep(rng.uniform(0, LONGEST_AWAY))
        with store.changed:
            entries = store.others_entries()
            store.restore(copy, with_history=rng.random() < 0.5)
        store.down = False
        time.sleep(rng.uniform(0, LONGEST_REWRITE))
        store.write_again(entries)


def answer_unframed(scene, rng, end):
    """Answers of some runners have neither a length nor chunks."""
    while time.monotonic() < end:
        runner = rng.choice(scene.runners())
        runner.unframed = True
        time.sleep(rng.uniform(0.2, LONGEST_FAULT))
        runner.unframed = False


def crowd_instances(scene, rng, end):
    """Most new connections go to one instance, then to another one."""
    while time.monotonic() < end:
        scene.crowded = rng.choice([None, *range(len(scene.lives))])
        time.sleep(rng.uniform(0.5, LONGEST_CROWD))


def release_software(scene, rng, end):
    """Runners that end come back with another version than they had."""
    while time.monotonic() < end:
        scene.endings["llm"].released = rng.choice(SOFTWARE)
        rng.choice(scene.world.llm).end()
        time.sleep(rng.uniform(0.5, LONGEST_RELEASE))


def list_weights(scene, end):
    """Lets runners tell the platform which weights they have, as the wire's
    runners do with each heartbeat. Instances that start later know them from
    there alone."""
    listed = {}
    endings = scene.endings["llm"]
    while time.monotonic() < end:
        time.sleep(HEARTBEAT_SECONDS)
        for runner in scene.world.llm:
            state = (runner.id, runner.version)
            with scene.lock:
                if (runner not in scene.away and not runner.is_down and
                        listed.get(runner) != state):
                    listed[runner] = state
                    endings.list(runner)


# --- what reviews found -------------------------------------------------------

def note_disturbed(scene, since):
    """Runners that leave in such a time are not judged."""
    scene.disturbed.append((since, time.monotonic()))


def cut_watches(scene, rng, _):
    for _ in range(rng.randrange(1, 6)):
        scene.world.store.cut_watches()
        time.sleep(rng.uniform(0, 0.4))


def leave_unannounced(scene, rng, _):
    """The entry of a runner goes, and it serves on; later it is listed again."""
    service = rng.choice(["plain", "llm"])
    runners = getattr(scene.world, service)
    with scene.lock:
        here = [r for r in runners if r not in scene.away and not r.is_down]
        if len(here) < 2:
            return
        runner = rng.choice(here)
        scene.away.add(runner)
        scene.world.store.remove("servers/" + runner.id)
    gone_at = time.monotonic()
    time.sleep(SERVES_ON_SECONDS)
    came = [when - gone_at for _, when in runner.came if when > gone_at]
    scene.left.append((runner.id, gone_at, max(came, default=0)))
    with scene.lock:
        scene.away.discard(runner)
        scene.endings[service].list(runner)


def kill_holder(scene, rng, _):
    """Kills the holder of the duty some times, each time the one there is."""
    for _ in range(rng.randrange(1, 4)):
        address = scene.world.store.value("crosslink/duty/steward") or ":0"
        port = int(address.rsplit(":", 1)[1])
        for number, instance in enumerate(scene.world.instances):
            if instance.ports["peer"] == port:
                restart(scene, number, signal.SIGKILL)
        time.sleep(rng.uniform(1, 4))


def name_weights_while_none_runs(scene, rng, _):
    """All are killed at once, and weights are named before they start."""
    since = time.monotonic()
    with contextlib.ExitStack() as held:
        for lock in scene.locks:
            held.enter_context(lock)
        for number, instance in enumerate(scene.world.instances):
            scene.lives[number] += 1
            instance.process.kill()
            instance.process.wait()
        new_weights(scene, rng, 0)
        time.sleep(rng.uniform(0, 2))
        for instance in scene.world.instances:
            instance.start_again()
        for instance in scene.world.instances:
            instance.wait_ready()
    note_disturbed(scene, since)


def pause_in_answers(scene, rng, _):
    runner = rng.choice(scene.runners())
    runner.script["*"] = "pause:%.1f" % rng.uniform(0.1, LONGEST_PAUSE_WITHIN)
    time.sleep(rng.uniform(0.5, LONGEST_FAULT))
    runner.script.pop("*", None)


def answer_without_status(scene, rng, span):
    runner = rng.choice(scene.runners())
    runner.cut_answer = status_words.answers_with(
        rng.choice(status_words.NO_STATUSES))
    time.sleep(span)
    runner.cut_answer = None


def answer_without_end(scene, rng, span):
    server, path = rng.choice(
        [(r.server, p) for r in scene.runners() for p in ("/report", "/order")]
        + [(scene.world.store.server, "/kv-range")] +
        [(k.server, p) for k in scene.world.kept
         for p in ("/kv-list", "/kv-events")])
    server.endless[path] = rng.choice(endless.FORMS)
    time.sleep(span)
    server.endless.pop(path)


REVIEWED = [cut_watches, cut_watches, leave_unannounced, leave_unannounced,
            kill_holder, name_weights_while_none_runs, pause_in_answers,
            answer_without_status, answer_without_end, planned_stop]


def check_left(scene):
    """Runners that left got no requests for longer than they may."""
    for name, gone_at, last in scene.left:
        around = (gone_at - CONTACT_SECONDS, gone_at + SERVES_ON_SECONDS)
        disturbed = any(since < around[1] and until > around[0]
                        for since, until in scene.disturbed)
        if not disturbed and last > DRAIN_SECONDS:
            scene.fail("%s got requests %.2f s after its entry was gone"
                       % (name, last))


def check_memory(scene):
    for instance in scene.world.instances:
        peak = endless.peak_mb(instance)
        if peak > MOST_MB:
            scene.fail("an instance took %d MB" % peak)


# --- callers ------------------------------------------------------------------

class Caller:
    """Sends one call after the other on a connection, until it breaks."""

    def __init__(self, scene, seed):
        self.scene = scene
        self.rng = random.Random(seed)
        self.crowd = random.Random("crowd %d" % seed)
        self.name = "s%d" % seed
        self.connection = None
        self.sent = []  # (id, path, key, status)
        self.seen_version = {}  # by life of an instance
        self.served = 0

    def connect(self):
        self.number = self.rng.randrange(len(self.scene.lives))
        crowded = self.scene.crowded
        if crowded is not None and self.crowd.random() < CROWDED_PART:
            self.number = crowded
        self.life = (self.number, self.scene.lives[self.number])
        address = self.scene.world.instances[self.number].address
        self.connection = http.client.HTTPConnection(address, timeout=15)

    def run(self, end):
        number = 0
        while time.monotonic() < end:
            number += 1
            self.call("%s-%d" % (self.name, number))
            time.sleep(self.rng.uniform(0, 0.05))

    def call(self, call):
        path = self.rng.choice(["safe", "once", "stream", "resume", "added"])
        key = self.rng.choice(sorted(KEYS))
        version = self.scene.version
        if path == "added":
            path = "v%d" % version if version > 1 else "safe"
        more = {"key": key, "call": call}
        head = (w.generation(TOKENS, prefix="aa:160,own-%s:16" % call, **more)
                if path in ("stream", "resume") else w.headers(**more))
        if self.connection is None:
            self.connect()
        status = None
        try:
            self.connection.request("POST", "/%s/" % path, body=call,
                                    headers=head)
            answer = self.connection.getresponse()
            status = answer.status
            self.check(call, path, version, status, answer.read().decode())
            if answer.will_close:
                self.connection = None
        except (OSError, http.client.HTTPException):
            self.connection.close()
            self.connection = None
        self.sent.append((call, path, key, status))

    def check(self, call, path, version, status, text):
        if path.startswith("v"):
            self.check_version(version, status)
        if status not in STATUSES:
            self.scene.fail("%s: answered %s" % (call, status))
        if status != 200:
            return
        self.served += 1
        whole = (w.events(text) == ["t%d" % n for n in range(1, TOKENS + 1)]
                 if path in ("stream", "resume") else text == "body of " + call)
        if not whole:
            self.scene.fail("%s: not its whole answer: %r" % (call, text))
        versions = set(re.findall(r"^: (\S+)$", text, re.MULTILINE))
        if len(versions) > 1:
            self.scene.fail("%s: joined %s" % (call, sorted(versions)))

    def check_version(self, version, status):
        seen = self.seen_version.get(self.life, 0)
        same_life = self.scene.lives[self.number] == self.life[1]
        if status == 200:
            self.seen_version[self.life] = max(seen, version)
        elif status == 404 and version <= seen and same_life:
            self.scene.fail("configuration went back from %d" % seen)


class Taker:
    """Leaves its streams and takes them up at any instance."""

    def __init__(self, scene, seed):
        self.scene = scene
        self.rng = random.Random("taker %d" % seed)
        self.taken_up = 0

    def run(self, end):
        while time.monotonic() < end:
            stream = order.Stream(0)
            self.read(stream, stream.begin,
                      self.rng.randrange(1, order.EVENTS))
            for _ in range(self.rng.randrange(1, MOST_TAKEN_UP + 1)):
                if not stream.events or stream.is_whole():
                    break
                time.sleep(self.rng.uniform(0, LONGEST_LEFT))
                self.read(stream, stream.take_up, self.rng.choice(
                    [None, self.rng.randrange(1, order.EVENTS)]))
            time.sleep(self.rng.uniform(0, 0.1))

    def read(self, stream, use, stop_after):
        before = len(stream.events)
        with contextlib.suppress(OSError):
            use(self.rng.choice(self.scene.world.instances).address,
                stop_after)
        self.check(stream)
        if 0 < before < len(stream.events):
            self.taken_up += 1

    def check(self, stream):
        if len(stream.versions()) > 1:
            self.scene.fail("%s: joined %s" % (stream.name, stream.events))
        numbers = [number for number, _ in stream.events]
        if numbers != list(range(1, len(numbers) + 1)):
            self.scene.fail("%s: out of order %s" % (stream.name, numbers))


def send_ending_request(scene, rng, end):
    """A request under which runners end comes again and again, anywhere."""
    while time.monotonic() < end:
        instance = rng.choice(scene.world.instances)
        with contextlib.suppress(OSError, http.client.HTTPException):
            crash.send(instance, "/safe/", w.headers)
        time.sleep(rng.uniform(0.05, 0.7))


def send_ending_part(scene, rng, end):
    """Requests that share a part under which runners end, no two alike."""
    for runner in scene.world.llm:
        runner.ending_parts = {ENDING_PART}
    while time.monotonic() < end:
        instance = rng.choice(scene.world.instances)
        with contextlib.suppress(OSError, http.client.HTTPException):
            send_part(instance, rng.random())
        time.sleep(rng.uniform(0.05, 1.0))


def send_part(instance, body):
    crash.send(instance, "/stream/",
               lambda: w.generation(prefix=ENDING_PREFIX), str(body))


# --- checks at the end ---------------------------------------------------------

def check_runs(scene, callers):
    runs = {}
    accounts = {}
    for runner in scene.runners():
        for call in runner.ran:
            runs[call] = runs.get(call, 0) + 1
        for call, head in runner.seen:
            accounts.setdefault(call, set()).add(head.get("crosslink-tenant"))
    for caller in callers:
        for call, path, key, status in caller.sent:
            count = runs.get(call, 0)
            if path in ("once", "stream") and count > 1:
                scene.fail("%s ran %d times" % (call, count))
            if status in NOT_RUN and count > 0:
                scene.fail("%s ran, and was told %d" % (call, status))
            if accounts.get(call, {KEYS[key]}) != {KEYS[key]}:
                scene.fail("%s came as %s" % (call, accounts[call]))


def check_served_again(scene):
    for endings in scene.endings.values():
        endings.all_are_back()
    for instance in scene.world.instances:
        for path, head in (("/safe/", w.headers), ("/once/", w.headers),
                           ("/stream/", w.generation)):
            f.wait_until(lambda i=instance, p=path, h=head: crash.send(
                i, p, h, crash.OTHER_BODY).status == 200,
                "%s is served again" % path)


def check_in_force(scene):
    """The newest configuration is, everywhere."""
    for instance in scene.world.instances:
        path = "/v%d/" % scene.version if scene.version > 1 else "/safe/"
        status = crash.send(instance, path, w.headers,
                            crash.OTHER_BODY).status
        if status != 200:
            scene.fail("%s is answered %d" % (path, status))


def check_blocked(scene):
    plain = scene.endings["plain"]
    before = plain.arrived()
    for instance in scene.world.instances:
        with contextlib.suppress(http.client.HTTPException):
            crash.send(instance, "/safe/", w.headers)
        plain.all_are_back()
    if plain.arrived() - before > crash.MOST_SENT_LATER:
        scene.fail("a request that ends runners reached %d more"
                   % (plain.arrived() - before))


def arrived_with_part(scene):
    """How many calls with the part under which runners end reached them."""
    return sum(ENDING_PART in w.standins.shared_parts(head)
               for runner in scene.world.llm for _, head in runner.seen)


def check_part_blocked(scene):
    before = arrived_with_part(scene)
    for number, instance in enumerate(scene.world.instances):
        with contextlib.suppress(http.client.HTTPException):
            send_part(instance, number)
        scene.endings["llm"].all_are_back()
    more = arrived_with_part(scene) - before
    if more > parts.MOST_SENT_LATER:
        scene.fail("a part that ends runners reached %d more" % more)


def check_limit(scene):
    """All instances together spare a runner that is in need."""
    runner = scene.world.plain[0]
    runner.limit = LIMIT
    first = time.monotonic()
    end = first + limits.TOLD_SECONDS + limits.SPAN_SECONDS
    refused = 0
    while time.monotonic() < end:
        for instance in scene.world.instances:
            refused += crash.send(instance, "/safe/", w.headers,
                                  crash.OTHER_BODY).status != 200
    try:
        limits.spared(runner, first, LIMIT)
    except AssertionError as failure:
        scene.fail("not spared: %s" % failure)
    if refused:
        scene.fail("%d calls refused beside a runner in need" % refused)


def soak(seed, seconds, processes, reviewed):
    scene = Scene(processes)
    with scene.world:
        end = time.monotonic() + seconds
        callers = [Caller(scene, seed * 1000 + n) for n in range(CALLERS)]
        threads = [threading.Thread(
            target=run_series, args=(scene, seed * 100 + n, end,
                                     REVIEWED if reviewed else FAULTS))
                   for n in range(SERIES)]
        takers = [Taker(scene, seed * 1000 + n) for n in range(TAKERS)]
        threads += [threading.Thread(target=c.run, args=(end,))
                    for c in callers + takers]
        threads.append(threading.Thread(
            target=list_weights, args=(scene, end + CALM_SECONDS)))
        if not reviewed:
            threads += other_series(scene, seed, end)
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        check_served_again(scene)
        time.sleep(CALM_SECONDS)
        check_in_force(scene)
        if not reviewed:
            check_blocked(scene)
            check_part_blocked(scene)
            check_limit(scene)
        check_left(scene)
        check_memory(scene)
        check_runs(scene, callers)
    served = sum(c.served for c in callers)
    sent = sum(len(c.sent) for c in callers)
    print("seed %d: %d calls, %d served, %d streams taken up, "
          "%d runners ended, %d left, %s" % (
        seed, sent, served, sum(t.taken_up for t in takers),
        sum(len(e.times) for e in scene.endings.values()), len(scene.left),
        "; ".join(scene.failures[:5]) or "nothing broken"), flush=True)
    if served == 0:
        scene.fail("nothing was served")
    return not scene.failures


def other_series(scene, seed, end):
    """Series beside the faults: whoever ends runners, turns calls away, brings
    the store back from a copy or sends most to one instance."""
    threads = [threading.Thread(
        target=send_ending_request, args=(scene, random.Random(seed), end))]
    for what, series in (("limits", name_limits), ("words", ask_for_backoff),
                         ("copies", restore_store), ("parts", send_ending_part),
                         ("unframed", answer_unframed),
                         ("crowds", crowd_instances),
                         ("software", release_software)):
        threads.append(threading.Thread(target=series, args=(
            scene, random.Random("%s %d" % (what, seed)), end)))
    return threads


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=0.5)
    parser.add_argument("--processes", type=int, default=5)
    parser.add_argument("--reviewed", action="store_true")
    words = parser.parse_args()
    failed = [seed for seed in range(words.seed, words.seed + words.seeds)
              if not soak(seed, words.minutes * 60, words.processes,
                          words.reviewed)]
    if failed:
        sys.exit("failed: seeds %s" % failed)


if __name__ == "__main__":
    main()
