// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "forward_run.h"

#include <adapters/call_connection.h>
#include <adapters/clock.h>
#include <adapters/random.h>
#include <serve/log_line.h>

#include <crosslink/base/number.h>

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <thread>

namespace crosslink
{

namespace
{

/// A runner that refused a call has no room: it gets no call for this time.
constexpr Micros refusal_hold = std::chrono::milliseconds(120);
/// The same for a refusal while newer weights than the runner's are named: the
/// runner is loading them.
constexpr Micros loading_hold = std::chrono::milliseconds(700);
/// A reused connection on which nothing arrives for the time left divided by
/// this may be dead. The rest of the time is enough for a new connection, and
/// a healthy runner answers far sooner.
constexpr int silence_divisor = 2;
/// A runner from which nothing comes for this time may be out of reach.
constexpr Micros path_check_time = std::chrono::milliseconds(400);
/// Least time between two searches for a runner: the first slot that a runner
/// has free may go to another call.
constexpr Micros min_wait = std::chrono::milliseconds(15);
} // namespace

ForwardRun::ForwardRun(ForwardState& state, KeptLocator& kept,
                       const ForwardedCall& call, const ServiceRoute& route,
                       const AccountSettings* account)
    : m_state(state), m_call(call), m_route(route), m_account(account),
      m_deadline(call.received_at + std::min(call.time_allowed, route.timeout)),
      m_events(parse_leading_integer<std::uint64_t>(call.last_event)),
      m_prompt(state, kept, call, route.objective),
      m_choice(state, m_prompt, call, route, account),
      m_admission(state, m_choice, call, route, account),
      m_crashes(state, call, account), m_intake(state, call),
      m_connector(state, call.id),
      m_resumption(state, call, route, account, m_deadline),
      m_hedge(state, kept, call, route.objective)
{
}

ForwardRun::~ForwardRun() = default;

/// Returns the KV memory that the call occupies at its runner, in tokens.
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
    if (const auto origin = m_resumption.origin())
        m_choice.require(origin->service, origin->software);
    m_state.retries.with([this](RetryWindow& window) {
        window.called(m_choice.service(), monotonic_now());
    });
    for (;;) {
        const bool found = find_runner();
        if (m_crashes.rejects()) {
            end_blocked(link);
            return;
        }
        if (!found) {
            end_without_answer(link,
                               m_runs > 0 ? Outcome::Broken : Outcome::NotSent);
            return;
        }
        m_admission.check(m_attempted);
        if (m_crashes.rejects_send()) {
            end_blocked(link);
            return;
        }
        const Outcome outcome = attempt(link);
        record_outcome(outcome, m_path_failed);
        if (outcome == Outcome::Done)
            return;
        if (outcome == Outcome::CallerGone) {
            m_caller_gone = true;
            return;
        }
        if (!may_send_again(outcome)) {
            end_without_answer(link, outcome);
            return;
        }
    }
}

/// Chooses a runner, at once or after a wait. Returns false if there is none,
/// or if the call's request is blocked.
bool
ForwardRun::find_runner()
{
    if (m_crashes.rejects())
        return false;
    m_choice.avoid_exiting(!m_crashes.failed_before());
    return m_choice.choose() || m_choice.borrow() || wait_for_runner();
}

/// Waits for a runner that is known to accept calls again early enough for an
/// answer within the objective. Returns false at once if there is none: the
/// caller gets a retry time instead of a wait that can't succeed.
bool
ForwardRun::wait_for_runner()
{
    for (;;) {
        // A runner that refused the call earlier may have room by then.
        if (m_runs == 0)
            m_choice.clear_excluded();
        const TimePoint latest = latest_useful_time();
        m_next_available = m_choice.reserve_next(latest);
        std::optional<TimePoint> at = m_next_available.at;
        if (!at || *at >= latest)
            at = m_choice.next_loan();
        if (!at || *at >= latest)
            return false;
        const Micros wait = *at - monotonic_now();
        std::this_thread::sleep_for(std::max(wait, min_wait));
        if (m_choice.choose_reserved() || m_choice.borrow())
            return true;
    }
}

/// Returns the latest time at which a free slot at a runner is still useful to
/// the call. An account that used more than its share takes slots in the first
/// half of the remaining time only: the other accounts would find all slots
/// reserved otherwise.
TimePoint
ForwardRun::latest_useful_time() const
{
    const TimePoint useful =
        std::min(m_deadline, m_call.received_at + m_route.objective);
    if (!m_choice.account_above_share())
        return useful;
    const TimePoint now = monotonic_now();
    return now + (useful - now) / 2;
}

