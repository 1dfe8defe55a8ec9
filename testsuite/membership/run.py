# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""Instances find each other, notice a dead one, and a replacement joins; a
fleet told of a change by few watchers has it in force everywhere."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import fleet as f  # noqa: E402


def main():
    with f.Fleet() as fleet:
        fleet.start_platform()
        # The slow poll is out of reach: only watchers and peers can tell.
        entries = [fleet.start_entry("zone-" + "abc"[number % 3],
                                     "--poll-period-ms", 600000)
                   for number in range(12)]
        accounts = [f.account("cooks", "cook-key")]
        fleet.apply(f.declarations(accounts))
        fleet.wait_ready()
        fleet.wait_members(12)
        entries[3].kill()
        fleet.entries.remove(entries[3])
        fleet.wait_members(11)
        fleet.entries.append(fleet.start_entry("zone-a"))
        fleet.wait_members(12)
        fleet.apply(f.declarations(accounts, priority=7), "--wait",
                    "--wait-seconds", 60, "--instance", entries[0].peers,
                    "--fleet-secret-file", fleet.secret_file)
        for entry in fleet.entries:
            assert entry.status()["revision"] == 2


main()
