# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""The declarations' verbs: check tells every mistake, diff tells what would
change, apply waits until it is in force and names who is not reached, and a
split moves callers without a restart."""

import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import fleet as f  # noqa: E402

KEY = "cook-key"
HEAD = {"Authorization": "Bearer " + KEY}


def split(share):
    return f.declarations(
        [f.account("cooks", KEY)],
        splits=[{"call_class": "completions", "old_service": "old-models",
                 "new_share": share}])


def main():
    with f.Fleet() as fleet:
        fleet.start_platform()
        fleet.start_engine()
        fleet.start_plain("zone-a", "--service", "old-models")
        entries = [fleet.start_entry("zone-" + zone) for zone in "ab"]
        access = ("--instance", entries[0].peers, "--fleet-secret-file",
                  fleet.secret_file)
        to = ("--platform", fleet.platform.address)

        bad = fleet.write_templates(f.declarations(
            [f.account("a", KEY, weight=0), f.account("b", KEY, "none")],
            priority=12), "bad")
        done = fleet.tool("template", "check", bad, check=False)
        assert done.returncode == 1
        assert "all.json: accounts[0].parameters.weight" in done.stderr
        assert "all.json: accounts[1].template" in done.stderr
        assert "templates[0].account.priority" in done.stderr

        fleet.apply(split(100), "--wait", *access)
        fleet.wait_ready(engines=1, plains=1)
        fleet.wait_members(2)
        path = fleet.write_templates(split(0))
        assert "ok" in fleet.tool("template", "check", path).stdout
        diff = fleet.tool("template", "diff", path, *to).stdout
        assert diff == "~ templates/cooks\n1 changes against revision 1\n"
        new = f.complete(entries[0], KEY, "hi").json()
        assert "choices" in new
        fleet.apply(split(0), "--wait", *access)
        old = f.complete(entries[0], KEY, "hi").json()
        assert old["service"] == "old-models", old
        shown = fleet.tool("template", "show", *to).stdout
        assert '"revision" : 2' in shown and KEY not in shown
        assert len(fleet.tool("template", "history", *to).stdout.split("\n")
                   ) == 3

        entries[1].signal(signal.SIGSTOP)
        done = fleet.apply(split(50), "--wait", "--wait-seconds", 1, *access,
                           check=False)
        entries[1].signal(signal.SIGCONT)
        assert done.returncode == 4, done
        assert entries[1].peers in done.stderr
        f.wait_until(lambda: entries[1].status()["revision"] == 3,
                     "the paused instance to follow")


main()
