# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""The main job on the stand-ins: three entry instances in three zones serve a
prompt, the engines forget it, and it returns to kept KV."""

import os
import sys

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "testsuite"))

import fleet as f  # noqa: E402

ZONES = ["zone-a", "zone-b", "zone-c"]
KEY = "cook-key"
PROMPT = "Adapt grandmother's locro for a school kitchen. " * 800


def show(name, first, events):
    usage = events[-2]["usage"]
    prompt = usage["prompt_tokens"]
    reused = usage["prompt_tokens_details"]["cached_tokens"]
    print("%-28s first token after %7.1f ms, %5d tokens reused, "
          "%5d recomputed" % (name, first * 1000, reused, prompt - reused))
    return reused


def main():
    with f.Fleet(os.path.join(sys.argv[1], "src")) as fleet:
        fleet.start_platform()
        engines = [fleet.start_engine(zone) for zone in ZONES]
        for zone in ZONES[:2]:
            fleet.start_store(zone)
        entries = [fleet.start_entry(zone) for zone in ZONES]
        done = fleet.apply(f.declarations([f.account("cooks", KEY)]), "--wait",
                           "--instance", entries[0].peers,
                           "--fleet-secret-file", fleet.secret_file)
        print(done.stdout, end="")
        fleet.wait_ready(engines=3, stores=2)
        show("new prompt:", *f.stream_events(entries[0], KEY, PROMPT))
        f.wait_until(lambda: entries[0].metric("blocks_exported_total") >=
                     len(PROMPT) // 1024, "the blocks to be kept")
        for engine in engines:
            engine.post("/adjust", {"forget": True})
        reused = show("returned, engines forgot:",
                      *f.stream_events(entries[1], KEY, PROMPT))
        print("fetched %.0f MB of kept KV, %d invariant breaches" % (
            entries[1].metric("fetched_bytes_total") / 1e6,
            sum(entry.breaches() for entry in entries)))
        return 0 if reused > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
