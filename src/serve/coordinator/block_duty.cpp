// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "block_duty.h"

#include <adapters/clock.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>
#include <crosslink/ports/blocked_request_registry.h>

#include <vector>

namespace crosslink
{

namespace
{

/// Pause between two rounds. Running instances know of a block by then from
/// each other; only instances that start depend on the record.
constexpr Micros round_pause = std::chrono::milliseconds(500);

} // namespace

BlockDuty::BlockDuty(ForwardState& state)
    : m_state(state),
      m_duty(
          "blocked_requests", [this] { return round(); }, Duty::Begin::OnStart)
{
}

Micros
BlockDuty::round()
{
    if (!m_state.has_duty())
        return round_pause;
    std::vector<std::string> blocked;
    std::vector<std::string> cleared;
    m_state.crashes.with([&](const CrashHistory& history) {
        blocked = history.to_record(monotonic_now());
        cleared = history.to_unrecord();
    });
    try {
        for (const std::string& request : blocked)
            block(request);
        for (const std::string& request : cleared)
            unblock(request);
    } catch (const Error& failure) {
        LogLine("block_not_recorded").field("error", failure.what());
    }
    return round_pause;
}

void
BlockDuty::block(const std::string& request)
{
    m_state.ports.blocked.block(request, CrashHistory::remembered);
    // The watch on the platform's store reports the record too, but the request
    // would be recorded again until then.
    m_state.crashes.with([&](CrashHistory& history) {
        history.recorded(request, monotonic_now());
    });
    LogLine("block_recorded").field("digest", request);
}

void
BlockDuty::unblock(const std::string& request)
{
    m_state.ports.blocked.unblock(request);
    m_state.crashes.with(
        [&](CrashHistory& history) { history.unrecorded(request); });
    LogLine("block_taken_back").field("digest", request);
}

} // namespace crosslink
