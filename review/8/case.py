# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""DRAIN: the entry of a runner goes, and machines send to it for longer than
drainMs, after the process that watched the store for them was killed."""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import deployment as d  # noqa: E402

DRAIN_S = 2.0    # drainMs
CONTACT_S = 3.0  # contactMs
MACHINES = 4
RUNNERS = 3
CALLERS_EACH = 6
WORK_S = 0.06    # the sheet's work of a request
#: From the cut of the watches to the leaving of the runner.
LEAVES_AFTER_S = 0.2
#: The runner serves on for drainMs after the store has taken its leaving "and a
#: little longer", then its process ends.
ENDS_AFTER_S = DRAIN_S + 0.4
WATCHED_S = 6.0


class Arrivals:
    def __init__(self):
        self.lock = threading.Lock()
        self.all = []  # (when, runner, id of the request)

    def run(self, runner, request, connection):
        with self.lock:
            self.all.append((time.monotonic(), runner.id, request.id))
        time.sleep(WORK_S)
        connection.sendall(runner.head(request, Content_Length="2") + b"ok")
        return True


class Caller(threading.Thread):
    """Sends one request after the other to one machine."""

    def __init__(self, front, stopped, sent_to):
        super().__init__(daemon=True)
        self.front = front
        self.stopped = stopped
        self.sent_to = sent_to  # id of the request -> name of the machine
        self.answers = {}
        self.failed = []  # ids of requests without a success

    def run(self):
        connection = None
        while not self.stopped.wait(0.008):
            try:
                call = d.Call(self.front.address, "/quote/2f",
                              deadline_ms=2500, connection=connection)
                self.sent_to[call.id] = self.front.name
                call.read(3)
                self.answers[call.status] = self.answers.get(
                    call.status, 0) + 1
                if call.status != 200:
                    self.failed.append(call.id)
                connection = None if call.closed else call.connection
            except OSError:
                connection = None
                if self.front.process.poll() is not None:
                    return


def main():
    record = d.Record(HERE)
    arrivals = Arrivals()
    runners = [d.Runner("plain", arrivals.run) for _ in range(RUNNERS)]
    routes = [d.route("quote", "unsafe", "plain", timeoutMs=2500,
                      targetLatencyMs=300)]
    stopped = threading.Event()
    sent_to = {}
    with d.Deployment(routes, runners, fronts=MACHINES) as deployment:
        time.sleep(CONTACT_S + 1)
        callers = [Caller(front, stopped, sent_to)
                   for front in deployment.fronts
                   for _ in range(CALLERS_EACH)]
        for caller in callers:
            caller.start()
        time.sleep(1)
        holder = deployment.holder()
        if not holder:
            raise d.Held("nobody holds the duty")
        watchers = 1
        killed = ""
        if d.TROUBLE:
            killed = holder.name
            holder.signal(signal.SIGKILL)
            record("%s, the holder of the duty, is killed" % holder.name)
            time.sleep(1.2)
            watchers = MACHINES - 1
        end = time.monotonic() + 5
        while len(deployment.store.waiting) < watchers:
            if time.monotonic() > end:
                raise d.Held("the machines do not watch")
            time.sleep(0.002)
        record("the store cuts %d watches that wait" %
               deployment.store.cut_watches())
        time.sleep(LEAVES_AFTER_S)
        leaving = deployment.runners[0]
        gone_at = deployment.leave(leaving)
        record("the entry of %s is gone" % leaving.id)
        time.sleep(ENDS_AFTER_S)
        leaving.close()
        record("%s ends" % leaving.id)
        time.sleep(WATCHED_S - ENDS_AFTER_S)
        stopped.set()
        for caller in callers:
            caller.join(5)
        for front in deployment.fronts:
            for line in front.text().splitlines():
                if any(word in line for word in (
                        "runner_lapsed", "runner_gone", "platform_lost")):
                    record("%s logs %s" % (front.name, line))
    late = [(when - gone_at, sent_to.get(call, "?"))
            for when, runner, call in arrivals.all
            if runner == leaving.id and when > gone_at + DRAIN_S]
    after = [when for when, runner, _ in arrivals.all
             if runner == leaving.id and when > gone_at]
    counts = {}
    for caller in callers:
        for status, count in caller.answers.items():
            counts[status] = counts.get(status, 0) + count
    record("answers by status: %s" % counts)
    runs = {call for _, runner, call in arrivals.all if runner == leaving.id}
    lost = [call for caller in callers for call in caller.failed
            if call in runs and sent_to[call] != killed]
    record("%d unsafe requests ran there and got no success: %s" % (
        len(lost), lost))
    record("%s got %d requests after its entry was gone, the last %.2f s "
           "after" % (leaving.id, len(after),
                      max(after, default=gone_at) - gone_at))
    for since, name in late:
        record("a request from %s reached it after %.3f s" % (name, since))
    print("%d unsafe requests that ran there were lost as it ended" % len(lost))
    print("%d requests reached the runner later than drainMs, from %s; the "
          "last after %.2f s" % (len(late), sorted({n for _, n in late}),
                                 max((s for s, _ in late), default=0)))
    return 1 if late else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (d.Held, OSError) as failure:
        print("the case could not run: %s" % failure)
        sys.exit(2)
