// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of ForwardState that records under which requests runners exited.

#include "forward_state.h"

#include <adapters/clock.h>
#include <serve/log_line.h>
#include <serve/request_crashes.h>

namespace crosslink
{

void
ForwardState::merge_peer_report(const CrashUpdate& update, TimePoint as_of)
{
    if (update.empty())
        return;
    crashes.with([&](CrashHistory& history) {
        history.merge(update, as_of, monotonic_now());
    });
    log_newly_blocked();
}

void
ForwardState::note_runner_exit(const RunnerIncarnation& runner,
                               const char* evidence)
{
    const bool leaves = runners.with([&](const RunnerTable& table) {
        const auto found = table.entries().find(runner.id);
        return found != table.entries().end() &&
               found->second.listed.start_ms == runner.start_ms &&
               found->second.leaves();
    });
    if (leaves)
        return;
    count_ends(unresolved_failures.with([&](UnresolvedFailures& failures) {
        return failures.ended(runner, monotonic_now());
    }),
               evidence);
}

void
ForwardState::note_runner_replaced(const ListedRunner& runner)
{
    const RunnerIncarnation incarnation{runner.id, runner.start_ms};
    count_ends(unresolved_failures.with([&](UnresolvedFailures& failures) {
        if (runner.leaving)
            failures.leaves(incarnation);
        return failures.replaced_at(runner.address, incarnation,
                                    monotonic_now());
    }),
               "new process");
}

void
ForwardState::note_gone_runners()
{
    count_ends(unresolved_failures.with([](UnresolvedFailures& failures) {
        return failures.take_gone(monotonic_now());
    }),
               "gone");
}

/// Counts `calls`, under which a runner exited, and logs them.
void
ForwardState::count_ends(const std::vector<InterruptedCall>& calls,
                         const char* evidence)
{
    if (calls.empty())
        return;
    counters.runner_ends += record_process_ends(crashes, calls);
    for (const InterruptedCall& call : calls)
        LogLine("runner_ended")
            .field("runner", call.runner)
            .field("digest", call.key)
            .field("again", call.again)
            .field("evidence", evidence)
            .span("after", monotonic_now() - call.ended_at);
    log_newly_blocked();
}

CrashUpdate
ForwardState::crash_updates(TimePoint now)
{
    return crashes.with(
        [now](const CrashHistory& history) { return history.update(now); });
}

void
ForwardState::note_block_record(const std::string& key, bool is_blocked)
{
    crashes.with([&](CrashHistory& history) {
        if (is_blocked)
            history.recorded(key, monotonic_now());
        else
            history.unrecorded(key);
    });
    log_newly_blocked();
}

void
ForwardState::note_restored_block_record(const std::string& key,
                                         bool is_blocked)
{
    crashes.with([&](CrashHistory& history) {
        if (is_blocked)
            history.record_restored(key, monotonic_now());
        else
            history.record_lost(key);
    });
    log_newly_blocked();
}

void
ForwardState::log_newly_blocked()
{
    const auto blocked = crashes.with([](CrashHistory& history) {
        return history.take_newly_blocked(monotonic_now());
    });
    counters.requests_blocked += blocked.size();
    for (const std::string& digest : blocked)
        LogLine("request_blocked").field("digest", digest);
}

} // namespace crosslink
