# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""A planned stop cuts no request, and an upstream that leaves gets no new
work."""

import concurrent.futures
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import fleet as f  # noqa: E402

KEY = "cook-key"
TOKENS = 100


def stream(entry):
    return f.text_of(f.stream_events(entry, KEY, "soup", TOKENS)[1])


def main():
    with f.Fleet() as fleet:
        fleet.start_platform()
        engines = [fleet.start_engine("zone-a", "--slots", 32)
                   for _ in range(2)]
        entries = [fleet.start_entry() for _ in range(2)]
        fleet.apply(f.declarations([f.account("cooks", KEY)]))
        fleet.wait_ready(engines=2)
        fleet.wait_members(2)
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            answers = [pool.submit(stream, entries[0]) for _ in range(8)]
            f.wait_until(lambda: sum(engine.stats()["running"]
                                     for engine in engines) == 8,
                         "the streams to run")
            entries[0].signal(signal.SIGTERM)
            f.wait_until(lambda: [
                member["state"] for member in entries[1].status()["members"]
                if member["address"] == entries[0].peers] != ["alive"],
                "the stop to be told")
            for answer in answers:
                text, whole = answer.result()
                assert whole and text == f.expected_text("soup", TOKENS)
        assert entries[0].popen.wait(60) == 0

        engines[0].post("/adjust", {"leaving": True})
        f.wait_until(lambda: [
            engine["takes_work"] for engine in entries[1].status()["engines"]
            if engine["address"] == engines[0].address] == [False],
            "the leave to be known")
        before = engines[0].stats()["started"]
        for number in range(10):
            assert f.complete(entries[1], KEY, "p%d" % number).status == 200
        assert engines[0].stats()["started"] == before
        assert entries[1].breaches() == 0


main()
