# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""The whole path: a prompt returns to kept KV in another zone, and the loss of
an entry instance, an engine and the platform in mid-run leaves the others
serving."""

import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import fleet as f  # noqa: E402

KEY = "cook-key"
PROMPT = "Adapt grandmother's locro for a school kitchen. " * 200
ZONES = ["zone-a", "zone-b", "zone-c"]


def cached(answer):
    assert answer.status == 200, answer.text
    return answer.json()["usage"]["prompt_tokens_details"]["cached_tokens"]


def check_interface(fleet, entry):
    head = {"Authorization": "Bearer " + KEY}
    models = f.http_call(entry.address, "GET", "/v1/models", headers=head)
    assert [model["id"] for model in models.json()["data"]] == [
        "andes-7b", "andes-7b:tags"]
    chat = {"model": "andes-7b", "max_tokens": 3,
            "messages": [{"role": "user", "content": "hello"}]}
    answer = f.http_call(entry.address, "POST", "/v1/chat/completions", chat,
                         head).json()
    assert (answer["choices"][0]["message"]["content"] ==
            f.expected_text("user: hello\n", 3))
    tagged = f.complete(entry, KEY, "soup", 3, model="andes-7b:tags").json()
    assert (tagged["choices"][0]["text"] ==
            f.expected_text("soup", 3, adapter="tags"))
    _, events = f.stream_events(entry, KEY, "soup", 3)
    assert f.text_of(events) == (f.expected_text("soup", 3), True)
    words = ("--instance", entry.peers, "--fleet-secret-file",
             fleet.secret_file)
    assert "zone-b" in fleet.tool("status", *words).stdout
    assert "cooks" in fleet.tool("report", *words).stdout
    page = os.path.join(fleet.folder.name, "burn.html")
    fleet.tool("report", *words, "--html", page)
    assert "<svg" in open(page).read()
    assert "crosslink_first_token_seconds" in f.http_call(
        entry.address, "GET", "/metrics").text


def main():
    with f.Fleet() as fleet:
        fleet.start_platform()
        engines = [fleet.start_engine(zone) for zone in ZONES]
        fleet.start_store(ZONES[0])
        entries = [fleet.start_entry(zone) for zone in ZONES]
        fleet.apply(f.declarations([f.account("cooks", KEY)]), "--wait",
                    "--instance", entries[0].peers, "--fleet-secret-file",
                    fleet.secret_file)
        fleet.wait_ready(engines=3, stores=1)
        check_interface(fleet, entries[0])
        before = entries[0].metric("blocks_exported_total")
        assert cached(f.complete(entries[0], KEY, PROMPT)) == 0
        f.wait_until(lambda: entries[0].metric("blocks_exported_total") >=
                     before + len(PROMPT) // 1024, "the blocks to be kept")
        f.wait_until(lambda: entries[1].believed_blocks() > 0,
                     "the events to be told")
        for engine in engines:
            engine.post("/adjust", {"forget": True})
        f.wait_until(lambda: entries[1].believed_blocks() == 0,
                     "the instance to learn that the engines forgot")
        whole_blocks = len(PROMPT) // 1024 * 256
        assert cached(f.complete(entries[1], KEY, PROMPT)) == whole_blocks
        assert entries[1].metric("fetched_bytes_total") > 0
        fleet.wait_members(3)
        report = json.loads(fleet.tool(
            "report", "--json", "--instance", entries[0].peers,
            "--fleet-secret-file", fleet.secret_file).stdout)
        assert report["links"][0]["fetched"] == len(PROMPT) // 1024 << 20
        assert report["burn"][0]["account"] == "cooks"

        entries[0].kill()
        assert f.complete(entries[1], KEY, PROMPT).status == 200
        engines[0].kill()
        for number in range(6):
            answer = f.complete(entries[2], KEY, "prompt %d" % number)
            assert answer.status == 200, answer.text
        fleet.platform.kill()
        assert f.complete(entries[2], KEY, PROMPT).status == 200
        assert entries[1].breaches() == entries[2].breaches() == 0


main()
