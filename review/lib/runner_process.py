# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""A runner as a process of its own, which a case can kill. It answers with a
list of prices in chunks, a line each, as it makes them. It writes its address
and then a line for each run to standard output."""

import sys
import time

import deployment as d
from runner import PlainRunner

LINES = [b"caldo;40\r\n", b"tamal;20\r\n", b"pepian;90\r\n", b"atol;10\r\n",
         b"rellenito;30\r\n", b"jocon;80\r\n"]
WHOLE = b"".join(LINES)
LINE_SECONDS = 0.1
LIFE_SECONDS = 100


class Output:
    """Takes the notes of the runner."""

    @staticmethod
    def note(what, **fields):
        if what == "run":
            print("run " + d.to_json({key: str(value) for key, value in
                                      fields.items()}), flush=True)


def answer_in_lines(request, run):
    request.send_response(200)
    for name, value in runner.words(run["id"]):
        request.send_header(name, value)
    request.send_header("Content-Type", "text/csv")
    request.send_header("Transfer-Encoding", "chunked")
    request.end_headers()
    for line in LINES:
        time.sleep(LINE_SECONDS)
        request.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
    request.wfile.write(b"0\r\n\r\n")


if __name__ == "__main__":
    runner = PlainRunner(Output, answer_in_lines)
    runner.id = sys.argv[1]
    print("address " + runner.address, flush=True)
    time.sleep(LIFE_SECONDS)
