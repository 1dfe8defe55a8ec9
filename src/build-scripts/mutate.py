# SPDX-License-Identifier: Apache-2.0
# Copyright Contributors to the crosslink project.
"""Takes each mechanism out, in a copy of the tree, and tells which tests catch
it:  mutate.py FOLDER [NAME ...] | mutate.py --check

FOLDER is a new or earlier folder for the copy. Every mutation must be caught.
--check builds nothing: it tells which mutations have nothing to take out.
"""

import os
import shutil
import subprocess
import sys

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

ACCOUNT_SECRET = "hmac_sha256(fleet_secret, owner.account);\n"

# name, file, text that is there, text that takes its place, tests to run; two
# texts each where it takes two edits
MUTATIONS = [
    # Any of three kinds of evidence shows an end; all lead here.
    ("put no end down to a request",
     "src/serve/forward/forward_state_crashes.cpp",
     "if (calls.empty())", "if (true || calls.empty())",
     "platform.few_runners"),
    ("tell no other instance of ends", "src/serve/fleet/exchange_duty.cpp",
     "request.crashes = m_state.crash_updates(now);", "",
     "platform.instances_tell"),
    ("record no blocked request", "src/serve/coordinator/block_duty.cpp",
     "if (!m_state.has_duty())", "if (true)", "platform.instances_that_start"),
    ("take copies lost at once for several losses",
     "src/libcrosslink/forward/crash_history_key.cpp",
     "end_count() >= most_ends && has_repeated_end()",
     "end_count() >= most_ends",
     "unit.*popular|unit.*copies"),
    ("forget that a request was answered",
     "src/libcrosslink/forward/crash_history_key.cpp",
     "return !answered_at || end.ended_at > *answered_at;",
     "return end.ended_at > TimePoint{};",
     "unit.*popular|unit.*harmless|platform.a_popular"),
    ("tell suspects for a moment only",
     "src/libcrosslink/forward/crash_history_key.cpp",
     "ends.size() > 1 ? suspect_report_time : report_time", "report_time",
     "unit.*behind a cut"),
    ("let an answer count only where an end is known",
     "src/libcrosslink/forward/crash_history.cpp",
     "m_answers.answered(name, at);", "", "unit.*popular|unit.*an answer"),
    ("remember whole requests only", "src/serve/forward/crash_watch.cpp",
     "if (!call.generation)", "if (true)",
     "platform.few_runners_end_under_requests_with_one_part"),
    ("take the caller's own part for a shared one",
     "src/include/crosslink/forward/forwarded_call.h",
     "parts.empty() ? 0 : 1", "0", "unit.*shared|unit.*own part"),
    ("let no answer clear a part",
     "src/libcrosslink/forward/crash_history.cpp",
     "known.answered_at = at;",
     "if (!known.is_part)\n        known.answered_at = at;",
     "unit.*sound calls|unit.*part"),
    ("let an old report of an end make it earlier each time",
     "src/libcrosslink/forward/crash_history.cpp",
     "known.ended_at = std::max(std::min(known.ended_at, call.ended_at),\n"
     "                                  known.earliest_at);",
     "known.ended_at = std::min(known.ended_at, call.ended_at);",
     "unit.*to and fro"),
    ("let an answer count as later with each report",
     "src/libcrosslink/forward/crash_history.cpp",
     "(is_part_key(answer.key) ? max_report_delay : Micros(0))", "Micros(0)",
     "unit.*to and fro"),
    ("block also what was in flight beside the part at fault",
     "src/libcrosslink/forward/crash_suspects.cpp",
     "other.ends.erase(end);", "(void)other, (void)end;",
     "unit.*explains|unit.*beside"),
    ("never try a blocked part", "src/serve/forward/crash_watch.cpp",
     "!(m_state.has_duty() && may_try())", "true",
     "platform.a_part_is_served_again_after_all_runners_were_away"),
    ("compare positions of the store without their era",
     "src/include/crosslink/membership/store_position.h",
     "auto operator<=>(const StorePosition&) const = default;",
     "auto operator<=>(const StorePosition& other) const\n"
     "    {\n        return revision <=> other.revision;\n    }\n"
     "    bool operator==(const StorePosition& other) const\n"
     "    {\n        return revision == other.revision;\n    }",
     "unit.*later era|platform.changes_after_a_restore_are"),
    ("believe a copy of the list about runners that left",
     "src/libcrosslink/forward/runner_table.cpp",
     "latest.leaving = listed.leaving || m_ended.contains(incarnation);",
     "latest.leaving = listed.leaving;",
     "unit.*a copy makes no runner|platform.runners_that_left"),
    ("pass over that a runner says that it leaves",
     "src/include/crosslink/forward/runner_entry.h",
     "return listed.leaving || notices.leaving;", "return listed.leaving;",
     "unit.*process says|unit.*says that it leaves|platform.runners_that_say"),
    ("forget what processes said where their entries lapse",
     "src/libcrosslink/forward/runner_table.cpp",
     "m_unlisted.keep(entry->second.incarnation(), entry->second.notices);", "",
     "unit.*process says|unit.*a limit holds"),
    ("give a process the words of the one before",
     "src/libcrosslink/forward/unlisted_notices.cpp",
     "stored.start_ms == runner.start_ms ? stored.notices",
     "true ? stored.notices", "unit.*words of|unit.*process says"),
    ("take the words of another process at the address",
     "src/serve/forward/answer_intake.cpp",
     "head.runner.empty() ? !head.misdirected : head.runner == runner.id",
     "head.runner.empty() || !runner.id.empty()",
     "platform.words_of_another"),
    ("tell nobody which runners leave", "src/serve/fleet/exchange_duty.cpp",
     "request.leaving = m_state.leaving_updates();", "", "platform.all_hear"),
    ("pass over the backoff that a runner asks for",
     "src/libcrosslink/forward/runner_availability.cpp",
     "{entry.paused_until, entry.notices.backoff_until,", "{entry.paused_until,",
     "unit.*process says|unit.*backoff"),
    ("send a call that waited into a backoff",
     "src/libcrosslink/forward/runner_choosing.cpp",
     "entry->notices.backoff_until <= query.now &&", "", "unit.*that waited"),
    ("let calls wait for the end of a backoff",
     "src/libcrosslink/forward/runner_availability.cpp",
     "if (entry.notices.backoff_until > query.now) {", "if (false) {",
     "unit.*no call waits"),
    ("let a shorter backoff end an earlier one",
     "src/libcrosslink/forward/runner_table_notices.cpp",
     "if (until <= notices->backoff_until)", "if (false)",
     "unit.*shorter backoff"),
    ("put failures of a process down to the next one",
     "src/libcrosslink/forward/runner_table.cpp",
     "return entry && entry->listed.start_ms == runner.start_ms ? entry "
     ": nullptr;",
     "return entry;", "unit.*what befell|unit.*starts anew"),
    ("pass over the backoff of plain services", "src/serve/plain_calls.cpp",
     "directory.backs_off(address, monotonic_now() + answer.backoff);",
     "directory.backs_off(address, monotonic_now());",
     "matrix.dispatch.upstream-backs-off"),
    ("let runners that may be ending look cheap",
     "src/libcrosslink/forward/runner_choosing.cpp",
     "if (query.avoids_exiting && ", "if (false && ", "unit.*broke a conn"),
    ("pass over what runners name as limits",
     "src/libcrosslink/forward/advertised_limit.cpp",
     "if (known != m_change)", "if (true)",
     "unit.*limit|platform.limited|platform.a_limited"),
    ("take any answer for the newest word on a limit",
     "src/libcrosslink/forward/advertised_limit.cpp",
     "if (known != m_change)", "if (false)", "unit.*says nothing"),
    ("tell nobody of limits", "src/libcrosslink/forward/advertised_limit.cpp",
     "return in_force() ||", "return false &&",
     "unit.*limit|unit.*others are told"),
    ("let each instance send what a runner takes from all",
     "src/libcrosslink/forward/rate_share.cpp",
     "const double each = rate / static_cast<double>(share.instances);",
     "const double each = rate;", "unit.*shares of a limit|unit.*spares"),
    ("never ask a silent runner with a limit",
     "src/libcrosslink/forward/runner_availability.cpp",
     "return silence - longest_silence(limit.per_second());",
     "return Micros{-1} + 0 * silence;", "unit.*limit's end|unit.*silent"),
    ("let calls that wait for a limited runner share one place",
     "src/libcrosslink/forward/runner_availability.cpp",
     "+ windows * share.window", "+ 0 * windows * share.window",
     "unit.*places of their own"),
    ("give places of limited runners to who comes first",
     "src/libcrosslink/forward/fair_share_tracker.cpp",
     "compared.mean + tolerance;",
     "compared.mean + 1e9 * tolerance;", "unit.*account"),
    ("admit calls whatever their urgency",
     "src/libcrosslink/forward/queue_limit.cpp",
     "part *= std::pow(less_urgent_part, call.urgency.level);",
     "part *= std::pow(1.0, call.urgency.level);", "unit.*urgent"),
    ("lend the same place again and again",
     "src/libcrosslink/forward/runner_table_loans.cpp",
     "record_send(*entry, query.now);\n    ++entry->lent;",
     "++entry->lent;", "unit.*lent shares"),
    ("never return a lent place to a brittle runner",
     "src/libcrosslink/forward/runner_table_loans.cpp",
     "if (entry && entry->lent > 0)\n        --entry->lent;",
     "if (entry && entry->lent > 1000)\n        --entry->lent;",
     "unit.*brittle"),
    ("take what others reported of accounts for fresh for ever",
     "src/libcrosslink/forward/fair_share_tracker.cpp",
     "return now - m_others_at <= others_lifetime;", "return true;",
     "unit.*account"),
    ("keep the speed of a process that is gone",
     "src/libcrosslink/forward/runner_table.cpp",
     ("const SendWindow sends = entry.sends;", "entry.sends = sends;"),
     ("const SendWindow sends = entry.sends;"
      " const ResponseSpeed speed = entry.speed;",
      "entry.sends = sends; entry.speed = speed;"),
     "unit.*the next one"),
    ("keep the limit of a process that is gone",
     "src/libcrosslink/forward/runner_table.cpp",
     ("const bool starts_anew = ",
      "entry.notices = m_unlisted.take({listed.id, listed.start_ms});"),
     ("const auto limit = entry.notices.limit; const bool starts_anew = ",
      "{ entry.notices = m_unlisted.take({listed.id, listed.start_ms});"
      " if (starts_anew) entry.notices.limit = limit; }"),
     "unit.*new process"),
    ("send a prompt to a fourth engine", "src/serve/completion_run.cpp",
     "if (m_crashes.blocked())", "if (false)",
     "matrix.relay.engine-ends-each-time"),
    ("let suspended time not count", "src/adapters/clock.h",
     "CLOCK_BOOTTIME", "CLOCK_MONOTONIC", "unit.*suspended"),
    ("take news that leave a gap",
     "src/libcrosslink/membership/change_log.cpp",
     "if (m_position != since)",
     "if (!m_position || since > page.position)", "unit.*log"),
    ("take older news", "src/libcrosslink/membership/change_log.cpp",
     "if (m_position && page.position < *m_position)", "if (false)",
     "unit.*log"),
    ("go back to an earlier holder's directory",
     "src/libcrosslink/kept/kept_replica.cpp",
     "update.term < m_term || ", "", "unit.*copy"),
    ("forget the age of what is handed on",
     "src/libcrosslink/kept/kept_replica.cpp",
     "asked - update.age", "asked", "unit.*handed on"),
    ("let all of a zone ask the holder",
     "src/libcrosslink/membership/fleet_tree.cpp",
     "if (rank < m_under_holder && self != candidates.end())",
     "if (rank < m_under_holder || true)",
     "unit.*zone|unit.*none"),
    ("go on with old news", "src/serve/fleet/change_receiver.cpp",
     "now - m_peer_confirmed <= max_changes_age", "now >= m_peer_confirmed",
     "platform.changes_reach|platform.a_large_fleet"),
    ("take a request that fails once for an outage",
     "src/libcrosslink/membership/lapse_window.cpp",
     "if (was_long && failed_for_long)", "if (m_failing_since)",
     "unit.*excuse|platform.requests_stop"),
    ("hold answers without a limit", "src/adapters/answer_buffer.cpp",
     "if (bytes.size() > m_max_bytes - m_bytes.size())", "if (false)",
     "unit.*limit|platform.*no_memory"),
    ("date what is found at a start", "src/serve/fleet/change_applier.cpp",
     "else if (!view.runners_listed)", "else if (false)",
     "platform.weights_named_while"),
    ("wait for an own earlier process",
     "src/libcrosslink/membership/duty_lease.cpp",
     "return std::min(max_action_flight_time, m_settle);",
     "return m_settle + safety_margin(span);",
     "unit.*predecessor"),
    ("wait for the next chunk within a read", "src/adapters/call_connection.cpp",
     "} while (!is_over() && data.size() < piece_bytes &&\n"
     "                 m_session->has_bytes());",
     "} while (!is_over() && data.size() < piece_bytes &&\n"
     "                 (data.empty() || m_session->has_bytes()));",
     "unit.*chunk|platform.answers_that_pause"),
    ("take told prompts as unread",
     "src/libcrosslink/forward/runner_price.cpp",
     "known.tokens -= prefilled_since_report",
     "known.tokens -= 0 * prefilled_since_report",
     "unit.*large fleet|unit.*unread"),
    ("dispatch before claim", "src/serve/at_most_once_runner.cpp",
     "verdict.kind == ClaimVerdict::Kind::Held", "false",
     "claim|dispatch|settle"),
    ("take a lost race for a win", "src/libcrosslink/claim/claim_committer.cpp",
     "if (!outcome.applied) {", "if (false) {", "unit.*key|unit.*race"),
    ("grant a key to the latest claim",
     "src/libcrosslink/claim/claim_slice.cpp",
     ("!m_by_key.contains(claim.key)",
      "for (const Claim& claim : m_head.recent)\n        m_by_key.emplace("),
     ("true", "for (const Claim& claim : m_head.recent)\n"
      "        m_by_key.insert_or_assign("), "unit"),
    ("clear claims without a floor", "src/libcrosslink/claim/claim_slice.cpp",
     "return claim.key_time >= m_head.floor && ", "return ", "unit"),
    ("skip the seal check", "src/libcrosslink/kept/import_check.cpp",
     "if (!still_sealed[i] || read.contents[i] != asked[i].content)",
     "if (false)", "unit.*import|fetch"),
    ("skip the check after the read", "src/libcrosslink/kept/import_check.cpp",
     "!still_sealed[i] || ", "", "unit.*import|fetch"),
    ("skip the content check", "src/libcrosslink/kept/import_check.cpp",
     " || read.contents[i] != asked[i].content", "", "unit.*import|fetch"),
    ("drop the account from the key", "src/libcrosslink/kept/block_key.cpp",
     ("append_field(text, owner.account);\n", ACCOUNT_SECRET),
     ("\n", "hmac_sha256(fleet_secret, {});\n"), "unit.*key"),
    ("drop the weight version from the key",
     "src/libcrosslink/kept/block_key.cpp",
     "append_field(text, owner.version);\n", "\n", "unit.*key|engine-swapped"),
    ("accept an older revision",
     "src/libcrosslink/configuration/configuration_state.cpp",
     "if (m_current && candidate->revision() <= m_current->revision())",
     "if (false)", "unit"),
    ("retry after a timeout", "src/serve/plain_calls.cpp",
     "!last && (not_run || repeatable)", "!last", "matrix"),
    ("take a bare 503 for not run", "src/adapters/plain_http.cpp",
     "refusal && answer.retry_after", "refusal",
     "dispatch.upstream-fails-late"),
    ("tell a lost answer as not run", "src/adapters/http_client.cpp",
     "    state = RunState::MayHaveRun;", "", "dispatch"),
    ("relay frames of older attempts", "src/libcrosslink/relay/relay.cpp",
     "m_finished || frame.run_id != m_run_id", "m_finished", "unit"),
    ("relay past a gap", "src/libcrosslink/relay/relay.cpp",
     "frame.index > m_next_index", "false", "unit"),
    ("end a broken stream silently", "src/serve/request_path.cpp",
     "reply.send_event(error_event(failure));", "", "relay"),
    ("swap the head without comparing",
     "src/libcrosslink/configuration/configuration_commit.cpp",
     "next.to_json(), base.version", "next.to_json(),\n"
     "                platform.read(configuration_head_key)\n"
     "                    .value_or(PlatformRecord{}).version",
     "unit|apply"),
    ("take silent homes for homes that know of no other version",
     "src/include/crosslink/forward/software_evidence.h",
     "m_answered > 0 && m_silent == 0", "true",
     "unit|as_one_joined"),
    ("tell no home of streams while out of step",
     "src/serve/fleet/origin_duty.cpp",
     "const bool all = m_state.is_out_of_step();", "const bool all = false;",
     "zone_go_on_while"),
    ("take a version that is not listed yet for one that left",
     "src/serve/forward/stream_resumption.cpp",
     "std::min(sent_at, m_asked)", "std::min(sent_at, TimePoint{})",
     "hears_late"),
    ("ask no home again that was silent",
     "src/serve/forward/stream_resumption.cpp",
     "        if (m_several)\n            origin = find();\n", "",
     "hears_late"),
    ("take an answer of no call for that of the call",
     "src/libcrosslink/forward/answer_match.cpp",
     "return head.not_run && only_call ? AnswerMatch::ThisCall\n"
     "                                         : AnswerMatch::NoCall;",
     "return only_call || !head.not_run ? AnswerMatch::ThisCall\n"
     "                                         : AnswerMatch::ThisCall;",
     "framing-fuzz"),
    ("read fields of requests as mail", "src/adapters/server_request.cpp",
     "add(field.name, field.value);",
     "add(field.name, decodeWord(field.value));",
     "unit.fields of a request|platform.encoded_words_of_a_client|"
     "framing-fuzz"),
    ("read fields of answers as mail", "src/adapters/call_connection.cpp",
     "response.add(field.name, field.value);",
     "response.add(field.name, response.decodeWord(field.value));",
     "unit.fields of an answer|platform.encoded_words_of_a_runner|"
     "framing-fuzz"),
    ("let fields of a request stand twice", "src/adapters/server_connection.cpp",
     "single_fields.repeated_in(fields->fields()) ||", "",
     "unit.*two ways|platform.a_field_|framing-fuzz"),
    ("let fields of an answer stand twice", "src/adapters/call_connection.cpp",
     "m_single_fields.repeated_in(fields->fields()))", "false)",
     "unit.*two ways|platform.*an_answer_in_which|framing-fuzz"),
    ("serve any version of HTTP", "src/adapters/server_connection.cpp",
     "if (!line->version.is_supported())", "if (false)",
     "unit.*version|platform.a_version|framing-fuzz"),
    ("end an answer as complete that was not ended",
     "src/serve/forward/http_caller_link.cpp",
     "if (m_out)\n        end_connection();", "",
     "unit.*not ended"),
    ("end the stream of an HTTP/1.0 caller in order where it breaks",
     "src/adapters/server_request.cpp",
     "if (getVersion() == HTTP_1_0)", "if (false)",
     "platform.a_stream_that_breaks_is_reset"),
    ("take a part of a chunked answer for the whole",
     "src/adapters/call_connection.cpp",
     "return m_chunks.is_done();", "return true;",
     "unit.a chunked answer|platform.a_chunked_answer|framing-fuzz"),
    ("run a call with a part of its body", "src/adapters/http_server.cpp",
     "while (m_body.size() < length)", "if (m_body.size() < length)",
     "framing-fuzz"),
    ("let a message tell two lengths", "src/adapters/message_framing.cpp",
     "if (fields > 1)", "if (false)", "framing-fuzz"),
    ("forget which services a route had",
     "src/libcrosslink/forward/route_history.cpp",
     "if (from == to)", "if (true)",
     "unit.*route|platform.no_stream_.*service"),
]