/// Sends the call to the chosen runner: over this instance's own path, or,
/// where that fails before anything is sent, through another instance.
ForwardRun::Outcome
ForwardRun::attempt(CallerLink& link)
{
    m_send.options.reset();
    m_path_failed = false;
    m_connector.begin(m_choice.pick(), m_runs > 0);
    while (connect()) {
        const Outcome outcome = send_once(link);
        if (outcome != Outcome::NotRelayed)
            return outcome;
        m_crashes.record_unsent();
        m_choice.reserve_again();
    }
    if (m_choice.pick().is_borrowed())
        return Outcome::NotLent;
    note_unreachable();
    return Outcome::NotSent;
}

ForwardRun::Outcome
ForwardRun::send_once(CallerLink& link)
{
    if (!m_send.options)
        m_send.options = make_options();
    m_send.options->time_left = time_left();
    note_sent();
    watch_send(link);
    const Outcome outcome = finish_send(link);
    return m_hedge.is_open() ? continue_with_copy(link, outcome) : outcome;
}

/// Waits for the answer to the last send and relays it.
ForwardRun::Outcome
ForwardRun::finish_send(CallerLink& link)
{
    Outcome outcome = Outcome::Broken;
    bool silent = false;
    try {
        outcome = exchange(link);
    } catch (const std::exception& failure) {
        silent = dynamic_cast<const Poco::TimeoutException*>(&failure);
        LogLine("answer_broken")
            .field("request", m_call.id)
            .field("runner", m_choice.pick().id)
            .field("reused", m_send.link.reused)
            .field("relay", relay())
            .field("error", failure.what());
    }
    note_ended(outcome);
    if (outcome == Outcome::Broken)
        note_broken(silent);
    return outcome;
}

/// Records that the call is sent to the chosen runner.
void
ForwardRun::note_sent()
{
    m_send.sent_at = monotonic_now();
    m_answered_failure = false;
    m_choice.sent(m_prompt.tokens_to_read(), resident_tokens(), m_send.sent_at);
    m_prompt.note_sent(m_send.sent_at, m_choice.pick().wait,
                       m_choice.pick().prefill_rate);
    await_answer_until_due();
    m_crashes.record_send();
    m_attempted = true;
    m_send.counted = false;
    if (!m_send.link.relay)
        count_send();
}

/// Counts the last send, once. One through another instance counts only when it
/// is known not to have been refused there: a call may ask several instances
/// for a place of their share, and takes up none of what these refuse.
void
ForwardRun::count_send()
{
    if (m_send.counted)
        return;
    m_send.counted = true;
    m_choice.count_send(m_send.sent_at);
    ++m_sends;
    m_resumption.sent(m_choice.service(), m_choice.pick().software, m_sends);
    ++m_state.counters.sends;
    if (m_send.link.relay)
        ++m_state.counters.calls_relayed;
    if (m_choice.pick().is_borrowed())
        ++m_state.counters.shares_borrowed;
}

/// Records that the call ended at the chosen runner, with or without an answer.
void
ForwardRun::note_ended(Outcome outcome)
{
    if (outcome == Outcome::Outdated)
        LogLine("call_withdrawn")
            .field("request", m_call.id)
            .field("runner", m_choice.pick().id)
            .field("version", m_choice.pick().version)
            .field("newest", m_choice.newest_weights());
    if (outcome != Outcome::NotRelayed)
        count_send();
    m_send.link.connection.reset();
    m_prompt.note_ended();
    end_awaiting(outcome == Outcome::Done || outcome == Outcome::NotRun ||
                 outcome == Outcome::Misdirected || outcome == Outcome::Failed);
    m_choice.ended(resident_tokens());
    m_state.runners.with([this, outcome](RunnerTable& table) {
        if (!m_prompt.is_read())
            table.prompt_read(m_choice.pick().incarnation(),
                              m_prompt.tokens_to_read());
        if (outcome == Outcome::Done && m_call.generation)
            table.ran(m_choice.pick().id, resident_tokens(),
                      monotonic_now() - m_send.sent_at);
    });
    if (outcome == Outcome::NotRun || outcome == Outcome::Misdirected)
        m_prompt.cancel_saves();
}

/// Records that no connection led to the chosen runner.
void
ForwardRun::note_unreachable()
{
    if (m_send.options)
        m_prompt.cancel_saves();
    m_path_failed = !m_connector.runner_failed();
    if (!m_path_failed)
        note_connection_failure(m_connector.was_silent());
}

/// Finds out whether a connection broke because of the runner, and records it
/// if so. A runner that sends nothing would not answer a look at its port
/// either.
void
ForwardRun::note_broken(bool silent)
{
    if (m_send.link.relay)
        m_state.relay_failed(m_send.link.relay->address, {});
    else if (silent)
        note_connection_failure(true);
    if (silent)
        return;
    m_path_failed = !m_crashes.note_broken(m_choice.pick(), !m_send.link.relay,
                                           has_begun());
    if (!m_path_failed && !m_send.link.relay)
        note_connection_failure(false);
}

