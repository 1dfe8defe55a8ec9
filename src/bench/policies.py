# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""Compares routing policies on the same arrivals at today's sizes:

    policies.py BUILD [--deployment brno|recetario] [--seconds N] [--seed N]
                [--rate R] [--html FILE] [POLICY ...]

18 engines in 3 zones whose memory holds a quarter of the returning prompts, 9
entry instances, 2 stores. Prints a table; figures are shares and times of this
machine's stand-ins, to be compared with each other only.
"""

import argparse
import os
import sys

from measure import (accounts, cpu_seconds, f, load, resident_mb,
                     start_shipped)

ZONES = ["zone-a", "zone-b", "zone-c"]
NO_FETCH = ("--route-without", "fetch")
POLICIES = {
    "round-robin": ("--route-policy", "round-robin") + NO_FETCH,
    "least-load": ("--route-policy", "least-load") + NO_FETCH,
    "prefix-affinity": ("--route-policy", "prefix-affinity") + NO_FETCH,
    "priced": (),
    "priced without queue": ("--route-without", "queue"),
    "priced without own-sent": ("--route-without", "own-sent"),
    "priced without cache": ("--route-without", "cache"),
    "priced without fetch": ("--route-without", "fetch"),
    "priced without near-ties": ("--route-without", "near-ties"),
}
# Mean prompt in bytes, distinct prompts, requests a second.
DEPLOYMENTS = {"brno": (40000, 160, 12), "recetario": (8000, 240, 60)}


def run_policy(programs, words, options):
    size, prompts, rate = DEPLOYMENTS[options.deployment]
    blocks = prompts * size // 1024
    with f.Fleet(programs) as fleet:
        fleet.start_platform()
        engines = [fleet.start_engine(
            ZONES[number % 3], "--cache-blocks", max(blocks // 4 // 18, 1),
            "--slots", 32) for number in range(18)]
        stores = [fleet.start_store(zone) for zone in ZONES[:2]]
        entries = [start_shipped(fleet, ZONES[number % 3], *words)
                   for number in range(9)]
        fleet.apply(f.declarations(accounts(10)))
        fleet.wait_ready(engines=18, stores=2)
        used = sum(cpu_seconds(entry) for entry in entries)
        figures = load(programs, entries, seed=options.seed,
                       rate=options.rate or rate, seconds=options.seconds,
                       prompts=prompts, prompt_bytes=size, warm_rounds=1,
                       threads=512)
        figures["cpu"] = sum(cpu_seconds(entry) for entry in entries) - used
        figures["memory"] = max(resident_mb(entry) for entry in entries)
        figures["link_mb"] = sum(store.stats()["link_bytes"]
                                 for store in stores) / 1e6
        figures["unsound"] = sum(engine.stats()["unsound_blocks_used"]
                                 for engine in engines)
        figures["breaches"] = sum(entry.breaches() for entry in entries)
        figures["computed"] = sum(engine.stats()["computed_tokens"]
                                  for engine in engines)
    return figures


HEAD = ("policy", "first token p50 ms", "p95", "p99", "returning p95",
        "recomputed", "link MB", "answered", "wrong", "refused",
        "entry cpu s", "MB")


def row_of(name, figures):
    first = figures["first_token_ms"]
    return (name, "%.0f" % first["p50"], "%.0f" % first["p95"],
            "%.0f" % first["p99"],
            "%.0f" % figures["returning_first_token_ms"]["p95"],
            "%.3f" % figures["recomputed_share"], "%.0f" % figures["link_mb"],
            "%d of %d" % (figures["answered"], figures["requests"]),
            str(figures["wrong_or_short"]),
            str(sum(figures["failures"].values())),
            "%.1f" % figures["cpu"], "%.0f" % figures["memory"])


def write_page(path, title, results):
    """Writes one self-contained page with a bar for each policy."""
    most = max(one["first_token_ms"]["p95"] for _, one in results)
    text = ("<!doctype html><meta charset=utf-8><title>%s</title><style>body"
            "{font:14px sans-serif;margin:2em}td,th{padding:4px 10px;"
            "text-align:left}</style><h1>%s</h1><table><tr><th>" %
            (title, title) + "<th>".join(HEAD) + "<th>p95</tr>")
    for name, figures in results:
        width = 200 * figures["first_token_ms"]["p95"] / most
        text += "<tr><td>" + "<td>".join(row_of(name, figures)) + (
            "<td><svg width=200 height=12><rect width=%.0f height=12 "
            "fill=\"#2e7d32\"/></svg></tr>" % width)
    with open(path, "w") as file:
        file.write(text + "</table>\n")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--deployment", default="brno", choices=DEPLOYMENTS)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--rate", type=float, default=0)
    parser.add_argument("--html")
    parser.add_argument("policies", nargs="*")
    options = parser.parse_intermixed_args()
    programs = os.path.join(os.path.abspath(options.build), "src")
    print("| " + " | ".join(HEAD) + " |\n" + "|---" * len(HEAD) + "|")
    results = []
    for name in options.policies or POLICIES:
        figures = run_policy(programs, POLICIES[name], options)
        results.append((name, figures))
        print("| " + " | ".join(row_of(name, figures)) + " |", flush=True)
        if figures["unsound"] or figures["breaches"]:
            print("unsound blocks used: %d, breaches: %d" % (
                figures["unsound"], figures["breaches"]))
    if options.html:
        write_page(options.html, "crosslink: policies, " + options.deployment,
                   results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
