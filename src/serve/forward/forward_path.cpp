// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "forward_path.h"

#include "forward_run.h"

#include <adapters/clock.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>
#include <crosslink/forward/start_wait.h>

#include <array>
#include <cstdio>

namespace crosslink
{

namespace
{

/// Retry time for a caller that was refused because this instance has no
/// configuration yet.
constexpr Micros unconfigured_retry_time = std::chrono::milliseconds(500);
/// Retry time for a caller whose call another instance accepts at once.
constexpr Micros stopping_retry_time = std::chrono::milliseconds(50);

/// Returns `span` as a Retry-After value: seconds with fractions.
std::string
retry_after(Micros span)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", seconds(span));
    return text.data();
}

} // namespace

void
answer_failure(CallerLink& link, const Error& failure)
{
    std::vector<HeaderField> headers{{"Content-Type", "text/plain"}};
    if (failure.retry_after())
        headers.push_back({"Retry-After", retry_after(*failure.retry_after())});
    const std::string body = std::string(error_name(failure.code())) + "\n";
    link.answer(error_status(failure.code()), headers, body);
}

ForwardPath::ForwardPath(ForwardState& state, KeptLocator& kept)
    : m_state(state), m_kept(kept)
{
}

void
ForwardPath::serve(const ForwardedCall& call, CallerLink& link)
{
    ++m_state.counters.calls;
    try {
        forward(call, link);
    } catch (const Error& failure) {
        ++(is_not_run(failure.run_state()) ? m_state.counters.refused
                                           : m_state.counters.failed);
        LogLine("call_failed")
            .field("request", call.id)
            .field("error", error_name(failure.code()))
            .field("run_state", run_state_name(failure.run_state()))
            .field("why", failure.what())
            .span("took", monotonic_now() - call.received_at);
        answer_failure(link, failure);
    }
}

/// Waits for the configuration in an instance that has just started; see
/// wait_for_configuration().
void
ForwardPath::await_configuration()
{
    m_state.learned.wait(wait_for_configuration(m_state.since_start()),
                         [this] { return m_state.knows_fleet(); });
}

void
ForwardPath::forward(const ForwardedCall& call, CallerLink& link)
{
    if (m_state.refusing)
        throw Error(ErrorCode::NotReady, "this instance stops",
                    RunState::NotDispatched, stopping_retry_time);
    await_configuration();
    // The call uses one version of the configuration from start to end. A
    // change takes effect with the next call.
    const auto map = m_state.map();
    if (!m_state.knows_fleet())
        throw Error(ErrorCode::NotReady, "this instance has no configuration",
                    RunState::NotDispatched, unconfigured_retry_time);
    const ServiceRoute* route = map->find_route(call.host, call.path());
    if (!route)
        throw Error(ErrorCode::UnknownPath, "no route for this host and path");
    const AccountSettings* account = map->find_account(call.api_key);
    if (!account && map->needs_key && !route->open)
        throw Error(ErrorCode::UnknownKey, "no account has this key");
    ForwardRun run(m_state, m_kept, call, *route, account);
    try {
        run.run(link);
    } catch (const Error& failure) {
        run.note_failure(failure);
        throw;
    }
    ++(run.caller_gone() ? m_state.counters.callers_gone
                         : m_state.counters.answered);
    m_state.counters.whole_answer.add(monotonic_now() - call.received_at);
    LogLine("call_ended")
        .field("request", call.id)
        .field("route", route->name)
        .field("map", map->version)
        .field("runner", run.runner())
        .field("software", run.software())
        .field("resumes", call.resumes)
        .field("began_at", run.resumption().began_at())
        .field("origin_known_by", run.resumption().known_by())
        .span("changes_age", m_state.changes_age(call.received_at))
        .field("weights", run.weights())
        .field("sends", run.sends())
        .field("relay", run.relay())
        .field("kept", run.kept_summary())
        .field("caller_gone", run.caller_gone())
        .span("expected_wait", run.expected_wait())
        .span("first_event", run.first_event())
        .span("took", monotonic_now() - call.received_at);
}

} // namespace crosslink