/// Records that the chosen runner did not accept a connection or broke it, and
/// whether it sends nothing at all.
void
ForwardRun::note_connection_failure(bool silent)
{
    const TimePoint now = monotonic_now();
    m_state.note_connection_failed(m_choice.pick().id, now, "connection");
    if (silent)
        m_state.runners.with(
            [&](RunnerTable& table) { table.silent(m_choice.pick().id, now); });
}

/// Opens the next connection that leads to the chosen runner. Returns false if
/// there is none.
bool
ForwardRun::connect()
{
    m_send.link = m_connector.next(time_left());
    begin_checks();
    return m_send.link.connection != nullptr;
}

/// Sets when to look at a connection on which nothing arrives.
void
ForwardRun::begin_checks()
{
    m_send.silent_at.reset();
    m_send.path_check_at.reset();
    m_send.suspects = false;
    if (m_send.link.reused)
        m_send.silent_at =
            m_send.link.opened_at + time_left() / silence_divisor;
    if (!m_send.link.relay)
        m_send.path_check_at = m_send.link.opened_at + path_check_time;
}

/// Returns the address that the call is sent to.
const std::string&
ForwardRun::link_address() const
{
    return m_send.link.relay ? m_send.link.relay->address
                             : m_choice.pick().address;
}

/// Returns the call as the runner gets it, with what another instance needs to
/// pass it on.
OutgoingCall
ForwardRun::encode_call() const
{
    OutgoingCall call = m_state.ports.wire.encode_call(m_call, *m_send.options);
    if (!m_send.link.relay)
        return call;
    const auto millis =
        m_send.options->time_left / std::chrono::milliseconds(1);
    const std::array relay_headers{
        HeaderField{relay_wire::runner, m_choice.pick().id},
        HeaderField{relay_wire::time_ms, std::to_string(millis)}};
    call.headers.insert(call.headers.begin(), relay_headers.begin(),
                        relay_headers.end());
    if (m_choice.pick().is_borrowed())
        call.headers.push_back(
            {relay_wire::share, m_choice.account_above_share()
                                    ? relay_wire::above_fair_share
                                    : relay_wire::within_fair_share});
    return call;
}

SendOptions
ForwardRun::make_options()
{
    SendOptions options = options_without_parts();
    if (m_call.generation)
        m_prompt.locate_parts(m_choice.kept_space(), m_choice.pick().zone,
                              options.time_left, options);
    return options;
}

/// Returns the options for the chosen runner, without what it is to do with
/// the parts of the prompt.
SendOptions
ForwardRun::options_without_parts() const
{
    SendOptions options;
    options.runner = m_choice.pick().id;
    options.time_left = time_left();
    if (m_account)
        options.account = m_account->name;
    if (!m_call.generation)
        return options;
    options.priority = m_admission.priority();
    options.version = m_choice.pick().version;
    if (const auto last = m_events.last_event())
        options.after_event = std::to_string(*last);
    return options;
}

void
ForwardRun::record_outcome(Outcome outcome, bool path_failed)
{
    if (outcome == Outcome::Failed || m_answered_failure)
        m_crashes.note_failed(m_choice.pick());
    else if (outcome == Outcome::Done)
        m_crashes.note_served(m_choice.pick(), m_send.sent_at);
    const TimePoint now = monotonic_now();
    if (outcome == Outcome::NotRun)
        m_state.retries.with([&](RetryWindow& window) {
            window.refused(m_choice.service(), now);
        });
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
            table.found_no_room(runner, now, random_bits());
            break;
        case Outcome::Misdirected:
            table.refused(runner, now, refusal_hold);
            if (m_call.generation)
                table.discard_version(runner, m_call.generation->model,
                                      m_choice.pick().version);
            break;
        case Outcome::NotSent:
        case Outcome::Broken:
            if (path_failed)
                table.refused(runner, now, refusal_hold);
            else
                table.failed(runner, now);
            break;
        case Outcome::CallerGone:
        case Outcome::TimedOut:
        case Outcome::Outdated:
        case Outcome::Silent:
        case Outcome::Superseded:
        case Outcome::Failed:
        case Outcome::NotRelayed:
        case Outcome::NotLent:
            break;
        }
    });
}

bool
ForwardRun::may_send_again(Outcome outcome)
{
    const bool may_have_run =
        outcome == Outcome::Broken || outcome == Outcome::Outdated ||
        outcome == Outcome::Silent || outcome == Outcome::Failed;
    if (may_have_run)
        ++m_runs;
    if (outcome == Outcome::NotLent)
        return time_left().count() > 0;
    m_choice.exclude_last();
    const bool repeatable = m_route.repeatable();
    if (outcome == Outcome::TimedOut || m_relays_pieces ||
        time_left().count() == 0)
        return false;
    if (may_have_run && (!repeatable || m_runs >= m_route.most_attempts))
        return false;
    if (outcome == Outcome::NotSent || outcome == Outcome::Silent ||
        outcome == Outcome::Failed)
        return true;
    return take_retry();
}

bool
ForwardRun::take_retry()
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
