# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""Wrong settings are refused at the start, all in one go, each with its flag,
its variable, its value and its range."""

import os
import re
import subprocess
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import fleet as f  # noqa: E402


def check_page(fleet):
    """The operators' page names every setting and every error."""
    root = os.path.dirname(os.path.dirname(os.path.dirname(
        os.path.abspath(__file__))))
    page = open(os.path.join(root, "docs", "OPERATIONS.md")).read()
    flags = re.findall(r"^  (--[a-z-]+)", fleet.tool("serve", "--help").stdout,
                       re.M)
    assert len(flags) > 20
    source = open(os.path.join(root, "src", "libcrosslink", "base",
                               "error.cpp")).read()
    errors = re.findall(r'ErrorInfo\{ErrorCode::\w+,\s*"(\w+)",\s*(\d+)',
                        source)
    assert len(errors) > 30
    for flag in flags:
        assert "| `%s` |" % flag in page, flag
    for name, status in errors:
        assert "| `%s` | %s |" % (name, status) in page, name


def main():
    with f.Fleet() as fleet:
        program = os.path.join(fleet.programs, "crosslink", "crosslink")
        variables = dict(os.environ, CROSSLINK_MOST_RUNNING="many")
        done = subprocess.run(
            [program, "serve", "--bind", "nowhere", "--claim-age-ms", "5",
             "--log-format", "xml"], capture_output=True, text=True,
            env=variables, timeout=60)
        assert done.returncode == 1, done
        for part in ("--bind (CROSSLINK_BIND): \"nowhere\" must be ip:port",
                     "--claim-age-ms (CROSSLINK_CLAIM_AGE_MS): \"5\"",
                     "--log-format", "text or json",
                     "--most-running (CROSSLINK_MOST_RUNNING): \"many\" must "
                     "be 1 to 4096", "--fleet-secret-file"):
            assert part in done.stderr, (part, done.stderr)
        assert "crosslink 0." in fleet.tool("version").stdout
        check_page(fleet)


main()
