# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""Measures the slopes of docs/CAPACITY.md:

    capacity.py BUILD [fleet] [accounts] [claims] [requests] [tokens]
                    [engines]

All on loopback, bounded in count and time.
"""

import concurrent.futures
import os
import sys
import time

from measure import (accounts, cpu_seconds, f, load, loopback_bytes,
                     resident_mb, slope, start_shipped)

ZONES = ["zone-a", "zone-b", "zone-c"]
SPAN_SECONDS = 10


def start(fleet, entries, engines=0, plains=0, count=10, words=()):
    """Starts a fleet with the settings that ship, and waits for it."""
    fleet.start_platform()
    for number in range(engines):
        fleet.start_engine(ZONES[number % 3])
    for number in range(plains):
        fleet.start_plain(ZONES[number % 3])
    for number in range(entries):
        start_shipped(fleet, ZONES[number % 3], *words)
    fleet.apply(f.declarations(accounts(count)))
    fleet.wait_ready(engines, plains)
    fleet.wait_members(entries)


def idle(fleet):
    """Measures a fleet that serves nothing; per instance and second."""
    time.sleep(2)
    before = [cpu_seconds(entry) for entry in fleet.entries]
    calls = fleet.platform.stats()
    wire = loopback_bytes()
    began = time.monotonic()
    time.sleep(SPAN_SECONDS)
    span = time.monotonic() - began
    wire = loopback_bytes() - wire
    now = fleet.platform.stats()
    count = len(fleet.entries)
    used = sum(cpu_seconds(entry) for entry in fleet.entries) - sum(before)
    return {
        "cpu_share": used / count / span,
        "memory_mb": max(resident_mb(entry) for entry in fleet.entries),
        "wire_bytes": wire / count / span,
        "reads": (now["reads"] - calls["reads"]) / span,
        "writes": (now["writes"] - calls["writes"]) / span,
    }


def change_seconds(fleet, count, rounds=3):
    """Returns the times from apply until in force everywhere, and the
    processor seconds of all instances for one change."""
    times = []
    before = sum(cpu_seconds(entry) for entry in fleet.entries)
    for number in range(rounds):
        changed = accounts(count)
        changed[number % count]["parameters"]["weight"] = 2 + number
        path = fleet.write_templates(f.declarations(changed))
        began = time.monotonic()
        fleet.tool("template", "apply", path, "--platform",
                   fleet.platform.address, "--wait", "--wait-seconds", 60,
                   "--instance", fleet.entries[0].peers,
                   "--fleet-secret-file", fleet.secret_file)
        times.append(time.monotonic() - began)
    used = sum(cpu_seconds(entry) for entry in fleet.entries) - before
    return times, used / rounds / len(fleet.entries)


def measure_fleet(programs):
    print("\nfleet size (no engines, no load)\n| instances | cpu of a core | "
          "MB | wire bytes/s an instance | platform reads/s | writes/s | "
          "change in force, s |\n|---|---|---|---|---|---|---|")
    series = {}
    for count in (3, 9, 18, 36, 60):
        with f.Fleet(programs) as fleet:
            start(fleet, count)
            figures = idle(fleet)
            times, _ = change_seconds(fleet, 10)
        print("| %d | %.2f%% | %.1f | %.0f | %.2f | %.2f | %s |" % (
            count, figures["cpu_share"] * 100, figures["memory_mb"],
            figures["wire_bytes"], figures["reads"], figures["writes"],
            ", ".join("%.2f" % value for value in times)), flush=True)
        for name, value in figures.items():
            series.setdefault(name, []).append((count, value))
    for name, points in series.items():
        print("%s: %.4g + %.4g x instances (worst residual %.2g)" % (
            (name,) + slope(points)))


def measure_accounts(programs):
    print("\nclient accounts (3 instances)\n| accounts | MB | change in force, "
          "s | cpu s a change and instance |\n|---|---|---|---|")
    points = []
    for count in (10, 1000, 4000, 13000):
        with f.Fleet(programs) as fleet:
            start(fleet, 3, count=count)
            time.sleep(3)
            memory = max(resident_mb(entry) for entry in fleet.entries)
            times, used = change_seconds(fleet, count)
        points.append((count, memory))
        print("| %d | %.1f | %s | %.3f |" % (
            count, memory, ", ".join("%.2f" % value for value in times), used),
            flush=True)
    print("memory: %.4g MB + %.4g MB x accounts (worst residual %.2g)" %
          slope(points))


def measure_claims(programs):
    print("\nclaims (9 instances)\n| calls/s asked | calls/s done | claim "
          "writes/s | p50 ms | p95 ms | not done |\n|---|---|---|---|---|---|")
    with f.Fleet(programs) as fleet:
        start(fleet, 9, plains=3)
        for rate in (5, 20, 80, 200):
            def one(number):
                due = began + number / rate
                time.sleep(max(0, due - time.monotonic()))
                answer = f.book(fleet.entries[number % 9],
                                "key-%d" % (number % 10), f.uuid7())
                return answer.status, time.monotonic() - due
            time.sleep(2)
            calls = fleet.platform.stats()["writes"]
            began = time.monotonic()
            with concurrent.futures.ThreadPoolExecutor(64) as pool:
                results = list(pool.map(one, range(rate * 8)))
            span = time.monotonic() - began
            writes = fleet.platform.stats()["writes"] - calls
            done = sorted(took for status, took in results if status == 200)
            print("| %d | %.0f | %.1f | %.0f | %.0f | %d |" % (
                rate, len(done) / span, writes / span,
                done[len(done) // 2] * 1e3, done[len(done) * 95 // 100] * 1e3,
                len(results) - len(done)), flush=True)
        runs = sum(process.stats().get("most_runs_of_one_key", 0) > 1
                   for process in fleet.processes
                   if "total" in process.post("/stats"))
        print("services where a key ran twice: %d" % runs)


def measure_requests(programs):
    print("\nrequests (one instance, engine that computes at once)\n| "
          "requests/s | answered | wrong | p50 ms | p99 ms | direct p50 ms | "
          "direct p99 ms | cpu ms a request |\n|---|---|---|---|---|---|---|---|")
    points = []
    fast = ("--prefill-tokens-per-second", 1e9, "--token-ms", 1, "--slots",
            512, "--cache-blocks", 4096)
    for rate in (25, 50, 100, 200, 400):
        with f.Fleet(programs) as fleet:
            fleet.start_platform()
            engine = fleet.start_engine("zone-a", *fast)
            entry = start_shipped(fleet, "zone-a")
            fleet.apply(f.declarations(accounts(10)))
            fleet.wait_ready(engines=1)
            shape = {"rate": rate, "seconds": 8, "prompts": 100,
                     "prompt_bytes": 8000, "tokens": 8}
            direct = load(programs, [engine], direct=True, **shape)
            before = cpu_seconds(entry)
            through = load(programs, [entry], **shape)
            used = cpu_seconds(entry) - before
        each = used / through["requests"] * 1e3
        points.append((rate, used / 8))
        print("| %d | %d of %d | %d | %.2f | %.2f | %.2f | %.2f | %.2f |" % (
            rate, through["answered"], through["requests"],
            through["wrong_or_short"], through["first_token_ms"]["p50"],
            through["first_token_ms"]["p99"], direct["first_token_ms"]["p50"],
            direct["first_token_ms"]["p99"], each), flush=True)
    print("cores: %.4g + %.4g x requests/s (worst residual %.2g)" %
          slope(points))


def measure_tokens(programs):
    print("\ntokens (one instance, 20 requests/s, a token each 10 ms)\n| tokens "
          "a request | answered | wrong | cpu of a core | slowest between, p95 "
          "ms |\n|---|---|---|---|---|")
    points = []
    fast = ("--prefill-tokens-per-second", 1e9, "--token-ms", 10, "--slots",
            512, "--cache-blocks", 4096)
    for tokens in (8, 32, 128, 256):
        with f.Fleet(programs) as fleet:
            fleet.start_platform()
            fleet.start_engine("zone-a", *fast)
            entry = start_shipped(fleet, "zone-a")
            fleet.apply(f.declarations(accounts(10)))
            fleet.wait_ready(engines=1)
            before, began = cpu_seconds(entry), time.monotonic()
            figures = load(programs, [entry], rate=20, seconds=8, prompts=50,
                           prompt_bytes=2000, tokens=tokens)
            span = time.monotonic() - began
            used = cpu_seconds(entry) - before
        points.append((tokens * figures["answered"] / span, used / span))
        print("| %d | %d of %d | %d | %.1f%% | %.1f |" % (
            tokens, figures["answered"], figures["requests"],
            figures["wrong_or_short"], 100 * used / span,
            figures["slowest_between_ms"]["p95"]), flush=True)
    print("cores: %.4g + %.4g x tokens/s (worst residual %.2g)" %
          slope(points))


def measure_engines(programs):
    print("\nengines known (3 instances, no load)\n| engines | cpu of a core | "
          "MB | wire bytes/s an instance |\n|---|---|---|---|")
    series = {"cpu_share": [], "wire_bytes": [], "memory_mb": []}
    for count in (3, 9, 18, 36, 72):
        with f.Fleet(programs) as fleet:
            start(fleet, 3, engines=count)
            figures = idle(fleet)
        print("| %d | %.2f%% | %.1f | %.0f |" % (
            count, figures["cpu_share"] * 100, figures["memory_mb"],
            figures["wire_bytes"]), flush=True)
        for name, points in series.items():
            points.append((count, figures[name]))
    for name, points in series.items():
        print("%s: %.4g + %.4g x engines (worst residual %.2g)" % (
            (name,) + slope(points)))


PARTS = {"fleet": measure_fleet, "accounts": measure_accounts,
         "claims": measure_claims, "requests": measure_requests,
         "tokens": measure_tokens, "engines": measure_engines}


def main():
    programs = os.path.join(os.path.abspath(sys.argv[1]), "src")
    for name in sys.argv[2:] or PARTS:
        PARTS[name](programs)


if __name__ == "__main__":
    main()
