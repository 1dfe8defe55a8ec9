// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of a run that waits for a runner's answer and relays it.

#include "forward_run.h"

#include <adapters/call_connection.h>
#include <adapters/clock.h>
#include <serve/log_line.h>

#include <Poco/Exception.h>

#include <algorithm>
#include <array>

namespace crosslink
{

namespace
{

/// Longest time between two looks when a call must be withdrawn: newer weights
/// may be named, or the platform go away, meanwhile.
constexpr Micros withdraw_look = std::chrono::milliseconds(200);
/// Shortest one: the time that is left stands still while the platform is away.
constexpr Micros least_withdraw_look = std::chrono::milliseconds(10);
/// Surplus answers of earlier calls that are read past.
constexpr int most_surplus = 3;
constexpr int first_success = 200;
constexpr int first_redirect = 300;
constexpr int first_server_error = 500;
/// An answer that is not a stream is held whole before it goes out.
constexpr std::size_t most_body_bytes = 16U << 20U;
/// An idle connection is given up so long before the runner closes it.
constexpr Micros idle_margin = std::chrono::milliseconds(1200);

/// Statuses that tell a caller that its call has not run.
bool
promises_not_run(int status)
{
    constexpr std::array statuses{408, 421, 429, 503};
    return std::find(statuses.begin(), statuses.end(), status) !=
           statuses.end();
}

bool
is_success(int status)
{
    return status >= first_success && status < first_redirect;
}

} // namespace

/// Sends the call to the chosen runner and relays its answer.
ForwardRun::Outcome
ForwardRun::exchange(CallerLink& link, const SendOptions& terms)
{
    m_connection->watch(link.socket(), m_deadline);
    try {
        return send_and_relay(link, terms);
    } catch (const Poco::Exception&) {
        const auto why =
            m_connection ? m_connection->interrupted() : std::nullopt;
        if (!why)
            throw;
        return *why == CallConnection::Wait::CallerGone ? Outcome::CallerGone
                                                        : Outcome::TimedOut;
    }
}

ForwardRun::Outcome
ForwardRun::send_and_relay(CallerLink& link, const SendOptions& terms)
{
    m_connection->send(m_state.ports.wire.encode_call(m_call, terms),
                       m_call.body);
    for (int i = 0; i < most_surplus; ++i) {
        if (const auto ended = await_answer())
            return *ended;
        const auto head = next_head();
        if (!head)
            continue;
        return take_answer(link, *head);
    }
    return Outcome::Broken;
}

std::optional<ForwardRun::Outcome>
ForwardRun::await_answer()
{
    for (;;) {
        switch (m_connection->wait(next_look())) {
        case CallConnection::Wait::CallerGone:
            return Outcome::CallerGone;
        case CallConnection::Wait::Ready:
            m_silent_at.reset();
            return std::nullopt;
        case CallConnection::Wait::TimedOut:
            break;
        }
        if (time_left().count() == 0)
            return Outcome::TimedOut;
        if (waits_on_weights() && m_choice.is_outdated())
            return Outcome::Outdated;
        if (m_silent_at && monotonic_now() >= *m_silent_at && gives_up_silent())
            return Outcome::Silent;
    }
}

/// Returns whether the call is withdrawn where its weights are forbidden.
bool
ForwardRun::waits_on_weights() const
{
    return !has_begun() && m_call.generation.has_value();
}

/// Returns the time until something else than the answer is to be looked at.
Micros
ForwardRun::next_look() const
{
    Micros next = time_left();
    if (waits_on_weights())
        next = std::min(next, next_weights_look());
    if (m_silent_at)
        next = std::min(next, *m_silent_at - monotonic_now());
    return next;
}

/// Returns the time until the call must be withdrawn, where that is near: a
/// look each 0.2 s alone left the runner 0.1 s to see that its caller has gone.
Micros
ForwardRun::next_weights_look() const
{
    const Micros left = m_choice.weights_left().value_or(withdraw_look);
    return std::clamp(left, least_withdraw_look, withdraw_look);
}

/// Called once where a kept connection has said nothing for long: others of
/// the same age may be as dead, and the call is repeated where it may be.
/// Else it waits on: the runner may have it.
bool
ForwardRun::gives_up_silent()
{
    m_silent_at.reset();
    m_state.connections.drop_unproven(m_choice.pick().address, m_connected_at);
    const bool repeats = m_route.repeatable() &&
                         m_runs + 1 < m_route.most_attempts && take_repeat();
    LogLine("connection_silent")
        .field("request", m_call.id)
        .field("runner", m_choice.pick().id)
        .field("repeats", repeats);
    return repeats;
}

/// Returns the head of the answer to this call; nothing where it was the
/// answer to an earlier one on the same connection, which is read past.
std::optional<AnswerHead>
ForwardRun::next_head()
{
    const RawHead raw = m_connection->receive_head();
    AnswerHead head = m_state.ports.wire.decode_answer(raw.status, raw.headers);
    if (head.call_id.empty() || head.call_id == m_call.id)
        return head;
    LogLine("surplus_answer")
        .field("request", m_call.id)
        .field("runner", m_choice.pick().id)
        .field("of_request", head.call_id);
    m_intake.take_surplus(head, m_choice.pick());
    while (!m_connection->read_some().empty()) {
    }
    return std::nullopt;
}

ForwardRun::Outcome
ForwardRun::take_answer(CallerLink& link, const AnswerHead& head)
{
    m_intake.take(head, m_choice.pick());
    if (head.not_run) {
        LogLine("call_refused")
            .field("request", m_call.id)
            .field("runner", m_choice.pick().id)
            .field("status", head.status)
            .field("version", m_choice.pick().version);
        return head.misdirected ? Outcome::Misdirected : Outcome::NotRun;
    }
    // The caller would take it for a promise that the runner did not give.
    if (promises_not_run(head.status))
        return Outcome::Broken;
    const bool success = is_success(head.status);
    if (success && (!head.has_signature || head.encoded))
        return Outcome::Broken;
    if (success && head.event_stream)
        return relay_events(link, head);
    // What another runner began can't go on with an answer of another kind.
    return link.begun() ? Outcome::Broken : relay_whole(link, head);
}

void
ForwardRun::saw_first_event()
{
    m_prompt.first_event();
    m_state.runners.with([this](RunnerTable& table) {
        table.prompt_read(m_choice.pick().incarnation(),
                          m_prompt.tokens_to_read());
    });
}

ForwardRun::Outcome
ForwardRun::relay_whole(CallerLink& link, const AnswerHead& head)
{
    std::string body;
    while (!m_connection->ended()) {
        if (const auto ended = await_answer())
            return *ended;
        const std::string bytes = m_connection->read_some();
        if (bytes.empty())
            break;
        body += bytes;
        if (body.size() > most_body_bytes)
            return Outcome::Broken;
    }
    if (!m_connection->whole())
        return Outcome::Broken;
    keep_connection(head);
    m_answered_failure =
        head.status >= first_server_error && head.has_signature;
    if (repeats_failed()) {
        m_failed_answer = {head, std::move(body)};
        return Outcome::Failed;
    }
    link.answer(head.status, head.headers, body);
    return Outcome::Done;
}

/// Returns whether a call that failed at its runner is sent to another one: it
/// may be repeated, there is a repeat to give out, and as much time as this run
/// took. Where a service fails one run in seven, one caller in seven was told
/// so; with a repeat it is one in fifty.
bool
ForwardRun::repeats_failed()
{
    return m_answered_failure && m_route.repeatable() &&
           m_runs + 1 < m_route.most_attempts &&
           time_left() > monotonic_now() - m_sent_at && take_repeat();
}

ForwardRun::Outcome
ForwardRun::relay_events(CallerLink& link, const AnswerHead& head)
{
    m_events.begin_run();
    while (!m_connection->ended()) {
        if (const auto ended = await_answer())
            return *ended;
        const std::string bytes = m_connection->read_some();
        if (bytes.empty())
            break;
        const std::string events = m_events.take(bytes);
        if (m_events.gap())
            return Outcome::Broken;
        if (events.empty())
            continue;
        if (!send_events(link, head, events))
            return Outcome::CallerGone;
    }
    if (!m_connection->whole() || m_events.within_event())
        return Outcome::Broken;
    keep_connection(head);
    if (!link.begun())
        link.begin(head.status, head.headers);
    link.finish();
    return Outcome::Done;
}

/// Sends whole events to the caller. Returns false where it went away.
bool
ForwardRun::send_events(CallerLink& link, const AnswerHead& head,
                        const std::string& events)
{
    if (!m_prompt.is_read())
        saw_first_event();
    if (!link.begun()) {
        m_first_event = monotonic_now() - m_call.received_at;
        m_state.counters.first_event.add(m_first_event);
        link.begin(head.status, head.headers);
    }
    return link.send(events);
}

void
ForwardRun::keep_connection(const AnswerHead& head)
{
    if (!head.keep_alive)
        return;
    const Micros idle = head.keep_alive->count() > 0
                            ? *head.keep_alive - idle_margin
                            : CallConnections::idle_untold;
    if (idle.count() > 0)
        m_state.connections.put_back(m_choice.pick().address,
                                     std::move(m_connection), idle,
                                     monotonic_now());
}

} // namespace crosslink
