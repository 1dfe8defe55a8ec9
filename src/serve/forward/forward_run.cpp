// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "forward_run.h"

#include <adapters/call_connection.h>
#include <adapters/clock.h>
#include <adapters/random.h>
#include <serve/log_line.h>

#include <crosslink/base/number.h>
#include <crosslink/forward/queue_limit.h>

#include <Poco/Exception.h>

#include <algorithm>
#include <thread>

namespace crosslink
{

namespace
{

/// A runner that takes no connection in this time is passed over.
constexpr Micros connect_time = std::chrono::milliseconds(400);
/// A runner that refused has no room: it gets nothing for this time.
constexpr Micros refusal_hold = std::chrono::milliseconds(120);
/// A runner that refuses while new weights are out is loading them.
constexpr Micros loading_hold = std::chrono::milliseconds(700);
/// A kept connection that says nothing for the time left over this may have
/// fallen silent for good: the rest is enough for a fresh one, and a sound
/// runner takes far less.
constexpr int part_silent = 2;
/// Least time between two looks for a runner: others may take its first place.
constexpr Micros wait_step = std::chrono::milliseconds(15);
} // namespace

ForwardRun::ForwardRun(ForwardState& state, KeptAsker& kept,
                       const ForwardedCall& call, const ServiceRoute& route,
                       const AccountSettings* holder)
    : m_state(state), m_call(call), m_route(route), m_holder(holder),
      m_deadline(call.received_at + std::min(call.time_allowed, route.timeout)),
      m_events(parse_leading_integer<std::uint64_t>(call.last_event)),
      m_prompt(state, kept, call, route.objective),
      m_choice(state, m_prompt, call, route, holder),
      m_crashes(state, call, holder ? holder->name : std::string()),
      m_intake(state, call)
{
}

ForwardRun::~ForwardRun() = default;

/// Returns the KV memory that the call takes at its runner, in tokens.
std::uint64_t
ForwardRun::resident_tokens() const
{
    return m_call.generation ? m_call.generation->resident_tokens() : 0;
}

Micros
ForwardRun::time_left() const
{
    return std::max(m_deadline - monotonic_now(), Micros{0});
}

void
ForwardRun::run(CallerLink& link)
{
    m_state.retries.with([this](RetryWindow& window) {
        window.called(m_choice.service(), monotonic_now());
    });
    for (;;) {
        const bool found = find_runner();
        if (m_crashes.blocked()) {
            end_blocked(link);
            return;
        }
        if (!found) {
            give_up(link, m_runs > 0 ? Outcome::Broken : Outcome::NotSent);
            return;
        }
        refuse_beyond_limit();
        const Outcome outcome = attempt(link);
        settle(outcome);
        if (outcome == Outcome::Done)
            return;
        if (outcome == Outcome::CallerGone) {
            m_caller_gone = true;
            return;
        }
        if (!may_go_on(outcome)) {
            give_up(link, outcome);
            return;
        }
    }
}

/// Chooses a runner, at once or after a wait. Looks for none where the call
/// will be sent to none.
bool
ForwardRun::find_runner()
{
    if (m_crashes.blocked())
        return false;
    m_choice.spare_ending(!m_crashes.failed_before());
    return m_choice.choose() || wait_for_runner();
}

/// Refuses a call that was sent nowhere yet and would wait for too long.
void
ForwardRun::refuse_beyond_limit()
{
    if (m_sends > 0 || !m_call.generation || !m_call.last_event.empty())
        return;
    QueuedCall queued;
    queued.expected_wait = m_choice.pick().wait;
    queued.objective = m_route.objective;
    queued.waited = monotonic_now() - m_call.received_at;
    if (const auto retry_after = QueueLimit::refusal(queued, random_bits()))
        throw Error(ErrorCode::NoUpstream, "runners have too much to do",
                    RunState::NotDispatched, *retry_after);
}

/// Waits for a runner that is known to take work again in time for an answer
/// within the objective. Where none is, waiting would only hold the caller up:
/// it is told at once when to come back.
bool
ForwardRun::wait_for_runner()
{
    for (;;) {
        // A runner that refused before may have room by then.
        if (m_runs == 0)
            m_choice.pass_over_none();
        const TimePoint latest = latest_place();
        m_next_available = m_choice.keep_place(latest);
        if (!m_next_available.at || *m_next_available.at >= latest)
            return false;
        const Micros wait = *m_next_available.at - monotonic_now();
        std::this_thread::sleep_for(std::max(wait, wait_step));
        if (m_choice.choose_kept())
            return true;
    }
}

/// Returns until when a place at a runner is of use. An account that had more
/// than its part leaves the later half of the places to the others, who would
/// find all of them taken.
TimePoint
ForwardRun::latest_place() const
{
    const TimePoint useful =
        std::min(m_deadline, m_call.received_at + m_route.objective);
    if (!m_choice.account_ahead())
        return useful;
    const TimePoint now = monotonic_now();
    return now + (useful - now) / 2;
}

ForwardRun::Outcome
ForwardRun::attempt(CallerLink& link)
{
    bool reused = false;
    if (!connect(reused))
        return Outcome::NotSent;
    const SendOptions sent = terms();
    note_sent();
    Outcome outcome = Outcome::Broken;
    bool silent = false;
    try {
        outcome = exchange(link, sent);
    } catch (const std::exception& failure) {
        silent = note_lost_contact(failure);
        LogLine("answer_broken")
            .field("request", m_call.id)
            .field("runner", m_choice.pick().id)
            .field("reused", reused)
            .field("error", failure.what());
    }
    note_ended(outcome);
    look_at_runner(outcome, silent);
    return outcome;
}

/// Takes note that the call is sent to the chosen runner.
void
ForwardRun::note_sent()
{
    m_sent_at = monotonic_now();
    m_answered_failure = false;
    m_choice.sent(m_prompt.tokens_to_read(), resident_tokens(), m_sent_at);
    m_prompt.sent(m_sent_at, m_choice.pick().wait);
    m_crashes.sent();
    ++m_sends;
    ++m_state.counters.sends;
}

/// Takes note that the call ended at the chosen runner, with or without an
/// answer.
void
ForwardRun::note_ended(Outcome outcome)
{
    if (outcome == Outcome::Outdated)
        LogLine("call_withdrawn")
            .field("request", m_call.id)
            .field("runner", m_choice.pick().id)
            .field("version", m_choice.pick().version)
            .field("newest", m_choice.newest_weights());
    m_connection.reset();
    m_prompt.ended();
    m_state.runners.with([this, outcome](RunnerTable& table) {
        if (!m_prompt.is_read())
            table.prompt_read(m_choice.pick().incarnation(),
                              m_prompt.tokens_to_read());
        table.ended(m_choice.pick().incarnation(), resident_tokens());
        if (outcome == Outcome::Done && m_call.generation)
            table.ran(m_choice.pick().id, resident_tokens(),
                      monotonic_now() - m_sent_at);
    });
    if (outcome == Outcome::NotRun || outcome == Outcome::Misdirected)
        m_prompt.not_run();
}

/// Looks whether the runner ended under the call, where its connection broke.
/// One that says nothing would say nothing to that either.
void
ForwardRun::look_at_runner(Outcome outcome, bool silent)
{
    if (outcome == Outcome::Broken && !silent)
        m_crashes.broken(m_choice.pick());
}

/// Takes note of a runner that takes no connection or broke one off. Returns
/// whether nothing at all comes from it.
bool
ForwardRun::note_lost_contact(const std::exception& failure)
{
    const bool silent =
        dynamic_cast<const Poco::TimeoutException*>(&failure) != nullptr;
    m_state.runners.with([&](RunnerTable& table) {
        table.connection_failed(m_choice.pick().id, monotonic_now());
        if (silent)
            table.silent(m_choice.pick().id, monotonic_now());
    });
    return silent;
}

bool
ForwardRun::connect(bool& reused)
{
    m_connected_at = monotonic_now();
    m_silent_at.reset();
    // Kept connections fall silent together: a repeat has no time for that.
    if (m_runs == 0)
        m_connection =
            m_state.connections.take(m_choice.pick().address, m_connected_at);
    reused = m_connection != nullptr;
    if (reused) {
        m_silent_at = m_connected_at + time_left() / part_silent;
        return true;
    }
    try {
        m_connection = std::make_unique<CallConnection>(
            m_choice.pick().address, std::min(connect_time, time_left()));
        return true;
    } catch (const Poco::Exception& failure) {
        note_lost_contact(failure);
        LogLine("not_connected")
            .field("request", m_call.id)
            .field("runner", m_choice.pick().id)
            .field("error", failure.displayText());
        return false;
    }
}

SendOptions
ForwardRun::terms()
{
    SendOptions terms;
    terms.runner = m_choice.pick().id;
    terms.time_left = time_left();
    if (m_holder)
        terms.account = m_holder->name;
    if (!m_call.generation)
        return terms;
    terms.priority = m_holder && m_holder->has_priority ? m_holder->priority
                                                        : m_route.priority;
    terms.version = m_choice.pick().version;
    if (const auto last = m_events.last_event())
        terms.after_event = std::to_string(*last);
    m_prompt.ask(m_choice.kept_space(), m_choice.pick().zone, terms.time_left,
                 terms);
    return terms;
}

void
ForwardRun::settle(Outcome outcome)
{
    if (outcome == Outcome::Failed || m_answered_failure)
        m_crashes.failed(m_choice.pick());
    else if (outcome == Outcome::Done)
        m_crashes.served(m_choice.pick(), m_sent_at);
    const TimePoint now = monotonic_now();
    const bool loading = m_call.generation &&
                         m_choice.newest_weights() > m_choice.pick().version;
    const RunnerIncarnation runner = m_choice.pick().incarnation();
    m_state.runners.with([&](RunnerTable& table) {
        switch (outcome) {
        case Outcome::Done:
            table.succeeded(runner);
            break;
        case Outcome::NotRun:
            table.refused(runner, now, loading ? loading_hold : refusal_hold);
            break;
        case Outcome::Misdirected:
            table.refused(runner, now, refusal_hold);
            if (m_call.generation)
                table.discard_version(runner, m_call.generation->model,
                                      m_choice.pick().version);
            break;
        case Outcome::NotSent:
        case Outcome::Broken:
            table.failed(runner, now);
            break;
        case Outcome::CallerGone:
        case Outcome::TimedOut:
        case Outcome::Outdated:
        case Outcome::Silent:
        case Outcome::Failed:
            break;
        }
    });
}

bool
ForwardRun::may_go_on(Outcome outcome)
{
    const bool may_have_run =
        outcome == Outcome::Broken || outcome == Outcome::Outdated ||
        outcome == Outcome::Silent || outcome == Outcome::Failed;
    if (may_have_run)
        ++m_runs;
    m_choice.pass_over_last();
    const bool repeatable = m_route.repeatable();
    if (outcome == Outcome::TimedOut || time_left().count() == 0)
        return false;
    if (may_have_run && (!repeatable || m_runs >= m_route.most_attempts))
        return false;
    if (outcome == Outcome::NotSent || outcome == Outcome::Silent ||
        outcome == Outcome::Failed)
        return true;
    return take_repeat();
}

bool
ForwardRun::take_repeat()
{
    const bool granted = m_state.retries.with([this](RetryWindow& window) {
        return window.take(m_choice.service(), m_state.instance_count(),
                           monotonic_now());
    });
    if (granted)
        ++m_state.counters.repeats;
    return granted;
}

} // namespace crosslink
