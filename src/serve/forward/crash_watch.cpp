// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "crash_watch.h"

#include "runner_look.h"

#include <serve/log_line.h>

#include <crosslink/forward/crash_key.h>
#include <crosslink/forward/request_digest.h>
#include <crosslink/forward/service_map.h>

#include <string>
#include <vector>

namespace crosslink
{

namespace
{

std::vector<std::string>
part_keys(const ForwardedCall& call, const AccountSettings* account)
{
    std::vector<std::string> keys;
    if (!call.generation)
        return keys;
    const std::string isolated =
        account && account->isolated ? account->name : std::string();
    for (const PromptPart& part : call.generation->shared_parts())
        keys.push_back(part_crash_key(part.id, isolated));
    return keys;
}

} // namespace

CrashWatch::CrashWatch(ForwardState& state, const ForwardedCall& call,
                       const AccountSettings* account)
    : RequestCrashes(
          state.crashes, state.unresolved_failures,
          [&call, account] {
              return request_digest(call,
                                    account ? account->name : std::string());
          },
          part_keys(call, account)),
      m_state(state), m_call(call)
{
}

bool
CrashWatch::rejects()
{
    return blocked() && !(m_state.has_duty() && may_try());
}

bool
CrashWatch::rejects_send()
{
    if (!blocked())
        return false;
    if (!m_state.has_duty() || !take_trial())
        return true;
    LogLine("blocked_part_tried")
        .field("request", m_call.id)
        .field("parts", part_ids());
    return false;
}

std::string
CrashWatch::part_ids() const
{
    std::string ids;
    if (!m_call.generation)
        return ids;
    for (const PromptPart& part : m_call.generation->shared_parts()) {
        if (!ids.empty())
            ids += ',';
        ids += part.id;
    }
    return ids;
}

/// Distinguishes a process that exited from a connection that broke, by its
/// port. The platform's list shows an exit only three heartbeats later, when
/// the request has already been sent to other runners.
bool
CrashWatch::note_broken(const RunnerPick& runner, bool direct, bool begun)
{
    const RunnerLook look =
        look_at_runner(m_state, runner.place(), runner.address);
    if (direct && look.path_cut)
        return false;
    const ProcessFate fate = look.fate;
    const bool known =
        record_failure({runner.id, runner.start_ms, runner.address}, true);
    if (fate == ProcessFate::Ended || known)
        m_state.note_runner_exit(runner.incarnation(), "port");
    else
        m_state.unresolved_failure_added.wake();
    LogLine("runner_looked_at")
        .field("request", m_call.id)
        .field("digest", digest())
        .field("runner", runner.id)
        .field("fate", fate_name(fate))
        .field("again", again())
        .field("parts", part_ids())
        .field("begun", begun);
    return true;
}

void
CrashWatch::note_copy_broken(const RunnerPick& runner)
{
    if (record_failure({runner.id, runner.start_ms, runner.address}, true))
        m_state.note_runner_exit(runner.incarnation(), "port");
    else
        m_state.unresolved_failure_added.wake();
}

void
CrashWatch::note_failed(const RunnerPick& runner)
{
    if (record_failure({runner.id, runner.start_ms, runner.address}, false))
        m_state.note_runner_exit(runner.incarnation(), "port");
}

void
CrashWatch::note_served(const RunnerPick& runner, TimePoint sent_at)
{
    record_answer();
    m_state.unresolved_failures.with([&](UnresolvedFailures& failures) {
        if (!failures.empty())
            failures.lives(runner.incarnation(), sent_at);
    });
}

} // namespace crosslink
