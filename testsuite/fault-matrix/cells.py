# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""The fault matrix: what fails, at each step of a request's way.

    cells.py --list          names of the cells
    cells.py NAME            runs one cell
    cells.py --all [JOBS]    runs all and prints the table

A cell's name is "step.fault". Every cell ends with the same checks: no key ran
twice, what was told as not run did not run, every whole answer is the right
one, and no instance found a promise broken.
"""

import concurrent.futures
import os
import signal
import subprocess
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import fleet as f  # noqa: E402

KEY = "cook-key"
OTHER_KEY = "vendor-key"
PROMPT = "Price the lane from Brno to Ostrava by rail. " * 200
STEPS = ["authenticate", "admit", "claim", "route", "fetch", "dispatch",
         "relay", "settle", "apply"]
FAULTS = ["platform-down", "platform-slow", "platform-answer-lost",
          "entry-killed", "entry-paused", "zone-cut", "engine-killed",
          "engine-ends-each-time",
          "engine-refuses", "engine-frozen", "engine-swapped", "upstream-drops-request",
          "upstream-answer-lost", "upstream-answer-cut", "upstream-fails-late",
          "upstream-gone", "upstream-backs-off",
          "store-dead", "store-full", "store-slow", "block-freed",
          "block-reused", "late-writer", "events-lost", "caller-gone",
          "operators-race"]
CELLS = {}


def cell(step, fault):
    def add(function):
        CELLS[step + "." + fault] = function
        return function
    return add


# --- scenes -----------------------------------------------------------------

class Scene:
    """A fleet with two instances, and the checks that end every cell."""

    def __init__(self, fleet, engines=0, stores=0, plains=1, entries=2,
                 entry_words=(), store_words=(), engine_words=(), apply=True,
                 plain_words=(), changes=None):
        self.fleet = fleet
        self.platform = fleet.start_platform()
        self.engines = [fleet.start_engine("zone-a", *engine_words)
                        for _ in range(engines)]
        self.stores = [fleet.start_store("zone-a", *store_words)
                       for _ in range(stores)]
        self.plains = [fleet.start_plain("zone-a", *plain_words)
                       for _ in range(plains)]
        self.entries = [
            fleet.start_entry("zone-" + "abc"[i], "--claim-age-ms", 3600000,
                              *entry_words) for i in range(entries)]
        self.told_not_run = []
        if apply:
            fleet.apply(f.declarations(self.accounts(), **(changes or {})))
            fleet.wait_ready(engines, plains, stores)
            fleet.wait_members(entries)

    @staticmethod
    def accounts():
        return [f.account("cooks", KEY), f.account("vendors", OTHER_KEY)]

    def runs(self, key, account="cooks"):
        name = account + "/" + key
        return sum(plain.stats()["runs"].get(name, 0) for plain in self.plains)

    def book(self, entry, key, timeout=60):
        """Books once and checks what the answer says against the service."""
        answer = f.book(entry, KEY, key, timeout=timeout)
        runs = self.runs(key)
        assert runs <= 1, "ran %d times" % runs
        if answer.status == 200:
            assert runs == 1
            assert answer.json()["received"] == "lane"
        elif answer.json()["error"]["not_run"]:
            assert runs == 0, "told as not run, but it ran"
        return answer

    def book_until_settled(self, key, entries=None):
        """Retries as a caller would, over the instances in turn."""
        entries = entries or self.entries
        turn = [0]

        def settled():
            entry = entries[turn[0] % len(entries)]
            turn[0] += 1
            answer = self.book(entry, key)
            if answer.status == 200:
                return answer
            if answer.error() == "claim_outcome_unknown":
                return answer
            return None
        return f.wait_until(settled, "the booking to be settled")

    def complete(self, entry, prompt=PROMPT, tokens=4, version="v1", key=KEY):
        answer = f.complete(entry, key, prompt, tokens)
        assert answer.status == 200, answer.text
        text = answer.json()["choices"][0]["text"]
        assert text == f.expected_text(prompt, tokens, version), "wrong answer"
        return answer.json()["usage"]

    def cached(self, usage):
        return usage["prompt_tokens_details"]["cached_tokens"]

    def keep(self, entry, prompt=PROMPT):
        """Runs a prompt and waits until its blocks are kept."""
        before = entry.metric("blocks_exported_total")
        self.complete(entry, prompt)
        want = before + len(prompt) // 1024
        f.wait_until(lambda: entry.metric("blocks_exported_total") >= want,
                     "the blocks to be kept")
        # The events that tell of the blocks are behind us, so that none of
        # them can be taken for news after the engines forgot.
        for other in self.entries:
            f.wait_until(lambda other=other: other.believed_blocks() >=
                         len(prompt) // 1024, "the events to be told")

    def forget(self):
        for engine in self.engines:
            engine.post("/adjust", {"forget": True})
        # The belief of the instances follows the engines' events.
        for entry in self.entries:
            f.wait_until(lambda entry=entry: entry.believed_blocks() == 0,
                         "the instances to learn that the engines forgot")

    def finish(self):
        for entry in self.entries:
            if entry.popen.poll() is None:
                assert entry.breaches() == 0, entry.status()
        for plain in self.plains:
            assert plain.stats()["most_runs_of_one_key"] <= 1
        for engine in self.engines:
            if engine.popen.poll() is None:
                assert engine.stats()["unsound_blocks_used"] == 0


def scene(**options):
    """Gives a cell its scene and ends it with the common checks."""
    def wrap(function):
        def run():
            with f.Fleet() as fleet:
                made = Scene(fleet, **options)
                function(made)
                made.finish()
        return run
    return wrap


def in_background(function, *arguments):
    pool = concurrent.futures.ThreadPoolExecutor(1)
    future = pool.submit(function, *arguments)
    pool.shutdown(wait=False)
    return future


# --- authenticate and admit -------------------------------------------------

@cell("authenticate", "platform-down")
@scene(engines=1)
def authenticate_platform_down(s):
    s.platform.kill()
    s.complete(s.entries[0])
    wrong = f.complete(s.entries[0], "no-such-key", "hello")
    assert wrong.error() == "unknown_key"
    assert wrong.json()["error"]["not_run"]


@cell("authenticate", "entry-killed")
@scene(engines=1)
def authenticate_entry_killed(s):
    s.entries[0].kill()
    s.complete(s.entries[1])


@cell("admit", "platform-down")
@scene(engines=1, changes={"limits": {"requests_per_second": 1,
                                      "tokens_per_second": 1000000,
                                      "concurrent": 10}})
def admit_platform_down(s):
    s.platform.kill()
    refused = f.wait_until(
        lambda: next((answer for answer in
                      [f.complete(s.entries[0], KEY, "hi", 1)]
                      if answer.status == 429), None), "a refusal")
    assert refused.error() == "rate_limited"
    assert refused.json()["error"]["not_run"]
    assert int(refused.headers["Retry-After"]) >= 1


@cell("admit", "zone-cut")
def admit_zone_cut():
    cut_zone_serves_repeatable()


# --- claim ------------------------------------------------------------------

@cell("claim", "platform-down")
@scene(engines=1)
def claim_platform_down(s):
    s.platform.kill()
    answer = s.book(s.entries[0], f.uuid7())
    assert answer.error() == "claim_unavailable"
    assert answer.json()["error"]["not_run"]
    assert int(answer.headers["Retry-After"]) >= 1
    s.complete(s.entries[0])  # everything repeatable goes on


@cell("claim", "platform-slow")
@scene(entry_words=("--platform-timeout-ms", 200))
def claim_platform_slow(s):
    s.platform.fault("/kv/write", "delay", ms=600, count=3)
    key = f.uuid7()
    answer = s.book_until_settled(key)
    assert answer.status == 200 and s.runs(key) == 1


@cell("claim", "platform-answer-lost")
@scene()
def claim_answer_lost(s):
    s.platform.fault("/kv/write", "drop_answer", count=1)
    key = f.uuid7()
    assert s.book(s.entries[0], key).status == 200
    replay = s.book(s.entries[1], key)
    assert replay.status == 200 and s.runs(key) == 1
    assert replay.headers["Idempotency-Replayed"] == "true"


@cell("claim", "entry-killed")
@scene(entries=3)
def claim_entry_killed(s):
    # The write takes effect, then the instance that asked for it dies.
    s.platform.fault("/kv/write", "freeze", count=1)
    key = f.uuid7()
    first = in_background(f.book, s.entries[0], KEY, key)
    f.wait_until(lambda: s.platform.stats(), "the platform")
    for entry in s.entries[:2]:
        entry.kill()
    s.platform.clear_faults()
    try:
        first.result()
    except Exception:  # its connection broke
        pass
    s.book_until_settled(key, s.entries[2:])


@cell("claim", "entry-paused")
@scene(plain_words=("--work-ms", 50))
def claim_entry_paused(s):
    # One instance is paused with the claim under way; the retry goes to the
    # other; then the paused one wakes.
    s.platform.fault("/kv/write", "delay", ms=300, count=1)
    key = f.uuid7()
    first = in_background(f.book, s.entries[0], KEY, key)
    s.entries[0].signal(signal.SIGSTOP)
    retry = in_background(s.book, s.entries[1], key)
    done, _ = concurrent.futures.wait([retry], timeout=5)
    s.entries[0].signal(signal.SIGCONT)
    retry.result()
    first.result()
    s.book_until_settled(key)
    assert s.runs(key) <= 1


@cell("claim", "zone-cut")
def claim_zone_cut():
    with f.Fleet() as fleet:
        s = Scene(fleet, entries=0, apply=False)
        link = f.Link(s.platform.address)
        s.entries = [fleet.start_entry("zone-a"),
                     fleet.start_entry("zone-b", platform=link.address)]
        fleet.apply(f.declarations(s.accounts()))
        fleet.wait_ready(plains=1)
        link.cut()
        # The cut instance can still reach a peer; alone it can decide nothing.
        for _ in range(5):
            answer = s.book(s.entries[1], f.uuid7())
            assert answer.status == 200 or answer.json()["error"]["not_run"]
        key = f.uuid7()
        s.book_until_settled(key, s.entries[:1])
        link.mend()
        again = s.book_until_settled(key, s.entries[1:])
        assert again.status == 200 and s.runs(key) == 1
        s.finish()


@cell("claim", "operators-race")
@scene(entries=3)
def claim_callers_race(s):
    # The same booking comes to all instances at the same time.
    for _ in range(5):
        key = f.uuid7()
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            list(pool.map(lambda entry: f.book(entry, KEY, key),
                          s.entries * 2))
        assert s.runs(key) == 1
        assert s.book_until_settled(key).status == 200


# --- route ------------------------------------------------------------------

@cell("route", "engine-killed")
@scene(engines=2)
def route_engine_killed(s):
    s.engines[0].kill()
    for _ in range(4):
        s.complete(s.entries[0])


@cell("route", "engine-refuses")
@scene(engines=2)
def route_engine_refuses(s):
    s.engines[0].fault("/runs", "refuse")
    for i in range(4):
        s.complete(s.entries[0], "prompt %d" % i)


@cell("route", "events-lost")
@scene(engines=1, stores=1)
def route_events_lost(s):
    s.complete(s.entries[0])
    s.engines[0].post("/adjust", {"lose_events": True})
    s.forget()
    assert s.cached(s.complete(s.entries[1])) in range(0, len(PROMPT))


@cell("route", "platform-down")
@scene(engines=2)
def route_platform_down(s):
    s.platform.kill()
    s.engines[0].kill()
    for i in range(3):
        s.complete(s.entries[0], "prompt %d" % i)


# --- fetch ------------------------------------------------------------------

@cell("fetch", "store-dead")
@scene(engines=1, stores=1)
def fetch_store_dead(s):
    s.keep(s.entries[0])
    s.forget()
    s.stores[0].kill()
    assert s.cached(s.complete(s.entries[1])) == 0


@cell("fetch", "store-slow")
@scene(engines=1, stores=1)
def fetch_store_slow(s):
    s.keep(s.entries[0])
    s.forget()
    s.stores[0].post("/adjust", {"slowdown": 1000.0})
    assert s.cached(s.complete(s.entries[1])) == 0


@cell("fetch", "store-full")
@scene(engines=1, stores=1)
def fetch_store_full(s):
    s.stores[0].post("/adjust", {"full": True})
    s.complete(s.entries[0])
    f.wait_until(lambda: s.entries[0].metric("exports_failed_total") > 0,
                 "the export to fail")
    s.forget()
    assert s.cached(s.complete(s.entries[1])) == 0


@cell("fetch", "block-freed")
@scene(engines=1, stores=1)
def fetch_block_freed(s):
    s.keep(s.entries[0])
    s.forget()
    # The blocks are freed between the read and the check after it.
    s.stores[0].fault("/blocks/verify", "freeze", count=1)
    asked = in_background(s.complete, s.entries[1])
    f.wait_until(lambda: s.stores[0].stats()["link_bytes"] >
                 2 * (len(PROMPT) // 1024 << 20) - 1, "the read")
    s.stores[0].post("/adjust", {"free_all": True})
    s.stores[0].clear_faults()
    assert s.cached(asked.result()) == 0
    assert s.entries[1].metric("fetches_unsound_total") == 1


@cell("fetch", "block-reused")
@scene(engines=1, stores=1)
def fetch_block_reused(s):
    s.keep(s.entries[0])
    s.forget()
    # Before the read the blocks are freed and their slots written anew.
    s.engines[0].fault("/kv/import", "freeze", count=1)
    asked = in_background(s.complete, s.entries[1])
    f.wait_until(lambda: s.entries[1].metric("fetches_total") > 0, "a fetch")
    s.stores[0].post("/adjust", {"free_all": True})
    for number in range(len(PROMPT) // 1024):
        content = "ab" * 32
        block = {"key": "%064x" % number, "owner": "vendors", "bytes": 1}
        block.update(s.stores[0].post("/blocks/reserve", block))
        s.stores[0].post("/blocks/write", dict(block, data="theirs"))
        s.stores[0].post("/blocks/seal", dict(block, content=content))
    s.engines[0].clear_faults()
    assert s.cached(asked.result()) == 0
    assert s.entries[1].metric("fetches_unsound_total") == 1


@cell("fetch", "late-writer")
@scene(engines=2, stores=1, store_words=("--checks-generation", "false"))
def fetch_late_writer(s):
    # A writer is paused before its bytes go out; its slot is freed, used
    # again, sealed; then it wakes and overwrites it, since this store does
    # not check who writes.
    store = s.stores[0]
    store.fault("/blocks/write", "freeze", count=1)
    s.complete(s.entries[0])
    # All of its slots are reserved, so that none is taken after the store
    # forgot them.
    f.wait_until(lambda: store.stats()["writing"] == len(PROMPT) // 1024,
                 "a paused writer")
    store.post("/adjust", {"forget": True})
    other = "Another sheet for another lane. " * 300
    before = s.entries[1].metric("blocks_exported_total")
    s.complete(s.entries[1], other)
    f.wait_until(lambda: s.entries[1].metric("blocks_exported_total") >=
                 before + len(other) // 1024, "other blocks to be sealed")
    store.clear_faults()
    f.wait_until(lambda: s.entries[0].metric("exports_failed_total") > 0,
                 "the late writer's seal to be turned away")
    s.forget()
    s.complete(s.entries[1], other)
    assert s.entries[1].metric("fetches_unsound_total") >= 1


@cell("fetch", "entry-killed")
@scene(engines=1, stores=1)
def fetch_entry_killed(s):
    # An instance dies while its export is under way: what was not sealed is
    # never listed.
    s.stores[0].fault("/blocks/seal", "freeze", count=1)
    s.complete(s.entries[0])
    f.wait_until(lambda: s.stores[0].stats()["writing"] > 0, "an export")
    s.entries[0].kill()
    for engine in s.engines:
        engine.post("/adjust", {"forget": True})
    usage = s.complete(s.entries[1])
    assert s.cached(usage) <= 1024 // 4


@cell("fetch", "engine-swapped")
@scene(engines=1, stores=1)
def fetch_engine_swapped(s):
    s.keep(s.entries[0])
    # New weights: no block of the old ones may be used.
    s.engines[0].post("/orders", {"action": "load", "version": "v2",
                                  "token": 1})
    s.fleet.apply(f.declarations(s.accounts(), version="v2"))

    def swapped():
        answer = f.complete(s.entries[1], KEY, PROMPT)
        return answer if answer.status == 200 else None
    answer = f.wait_until(swapped, "the new version to be served")
    body = answer.json()
    if body["choices"][0]["text"] == f.expected_text(PROMPT, 4, "v2"):
        assert s.cached(body["usage"]) == 0
    else:
        assert body["choices"][0]["text"] == f.expected_text(PROMPT, 4)


# --- dispatch ---------------------------------------------------------------

@cell("dispatch", "upstream-gone")
@scene()
def dispatch_upstream_gone(s):
    s.plains[0].kill()
    s.plains = []
    answer = s.book(s.entries[0], f.uuid7())
    assert answer.json()["error"]["not_run"], answer.text


@cell("dispatch", "engine-refuses")
@scene(plains=2)
def dispatch_refused_then_other(s):
    s.plains[0].fault("/bookings", "refuse")
    for _ in range(4):
        key = f.uuid7()
        assert s.book_until_settled(key).status == 200


@cell("dispatch", "upstream-backs-off")
@scene(plains=2, entries=1)
def dispatch_upstream_backs_off(s):
    """One refuses once and asks for a minute: the other one gets the calls."""
    s.plains[0].fault("/bookings", "refuse", ms=60_000, count=1)
    for _ in range(30):
        assert s.book_until_settled(f.uuid7()).status == 200
        time.sleep(0.1)
    assert s.plains[0].stats()["total"] <= 1, s.plains[0].stats()


@cell("dispatch", "upstream-drops-request")
@scene(plains=2)
def dispatch_request_dropped(s):
    for plain in s.plains:
        plain.fault("/bookings", "drop_request", count=1)
    key = f.uuid7()
    answer = s.book(s.entries[0], key)
    # Nobody can know, so it must not be told as not run, nor run again.
    assert answer.error() == "claim_outcome_unknown"
    assert s.book(s.entries[1], key).error() == "claim_outcome_unknown"
    assert s.runs(key) == 0


@cell("dispatch", "upstream-answer-lost")
@scene(plains=2)
def dispatch_answer_lost(s):
    # There is another instance to try, and it must not be tried.
    for plain in s.plains:
        plain.fault("/bookings", "drop_answer", count=1)
    key = f.uuid7()
    assert s.book(s.entries[0], key).error() == "claim_outcome_unknown"
    assert s.book(s.entries[1], key).error() == "claim_outcome_unknown"
    assert s.runs(key) == 1


@cell("dispatch", "upstream-fails-late")
@scene(plains=2)
def dispatch_fails_late(s):
    # A bare 503 does not say that the call did not run.
    for plain in s.plains:
        plain.fault("/bookings", "fail_after", count=1)
    key = f.uuid7()
    for entry in s.entries:
        answer = f.book(entry, KEY, key)
        assert answer.status == 503 and "error" not in answer.json()
    assert s.runs(key) == 1


@cell("dispatch", "entry-killed")
@scene(plain_words=("--work-ms", 400))
def dispatch_entry_killed(s):
    key = f.uuid7()
    first = in_background(f.book, s.entries[0], KEY, key)
    f.wait_until(lambda: s.runs(key) == 1, "the booking to run")
    s.entries[0].kill()
    assert first.exception() is not None
    answer = s.book(s.entries[1], key)
    assert answer.error() == "claim_outcome_unknown"
    assert s.runs(key) == 1


@cell("dispatch", "entry-paused")
@scene(plain_words=("--work-ms", 300))
def dispatch_entry_paused(s):
    key = f.uuid7()
    first = in_background(f.book, s.entries[0], KEY, key)
    f.wait_until(lambda: s.runs(key) == 1, "the booking to run")
    s.entries[0].signal(signal.SIGSTOP)
    paused = s.book(s.entries[1], key)
    assert paused.error() == "claim_outcome_unknown"
    s.entries[0].signal(signal.SIGCONT)
    assert first.result().status == 200
    replay = s.book_until_settled(key, s.entries[1:])
    assert replay.status == 200 and s.runs(key) == 1


@cell("dispatch", "engine-frozen")
@scene(engines=2, entry_words=("--upstream-timeout-ms", 300))
def dispatch_engine_frozen(s):
    # The first engine that gets it is silent; which one that is is random.
    s.engines[0].fault("/runs", "freeze")
    for number in range(6):
        s.complete(s.entries[0], "prompt %d" % number)
    # It was given up for the other engine, not asked again.
    assert s.entries[0].metric("resumes_total") == 0
    s.engines[0].clear_faults()


@cell("dispatch", "platform-down")
@scene(engines=1, plain_words=("--work-ms", 300))
def dispatch_platform_down(s):
    key = f.uuid7()
    first = in_background(f.book, s.entries[0], KEY, key)
    f.wait_until(lambda: s.runs(key) == 1, "the booking to run")
    s.platform.kill()
    assert first.result().status == 200
    assert s.runs(key) == 1


@cell("dispatch", "upstream-answer-cut")
@scene(engines=2)
def dispatch_run_lost(s):
    for engine in s.engines:
        engine.fault("/runs", "drop_answer", count=1)
    for i in range(3):
        s.complete(s.entries[0], "prompt %d" % i)


# --- relay ------------------------------------------------------------------

TOKENS = 30


def stream_with(s, entry, on_event, prompt=PROMPT):
    _, events = f.stream_events(entry, KEY, prompt, TOKENS, on_event=on_event)
    text, whole = f.text_of(events)
    expected = f.expected_text(prompt, TOKENS)
    assert expected.startswith(text), "a wrong token"
    if not whole:
        assert "error" in events[-1], "silently short"
    return text == expected and whole, events


def kill_those_that_run(s):
    """Kills the engines that run something now, not those that go on with it."""
    running = [e for e in s.engines if e.stats()["running"] > 0]
    for engine in running:
        engine.kill()
        s.engines.remove(engine)


@cell("relay", "engine-killed")
@scene(engines=2, engine_words=("--token-ms", 20))
def relay_engine_killed(s):
    def kill_running(count):
        if count == 5:
            kill_those_that_run(s)
    whole, _ = stream_with(s, s.entries[0], kill_running)
    assert whole
    assert s.entries[0].metric("continuations_total") == 1


@cell("relay", "engine-ends-each-time")
@scene(engines=5, entries=1, engine_words=("--token-ms", 20))
def relay_engine_ends_each_time(s):
    """Engines that end under one prompt, one after the other: an instance that
    saw three ends sends it to no fourth one."""
    prompt = "under which engines end " * 50

    while len(s.engines) > 2:
        f.stream_events(s.entries[0], KEY, prompt, TOKENS,
                        on_event=lambda _: kill_those_that_run(s))
    answer = f.complete(s.entries[0], KEY, prompt, TOKENS)
    assert (answer.status, answer.error()) == (
        502, "request_ends_upstreams"), answer.text
    assert answer.json()["error"]["not_run"], answer.text
    assert "Retry-After" not in answer.headers, answer.headers
    assert len(s.engines) == 2
    s.complete(s.entries[0])
    # What one account sends says nothing of another's.
    s.complete(s.entries[0], prompt, key=OTHER_KEY)


@cell("relay", "upstream-gone")
@scene(engines=1, engine_words=("--token-ms", 20))
def relay_last_engine_killed(s):
    def kill(count):
        if count == 5:
            s.engines[0].kill()
    whole, events = stream_with(s, s.entries[0], kill)
    assert not whole
    assert events[-1]["error"]["run_state"] == "may_have_run"


@cell("relay", "upstream-answer-cut")
def relay_stream_cut():
    # The link to the only engine breaks in mid-stream; the run is taken up
    # again at the right token.
    with f.Fleet() as fleet:
        s = Scene(fleet, apply=False, plains=0, entries=1)
        engine = fleet._standin("engine", "--zone", "zone-a", "--token-ms", 20)
        link = f.Link(engine.address)
        s.platform.post("/instances/announce", {
            "id": "e", "kind": "engine", "address": link.address,
            "zone": "zone-a"})
        fleet.apply(f.declarations(s.accounts()))
        fleet.wait_ready(engines=1)

        def cut(count):
            if count == 5:
                link.break_connections()
        whole, _ = stream_with(s, s.entries[0], cut)
        assert whole
        assert s.entries[0].metric("resumes_total") >= 1
        assert engine.stats()["started"] == 1
        s.finish()


@cell("relay", "platform-down")
@scene(engines=1, engine_words=("--token-ms", 20))
def relay_platform_down(s):
    whole, _ = stream_with(s, s.entries[0], lambda count: count == 5 and
                           s.platform.kill())
    assert whole


@cell("relay", "caller-gone")
@scene(engines=1, engine_words=("--token-ms", 20))
def relay_caller_gone(s):
    body = '{"model":"andes-7b","prompt":"x","max_tokens":5000,"stream":true}'
    connection = f.http.client.HTTPConnection(s.entries[0].address)
    connection.request("POST", "/v1/completions", body,
                       {"Authorization": "Bearer " + KEY})
    connection.getresponse().readline()
    connection.sock.shutdown(f.socket.SHUT_RDWR)
    connection.close()
    f.wait_until(lambda: s.engines[0].stats()["running"] == 0,
                 "the engine's work to end")
    f.wait_until(lambda: s.engines[0].stats()["canceled"] == 1,
                 "the order to cancel")


@cell("relay", "engine-swapped")
@scene(engines=1, engine_words=("--token-ms", 20))
def relay_engine_swapped(s):
    # The run that goes on across a swap keeps its own weights.
    def swap(count):
        if count == 5:
            s.engines[0].post("/orders", {"action": "load", "version": "v2",
                                          "token": 1})
    whole, _ = stream_with(s, s.entries[0], swap)
    assert whole
    refused = f.complete(s.entries[0], KEY, "new")
    assert refused.error() in ("no_upstream", "wrong_weights"), refused.text
    assert refused.json()["error"]["not_run"]


@cell("relay", "entry-paused")
@scene(engines=1, engine_words=("--token-ms", 20))
def relay_entry_paused(s):
    def pause(count):
        if count == 5:
            s.entries[0].signal(signal.SIGSTOP)
            threading.Timer(0.3, s.entries[0].signal,
                            [signal.SIGCONT]).start()
    whole, _ = stream_with(s, s.entries[0], pause)
    assert whole


# --- settle -----------------------------------------------------------------

@cell("settle", "upstream-answer-lost")
@scene(engines=1)
def settle_answer_lost_to_caller(s):
    # The caller loses the answer of a claimed completion and asks again.
    key = f.uuid7()
    head = {"Idempotency-Key": key}
    first = f.complete(s.entries[0], KEY, PROMPT, 4, head)
    again = f.complete(s.entries[1], KEY, PROMPT, 4, head)
    assert first.status == again.status == 200
    assert first.text == again.text
    assert again.headers["Idempotency-Replayed"] == "true"
    assert s.engines[0].stats()["started"] == 1


@cell("settle", "caller-gone")
@scene(plain_words=("--work-ms", 300))
def settle_caller_gone(s):
    key = f.uuid7()
    try:
        f.book(s.entries[0], KEY, key, timeout=0.1)
    except OSError:
        pass
    answer = s.book_until_settled(key, s.entries[1:])
    assert answer.status == 200 and s.runs(key) == 1


@cell("settle", "entry-killed")
@scene()
def settle_entry_killed(s):
    key = f.uuid7()
    assert s.book(s.entries[0], key).status == 200
    s.entries[0].kill()
    # The kept answer died with its holder: the outcome is told as unknown.
    assert s.book(s.entries[1], key).error() == "claim_outcome_unknown"
    assert s.runs(key) == 1


@cell("settle", "operators-race")
@scene()
def settle_key_reused(s):
    key = f.uuid7()
    assert s.book(s.entries[0], key).status == 200
    other = f.book(s.entries[1], KEY, key, "another lane")
    assert other.error() == "key_reused"
    assert s.runs(key) == 1
    # The same key of another account is another key.
    assert f.book(s.entries[1], OTHER_KEY, key, "lane").status == 200


# --- apply ------------------------------------------------------------------

def apply_and_wait(s, document, revision, entries):
    """Applies, and waits until `revision` is in force at all `entries`."""
    s.fleet.apply(document)
    f.wait_until(lambda: {entry.status()["revision"] for entry in entries} ==
                 {revision}, "the revision to be in force")


@cell("apply", "platform-answer-lost")
@scene()
def apply_answer_lost(s):
    s.platform.fault("/kv/write", "drop_answer", count=8)
    done = s.fleet.apply(f.declarations(s.accounts(), priority=7))
    assert "revision 2" in done.stdout
    history = s.fleet.tool("template", "history", "--platform",
                           s.platform.address).stdout
    assert len(history.strip().split("\n")) == 2


@cell("apply", "operators-race")
@scene()
def apply_race(s):
    path = s.fleet.write_templates(f.declarations(s.accounts(), priority=7))
    words = ("template", "apply", path, "--platform", s.platform.address,
             "--base-revision", 1)
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        codes = list(pool.map(
            lambda _: s.fleet.tool(*words, check=False).returncode, range(4)))
    assert sorted(codes) == [0, 3, 3, 3], codes


@cell("apply", "platform-down")
@scene(engines=1)
def apply_platform_down(s):
    s.platform.fault("/kv", "refuse")
    done = s.fleet.apply(f.declarations(s.accounts()), check=False)
    assert done.returncode == 2
    s.complete(s.entries[0])
    # A fresh instance learns the revision from its zone while it is down.
    fresh = s.fleet.start_entry("zone-a", "--seeds", s.entries[0].peers)
    f.wait_until(fresh.ready, "the fresh instance to serve")
    assert fresh.status()["revision"] == 1
    s.entries.append(fresh)


@cell("apply", "zone-cut")
def apply_zone_cut():
    cut_zone_serves_repeatable()


@cell("apply", "entry-paused")
@scene()
def apply_entry_paused(s):
    s.entries[1].signal(signal.SIGSTOP)
    s.fleet.apply(f.declarations(s.accounts(), priority=7))
    f.wait_until(lambda: s.entries[0].status()["revision"] == 2, "revision 2")
    s.entries[1].signal(signal.SIGCONT)
    f.wait_until(lambda: s.entries[1].status()["revision"] == 2,
                 "the paused instance to follow")


@cell("apply", "entry-killed")
@scene()
def apply_entry_killed(s):
    s.entries[0].kill()
    apply_and_wait(s, f.declarations(s.accounts(), priority=7), 2,
                   s.entries[1:])


def cut_zone_serves_repeatable():
    """A zone cut from the platform and from its peers goes on with the last
    revision, and follows when it is back."""
    with f.Fleet() as fleet:
        s = Scene(fleet, entries=0, engines=1, plains=0, apply=False)
        link = f.Link(s.platform.address)
        port = f.free_port()
        peers = f.Link("%s:%d" % (f.ADDRESS, port))
        inside = fleet.start_entry("zone-b", "--advertise", peers.address,
                                   peer_port=port, platform=link.address)
        outside = fleet.start_entry("zone-a")
        s.entries = [outside, inside]
        fleet.apply(f.declarations(s.accounts()))
        fleet.wait_ready(engines=1)
        link.cut()
        peers.cut()
        s.complete(inside)
        fleet.apply(f.declarations(s.accounts(), priority=7))
        f.wait_until(lambda: outside.status()["revision"] == 2, "revision 2")
        s.complete(inside)
        link.mend()
        peers.mend()
        f.wait_until(lambda: inside.status()["revision"] == 2,
                     "the zone to follow")
        s.complete(inside)
        s.finish()


# --- runner -----------------------------------------------------------------

def run_apart(name):
    done = subprocess.run([sys.executable, os.path.abspath(__file__), name],
                          capture_output=True, text=True)
    return name, done.returncode == 0, done.stdout + done.stderr


def print_table(results):
    print("%-24s" % "" + "  ".join("%-12s" % step for step in STEPS))
    for fault in FAULTS:
        row = "%-24s" % fault
        for step in STEPS:
            passed = results.get(step + "." + fault)
            word = {None: ".", True: "passed", False: "FAILED"}[passed]
            row += "%-14s" % word
        print(row)
    passed = sum(results.values())
    print("%d passed, %d failed, %d of %d cells are not covered (.)" % (
        passed, len(results) - passed,
        len(STEPS) * len(FAULTS) - len(results), len(STEPS) * len(FAULTS)))


def run_all(jobs):
    results = {}
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        for name, passed, output in pool.map(run_apart, CELLS):
            results[name] = passed
            if not passed:
                print("--- " + name + "\n" + output)
    print_table(results)
    return 0 if all(results.values()) else 1


def main():
    if sys.argv[1] == "--list":
        print("\n".join(CELLS))
        return 0
    if sys.argv[1] == "--all":
        return run_all(int(sys.argv[2]) if len(sys.argv) > 2 else 4)
    CELLS[sys.argv[1]]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