def run(words, folder):
    return subprocess.run(words, cwd=folder, capture_output=True, text=True)


def copy_changed(source, target):
    """Copies a file where its text differs; only those are built again."""
    text = open(source, "rb").read()
    if not os.path.exists(target) or open(target, "rb").read() != text:
        shutil.copyfile(source, target)
        shutil.copymode(source, target)


def prepare(folder):
    os.makedirs(folder, exist_ok=True)
    for name in ("src", "testsuite", "docs", "platform"):
        shutil.copytree(os.path.join(ROOT, name), os.path.join(folder, name),
                        copy_function=copy_changed, dirs_exist_ok=True)
    copy_changed(os.path.join(ROOT, "CMakeLists.txt"),
                 os.path.join(folder, "CMakeLists.txt"))


def caught_by(folder, pattern):
    """Builds and returns the names of the tests that failed."""
    for words in (["cmake", "-S", ".", "-B", "build", "-G", "Ninja"],
                  ["ninja", "-C", "build"]):
        done = run(words, folder)
        if done.returncode != 0:
            raise SystemExit("does not build:\n" + done.stdout[-3000:])
    done = run(["ctest", "--test-dir", "build", "-j", "4", "-R", pattern],
               folder)
    return [line.split("- ")[1].split(" (")[0]
            for line in done.stdout.split("\n")
            if "(Failed)" in line or "(Timeout)" in line]


def mutated(folder, name, path, old, new):
    """The text of the file without the mechanism."""
    text = open(os.path.join(folder, path)).read()
    edits = [(old, new)] if isinstance(old, str) else zip(old, new)
    for there, instead in edits:
        if there not in text:
            raise SystemExit("nothing to take out: " + name)
        text = text.replace(there, instead, 1)
    return text


def main():
    if sys.argv[1:] == ["--check"]:
        for name, path, old, new, _ in MUTATIONS:
            mutated(ROOT, name, path, old, new)
        return 0
    folder, names = sys.argv[1], sys.argv[2:]
    missed = 0
    for name, path, old, new, pattern in MUTATIONS:
        if names and name not in names:
            continue
        prepare(folder)
        text = mutated(folder, name, path, old, new)
        open(os.path.join(folder, path), "w").write(text)
        caught = caught_by(folder, pattern)
        missed += not caught
        print("%-40s %s" % (name, ", ".join(caught) or "NOT CAUGHT"),
              flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
