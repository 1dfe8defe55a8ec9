# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""What a caller gets wrong is answered by a typed error with the right status,
and the instance stays up."""

import os
import socket
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import fleet as f  # noqa: E402

KEY = "cook-key"
HEAD = {"Authorization": "Bearer " + KEY}


def send_raw(address, data):
    """Sends bytes and returns what comes back until the end."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=60) as connection:
        connection.sendall(data)
        answer = b""
        while True:
            try:
                piece = connection.recv(65536)
            except ConnectionResetError:
                break
            if not piece:
                break
            answer += piece
        return answer


def main():
    with f.Fleet() as fleet:
        fleet.start_platform()
        fleet.start_engine()
        plain = fleet.start_plain()
        entry = fleet.start_entry("zone-a", "--most-body-bytes", 4096)
        assert f.complete(entry, KEY, "hi").error() == "not_ready"
        assert f.http_call(entry.address, "GET", "/readyz").status == 503
        assert f.http_call(entry.address, "GET", "/healthz").status == 200
        fleet.apply(f.declarations([f.account("cooks", KEY)]))
        fleet.wait_ready(engines=1, plains=1)

        def check(status, kind, method, path, body=None, head=None):
            answer = f.http_call(entry.address, method, path, body,
                                 HEAD if head is None else head)
            assert (answer.status, answer.error()) == (status, kind), (
                answer.status, answer.text)
            assert answer.json()["error"]["not_run"]
        post = ("POST", "/v1/completions")
        good = {"model": "andes-7b", "prompt": "hi"}
        check(401, "missing_key", *post, good, {})
        check(401, "unknown_key", *post, good, {"Authorization": "Bearer no"})
        check(400, "bad_json", *post, "{\"model\": ")
        check(400, "bad_json", *post, "[" * 1000)
        check(400, "bad_request", *post, [])
        check(400, "bad_request", *post, {"prompt": "hi"})
        check(400, "bad_request", *post, {"model": "andes-7b"})
        check(400, "bad_request", *post, dict(good, max_tokens=0))
        check(400, "bad_request", *post, dict(good, max_tokens=-1))
        check(400, "bad_request", "POST", "/v1/chat/completions",
              {"model": "andes-7b", "messages": [{"role": 1}]})
        check(404, "unknown_model", *post, dict(good, model="other"))
        check(404, "unknown_model", *post, dict(good, model="andes-7b:no"))
        check(413, "body_too_large", *post, dict(good, prompt="x" * 5000))
        check(404, "unknown_path", "GET", "/elsewhere")
        check(404, "unknown_path", "POST", "/bookingsfraud", "lane")
        dated = dict(HEAD, **{"Idempotency-Key": "order-17"})
        check(400, "undated_key", "POST", "/bookings", "lane", dated)
        ahead = dict(HEAD, **{"Idempotency-Key": f.uuid7(1 << 47)})
        check(400, "undated_key", "POST", "/bookings", "lane", ahead)
        assert plain.stats()["total"] == 0

        flood = b"GET /v1/models HTTP/1.1\r\n" + b"".join(
            b"X-%d: y\r\n" % number for number in range(5000)) + b"\r\n"
        assert b" 200 " not in send_raw(entry.address, flood)[:20]
        hidden = b"GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n"
        for framing in (b"Content-Length: 4\r\nTransfer-Encoding: chunked",
                        b"Content-Length: 4\r\nContent-Length: 9",
                        b"Transfer-Encoding: gzip", b"Content-Length: +4"):
            answer = send_raw(entry.address, (
                b"POST /bookings HTTP/1.1\r\nHost: a\r\n" + framing +
                b"\r\n\r\n0\r\n\r\n" + hidden))
            assert answer.startswith(b"HTTP/1.1 400"), (framing, answer)
            assert answer.count(b"HTTP/1.1") == 1, (framing, answer)
        twice = b"Authorization: Bearer " + KEY.encode() + b"\r\n"
        for status, line, fields in (
                (b"400", b"GET /v1/models HTTP/1.1", twice + twice),
                (b"400", b"GET /v1/models HTTP/1.1",
                 b"Idempotency-Key: a\r\nidempotency-key: b\r\n"),
                (b"505", b"GET /v1/models HTTP/2.0", twice)):
            answer = send_raw(entry.address,
                              line + b"\r\nHost: a\r\n" + fields + b"\r\n")
            assert answer.startswith(b"HTTP/1.1 " + status), (fields, answer)
        # A body that ends early, and a caller that never goes on.
        send_raw(entry.address, b"nonsense\r\n\r\n")
        host, port = entry.address.split(":")
        slow = socket.create_connection((host, int(port)))
        slow.sendall(b"POST /v1/completions HTTP/1.1\r\nContent-Le")
        # The peers' interface turns a caller away.
        assert f.http_call(entry.peers, "POST", "/peer", "{}").status == 403
        assert f.http_call(entry.peers, "GET", "/status").status == 403
        assert f.complete(entry, KEY, "hi").status == 200
        slow.close()
        assert entry.breaches() == 0


main()
