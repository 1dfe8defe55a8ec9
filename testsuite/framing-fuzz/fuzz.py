# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""A fuzz of framing: the real program between rude clients and rude runners.

    fuzz.py [--seed N] [--seeds COUNT] [--seconds S] [--instances P]
            [--relayed] [--faults]

With --relayed the first half of the instances loses the way to all runners, so that
its calls go through the others. With --faults instances are killed, stopped and made
to stand still meanwhile.
The seed gives what clients and runners send; how threads meet is the machine's.
Checks, from what both sides know that they sent and saw: no request runs that no
client sent, none runs changed or in part, what may run once runs once, each answer
is the whole one to its own call, no process ends, memory is bounded, and all is
served again afterwards. It ends only what it started."""

import argparse
import contextlib
import http.client
import os
import random
import re
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "platform", "testsuite"))
import cut_world  # noqa: E402
import rude_client  # noqa: E402
import rude_runner  # noqa: E402
import world as w  # noqa: E402
from world import f  # noqa: E402

CLIENTS = 6
RUNNERS = 3  # of each service
MOST_MEMORY_MB = 200
CALM_CALLS = 20
CALM_SECONDS = 20
LONGEST_BETWEEN_FAULTS = 2.0  # seconds
LONGEST_PAUSE = 1.0           # of an instance


class FuzzWorld(w.World):
    """A store, rude runners, and instances before them."""

    def __init__(self, seed, instances):
        super().__init__(instances=0, engines=0)
        for runner in self.plain:
            self.store.remove("servers/" + runner.id)
        self.rude = []
        for service in ("plain", "llm"):
            for _ in range(RUNNERS):
                runner = rude_runner.RudeRunner(seed, len(self.rude))
                self.list(runner, service)
                self.rude.append(runner)
        self.start_all(instances)

    def start_all(self, instances):
        self.instances = [w.Instance(self.store) for _ in range(instances)]

    def __exit__(self, *reason):
        super().__exit__(*reason)
        for runner in self.rude:
            runner.end()

    def note_end(self, instance):
        """To be called before a process ends."""

    def give_own_ways(self):
        """Returns the numbers of the instances that had others' ways to the
        runners, and now have their own."""
        return []

    def check_relayed(self):
        """Returns what is wrong with the ways through other instances."""
        return []


class RelayedWorld(FuzzWorld, cut_world.CutWorld):
    """A world whose first half of instances reaches runners through the others
    alone."""

    relayed = 0  # calls, by processes that ended

    def start_all(self, instances):
        self.views = [cut_world.GatedStore(self.store)
                      for _ in range(instances)]
        self.instances = [self.start(view, "zone-a") for view in self.views]

    def __enter__(self):
        for runner in self.rude:
            runner.polite = True
        super().__enter__()
        self.cut(range(self.count_cut()), "reset")
        for runner in self.rude:
            runner.polite = False
            runner.runs.clear()
        return self

    def count_cut(self):
        return len(self.instances) // 2

    def give_own_ways(self):
        cut = range(self.count_cut())
        self.heal(cut)
        wait_served(self)
        found = set()
        while strangers := self.start_strangers_again():
            found.update(strangers)
        self.cut(cut, "reset")
        return found

    def note_end(self, instance):
        text = f.http_call(instance.metrics_address, "GET", "/").text
        self.relayed += int(re.search(r"^crosslink_calls_relayed_total (\d+)$",
                                      text, re.MULTILINE).group(1))

    def check_relayed(self):
        # One that started again may have another one's way to the runners.
        for instance in self.instances:
            self.note_end(instance)
        return [] if self.relayed else ["no call was relayed"]


class Faults(w.Background):
    """Kills instances, stops them, or makes them stand still."""

    def __init__(self, seed, world):
        super().__init__()
        self.draw = random.Random("faults %d" % seed)
        self.world = world
        self.wrong = []

    def run(self):
        while not self.stopped.wait(
                self.draw.uniform(0, LONGEST_BETWEEN_FAULTS)):
            instance = self.draw.choice(self.world.instances)
            fault = self.draw.choice([self.kill, self.stop, self.pause])
            try:
                fault(instance)
            except (AssertionError, OSError) as failure:
                self.wrong.append("%s: %r" % (fault.__name__, failure))

    def kill(self, instance):
        self.wrong += check_processes([instance])
        self.world.note_end(instance)
        instance.end()
        self.start_again(instance)

    def stop(self, instance):
        self.wrong += check_processes([instance])
        self.world.note_end(instance)
        instance.process.send_signal(signal.SIGTERM)
        code = instance.process.wait()
        if code != 0:
            self.wrong.append("a planned stop ended with %d" % code)
        self.start_again(instance)

    def pause(self, instance):
        instance.process.send_signal(signal.SIGSTOP)
        time.sleep(self.draw.uniform(0, LONGEST_PAUSE))
        instance.process.send_signal(signal.SIGCONT)

    @staticmethod
    def start_again(instance):
        instance.start_again()
        instance.wait_ready()


def check_runs(sent, runners):
    """Returns what is wrong with the requests that runners got."""
    wrong = []
    counts = {}
    for runner in runners:
        wrong += ["a runner got " + text for text in runner.malformed]
        for run in runner.runs:
            request = sent.get(run.call)
            counts[run.call] = counts.get(run.call, 0) + 1
            if request is None:
                wrong.append("a request ran that nobody sent: %r" % (run,))
            elif request.must_not_run:
                wrong.append("%s ran, %s: %r" % (run.call, request.what,
                                                 request.bytes[:400]))
            elif run.body != request.body or run.target != request.target:
                wrong.append("%s ran changed: %r" % (run.call, request.what))
            elif run.tenant != "one" or run.note != request.note:
                wrong.append("%s ran with %r, %r" % (run.call, run.tenant,
                                                     run.note))
    for call, count in counts.items():
        if count > 1 and call in sent and sent[call].once:
            wrong.append("%s ran %d times" % (call, count))
    return wrong


def check_answers(got, runners):
    """Returns what is wrong with the answers that clients got."""
    wrong = []
    made = {}
    for runner in runners:
        made.update(runner.made)
    for call, answer in got:
        signature = answer.signature()
        if signature is None or not answer.whole:
            continue
        known = made.get(signature)
        if known is None or known.call != call:
            wrong.append("%s got the answer %r" % (call, signature))
        elif not known.whole:
            wrong.append("%s got a part as whole, %s" % (call, known.what))
        elif (answer.status, answer.body) != (known.status, known.body):
            wrong.append("%s got a changed answer, %s" % (call, known.what))
        elif answer.note() != known.note:
            wrong.append("%s got a changed field, %r" % (call, known.note))
    return wrong


def memory_mb(process):
    with open("/proc/%d/status" % process.pid) as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    return 0


def check_processes(instances):
    wrong = []
    for instance in instances:
        if instance.process.poll() is not None:
            wrong.append("a process ended: %r" % instance.process.returncode)
        elif "sanitize" not in os.environ.get("CROSSLINK_PROGRAMS", "") and (
                memory_mb(instance.process) > MOST_MEMORY_MB):
            wrong.append("memory: %d MB" % memory_mb(instance.process))
    return wrong


def status_of_call(world, instance):
    try:
        got = w.call(world, "POST", "/once/", w.headers(), "a",
                     instance=instance)
        return 200 if got.status == 200 else (got.status, got.text)
    except (OSError, http.client.HTTPException) as failure:
        return repr(failure)


def wait_served(world):
    """Returns whether each instance serves calls within some seconds."""
    def served():
        return all(w.call(world, "POST", "/safe/", w.headers(), "a",
                          instance=n).status == 200
                   for n in range(len(world.instances)))
    with contextlib.suppress(AssertionError):
        return f.wait_until(served, "calls are served again", CALM_SECONDS)
    return False


def check_served(world):
    """All is served again once runners are polite."""
    for runner in world.rude:
        runner.polite = True
    # Bytes of no call that still come make unsafe calls fail, as they must.
    f.wait_until(lambda: not any(runner.answering for runner in world.rude),
                 "the rude answers are over", CALM_SECONDS)

    # Where all that started again got the ways of those that are cut, none has
    # any.
    if not wait_served(world) and world.give_own_ways():
        wait_served(world)
    answers = [status_of_call(world, n % len(world.instances))
               for n in range(CALM_CALLS)]
    return ["not served again: %r" % answers] if set(answers) != {200} else []


def play(seed, given):
    """Returns what broke, and how many requests and runs there were."""
    make = RelayedWorld if given.relayed else FuzzWorld
    with make(seed, given.instances) as world:
        clients = [rude_client.RudeClient(seed, n, world.instances)
                   for n in range(CLIENTS)]
        stop = time.monotonic() + given.seconds
        threads = [threading.Thread(target=client.run, args=(stop,))
                   for client in clients]
        faults = Faults(seed, world)
        with faults if given.faults else contextlib.nullcontext():
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        sent = {}
        got = []
        for client in clients:
            sent.update(client.sent)
            got += client.got
        runs = sum(len(runner.runs) for runner in world.rude)
        answered = sum(answer.signature() is not None and answer.whole
                       for _, answer in got)
        wrong = check_runs(sent, world.rude) + check_answers(got, world.rude)
        wrong += [text for client in clients for text in client.wrong]
        wrong += faults.wrong
        wrong += check_processes(world.instances) + check_served(world)
        wrong += world.check_relayed()
        return wrong, len(sent), runs, answered


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=random.randrange(10 ** 6))
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--instances", type=int, default=2)
    parser.add_argument("--relayed", action="store_true")
    parser.add_argument("--faults", action="store_true")
    given = parser.parse_args()
    # Ends what it started also where it is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed = []
    for seed in range(given.seed, given.seed + given.seeds):
        wrong, sent, runs, answered = play(seed, given)
        print("seed %d: %d requests, %d runs, %d whole answers, %s" % (
            seed, sent, runs, answered, "broken" if wrong else "held"),
            flush=True)
        for text in wrong[:20]:
            print("  " + text, flush=True)
        # A run in which nothing is answered checks nothing.
        if wrong or answered == 0:
            failed.append(seed)
    print("failed seeds:", failed)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
