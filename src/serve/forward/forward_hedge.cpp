// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of ForwardRun that sends a late call to a second runner.

#include "forward_run.h"

#include <adapters/call_connection.h>
#include <adapters/clock.h>

#include <crosslink/base/error.h>
#include <crosslink/forward/answer_match.h>
#include <crosslink/forward/runner_price.h>

#include <Poco/Exception.h>

#include <algorithm>
#include <utility>

namespace crosslink
{

namespace
{

/// Longest time to read a head that has arrived.
constexpr Micros head_time = std::chrono::milliseconds(50);

std::optional<HedgeKind>
kind_of(const ServiceRoute& route)
{
    if (!route.repeatable())
        return std::nullopt;
    return route.kind == CallKind::Stream ? HedgeKind::Stream
                                          : HedgeKind::PlainCall;
}

} // namespace

/// Begins to watch the last send, for which a copy may become due.
void
ForwardRun::watch_send(CallerLink& link)
{
    if (m_state.settings.hedge_ratio > 0)
        m_hedge.watch(hedge_call(), m_send.sent_at, link.socket());
}

/// Returns what the policy is to know of the last send.
HedgeCall
ForwardRun::hedge_call()
{
    const TimePoint now = monotonic_now();
    HedgeCall call;
    call.kind = kind_of(m_route);
    if (!call.kind)
        return call;
    const RunnerPick& pick = m_choice.pick();
    call.resumes = !m_call.last_event.empty() || m_events.last_event() ||
                   m_first_event.count() > 0;
    call.suspected = m_crashes.blocked() || m_crashes.failed_before();
    call.copied = m_hedge.copied();
    call.indirect = m_send.link.relay || pick.is_borrowed();
    call.runner_limited = pick.limited || pick.bearable_refusals > 0;
    call.runner_backs_off = m_state.runners.with([&](const RunnerTable& table) {
        const RunnerEntry* entry = table.entry(pick.id);
        return entry && entry->notices.backoff_until > now;
    });
    call.sends = m_sends;
    call.most_attempts = m_route.most_attempts;
    call.usual =
        m_state.response_times.with([&](const ResponseTimes& response_times) {
            return response_times.quantile(m_choice.service(),
                                           m_prompt.tokens_to_read(),
                                           HedgePolicy::quantile, now);
        });
    call.expected = std::max(std::chrono::duration_cast<Micros>(
                                 m_prompt.expected_at() - m_send.sent_at),
                             Micros{0});
    return call;
}

/// Called when the call is late: sends its copy, if that is allowed.
void
ForwardRun::hedge()
{
    m_hedge.stop_watching();
    const HedgeCall call = hedge_call();
    auto denial = m_state.hedge_policy.denial(call);
    std::optional<RunnerPick> pick;
    if (!denial) {
        pick = m_choice.choose_second();
        denial = pick ? hedge_denial(call, *pick) : HedgeDenial::NoRunner;
    }
    if (denial)
        ++m_state.counters.hedges_denied[static_cast<std::size_t>(*denial)];
    else if (m_hedge.connect(*pick, m_choice.pick(), time_left()))
        send_copy();
}

/// Returns why the late call, which may have a copy, is not sent to `pick` too;
/// nothing if it is, and then takes it from the budget.
std::optional<HedgeDenial>
ForwardRun::hedge_denial(const HedgeCall& call, const RunnerPick& pick)
{
    const TimePoint now = monotonic_now();
    const auto waited =
        std::chrono::duration_cast<Micros>(now - m_send.sent_at);
    if (const auto denial =
            HedgePolicy::denial(call, hedge_runner(pick), waited))
        return denial;
    const bool granted = m_state.retries.with([&](RetryWindow& window) {
        return window.take_hedge(m_choice.service(), m_state.instance_count(),
                                 now);
    });
    return granted ? std::nullopt : std::optional(HedgeDenial::OverLimit);
}

/// Returns what the policy is to know of the runner of a copy.
HedgeRunner
ForwardRun::hedge_runner(const RunnerPick& pick)
{
    HedgeRunner runner;
    runner.holds_back = pick.limited || pick.bearable_refusals > 0;
    runner.relayed = m_state.path_to(pick.place()).relayed;
    runner.expected = pick.wait + reading_time(m_prompt.tokens_to_read());
    m_state.runners.with([&](const RunnerTable& table) {
        if (const RunnerEntry* entry = table.entry(pick.id)) {
            runner.calls = entry->own.calls + entry->others.calls;
            runner.slots = entry->listed.slots;
        }
    });
    return runner;
}

/// Sends the copy on its new connection. Once the first runner begins to
/// answer, the rest is not sent.
void
ForwardRun::send_copy()
{
    swap_sends();
    begin_checks();
    m_send.options = options_without_parts();
    if (m_call.generation)
        m_prompt.locate_for_copy(m_choice.kept_space(), m_choice.pick().zone,
                                 *m_send.options);
    note_sent();
    ++m_state.counters.hedges;
    CallConnection& connection = *m_send.link.connection;
    std::optional<Outcome> failure;
    try {
        connection.watch(m_hedge.caller_socket(), m_deadline);
        connection.send(encode_call(), m_call.body,
                        m_hedge.other().send.link.connection.get());
        m_send.link.sent = true;
    } catch (const std::exception&) {
        failure =
            connection.interrupted() ? Outcome::Superseded : Outcome::Broken;
    }
    swap_sends();
    if (failure)
        end_copy(*failure);
}

/// Reads the head of the copy's answer, which has arrived. Returns whether the
/// copy is now the call's only send; its head is kept.
bool
ForwardRun::copy_wins()
{
    swap_sends();
    const Outcome outcome = receive_copy_head();
    if (outcome != Outcome::Done) {
        swap_sends();
        end_copy(outcome);
        return false;
    }
    m_send.silent_at.reset();
    m_send.path_check_at.reset();
    m_state.note_runner_heard(m_choice.pick().place());
    ++m_state.counters.hedges_won;
    const HedgedSend::Other& other = m_hedge.other();
    note_response(other.send.sent_at, other.prompt.tokens_to_read());
    end_other_send(Outcome::Superseded);
    m_hedge.log("won");
    return true;
}

/// Returns Done if the answer on the current connection is one that the caller
/// may get.
ForwardRun::Outcome
ForwardRun::receive_copy_head()
{
    CallConnection& connection = *m_send.link.connection;
    const int caller = m_hedge.caller_socket();
    connection.watch(caller, std::min(m_deadline, monotonic_now() + head_time));
    try {
        RawHead raw = connection.receive_head();
        const AnswerHead head =
            m_state.ports.wire.decode_answer(raw.status, raw.headers);
        if (match_answer(head, m_call.id, !m_send.link.reused) !=
            AnswerMatch::ThisCall)
            return Outcome::Broken;
        if (head.not_run) {
            m_intake.apply(head, m_choice.pick());
            return head.misdirected ? Outcome::Misdirected : Outcome::NotRun;
        }
        if (!may_be_relayed(head))
            return Outcome::Broken;
        connection.watch(caller, m_deadline);
        m_hedge.keep_head(std::move(raw));
        return Outcome::Done;
    } catch (const std::exception&) {
        return connection.interrupted() ? Outcome::Superseded : Outcome::Broken;
    }
}

/// Called when a send ended with `outcome` while its copy is in flight: goes on
/// with the copy if that can still be answered.
ForwardRun::Outcome
ForwardRun::continue_with_copy(CallerLink& link, Outcome outcome)
{
    const bool may_have_run =
        outcome == Outcome::Broken || outcome == Outcome::Silent;
    const bool not_run =
        outcome == Outcome::NotRun || outcome == Outcome::Misdirected;
    if (!may_have_run && !not_run) {
        end_copy(Outcome::Superseded);
        return outcome;
    }
    record_outcome(outcome, m_path_failed);
    if (may_have_run)
        ++m_runs;
    m_choice.exclude_last();
    m_path_failed = false;
    swap_sends();
    m_hedge.log("continued");
    return finish_send(link);
}

/// Ends the copy, if there is one, after `outcome`.
void
ForwardRun::end_copy(Outcome outcome)
{
    if (!m_hedge.is_open())
        return;
    end_other_send(outcome);
    m_hedge.log(outcome == Outcome::Superseded ? "lost"
                : outcome == Outcome::Broken   ? "broken"
                                               : "refused");
}

/// Ends the send that is not the current one, and records what it showed of its
/// runner. One that is superseded shows nothing. The port of a runner that
/// broke the connection is looked at by another thread, as this one has an
/// answer to wait for.
void
ForwardRun::end_other_send(Outcome outcome)
{
    swap_sends();
    note_ended(outcome);
    m_choice.exclude_last();
    if (outcome == Outcome::Superseded || outcome == Outcome::Broken)
        ++m_runs;
    if (outcome != Outcome::Superseded)
        record_copy_outcome(outcome);
    swap_sends();
}

/// Records why the copy, which is the current send, failed.
void
ForwardRun::record_copy_outcome(Outcome outcome)
{
    if (outcome == Outcome::Broken)
        m_crashes.note_copy_broken(m_choice.pick());
    else
        m_state.note_runner_answered(m_choice.pick().place(),
                                     m_send.link.opened_at);
    // Whether the path to it broke is not known.
    const bool path_failed = true;
    record_outcome(outcome, path_failed);
}

/// Records that the answer to a send at `sent_at`, with `tokens` to prefill,
/// begins now, or has not begun yet and is given up.
void
ForwardRun::note_response(TimePoint sent_at, std::uint64_t tokens)
{
    if (m_state.settings.hedge_ratio == 0 || m_send.link.relay)
        return;
    const TimePoint now = monotonic_now();
    const auto taken = std::chrono::duration_cast<Micros>(now - sent_at);
    m_state.response_times.with([&](ResponseTimes& response_times) {
        response_times.add(m_choice.service(), tokens, taken, now);
    });
}

/// Exchanges the state of the call's current send with that of the other one.
void
ForwardRun::swap_sends()
{
    HedgedSend::Other& other = m_hedge.other();
    m_choice.swap_pick(other.pick);
    m_prompt.swap(other.prompt);
    std::swap(m_send, other.send);
}

void
ForwardRun::note_failure(const Error& failure)
{
    if (failure.code() != ErrorCode::NoUpstream &&
        failure.code() != ErrorCode::UpstreamsLimited)
        return;
    m_state.retries.with([this](RetryWindow& window) {
        window.refused(m_choice.service(), monotonic_now());
    });
}

} // namespace crosslink
