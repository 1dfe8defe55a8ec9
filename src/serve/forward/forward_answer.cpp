// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of ForwardRun that waits for a runner's answer and relays it.

#include "forward_run.h"

#include <adapters/call_connection.h>
#include <adapters/clock.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>
#include <crosslink/base/number.h>
#include <crosslink/forward/answer_match.h>

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <utility>

namespace crosslink
{

namespace
{

/// Longest time between two checks whether a call must be withdrawn: newer
/// weights may be named in between, or the platform become unreachable.
constexpr Micros max_check_interval = std::chrono::milliseconds(200);
/// Shortest time between them: the time until the withdrawal does not decrease
/// while the platform is unreachable.
constexpr Micros min_check_interval = std::chrono::milliseconds(10);
/// Greatest number of answers to earlier calls on the connection that are
/// skipped.
constexpr int max_surplus_answers = 3;
/// Time between two looks at whether a silent runner is out of reach.
constexpr Micros path_check_interval = std::chrono::milliseconds(150);
constexpr int first_success = 200;
constexpr int first_redirect = 300;
constexpr int first_server_error = 500;
/// Largest body of an answer that is buffered whole before it is sent to the
/// caller. Of a larger one, the caller gets each piece as it comes, and the
/// runner is held back to the caller's pace.
constexpr std::size_t most_buffered_bytes = 64U << 10U;

/// Returns whether `status` tells a caller that its call has not run.
bool
promises_not_run(int status)
{
    constexpr std::array statuses{408, 421, 429, 503};
    return std::find(statuses.begin(), statuses.end(), status) !=
           statuses.end();
}

/// Returns the value of a header that another instance adds; empty for none.
std::string
relay_field(const RawHead& raw, std::string_view name)
{
    const auto found = std::find_if(
        raw.headers.begin(), raw.headers.end(),
        [name](const HeaderField& field) { return field.name == name; });
    return found == raw.headers.end() ? std::string() : found->value;
}

bool
is_success(int status)
{
    return status >= first_success && status < first_redirect;
}

} // namespace

/// Sends the call to the chosen runner and relays its answer.
ForwardRun::Outcome
ForwardRun::exchange(CallerLink& link)
{
    m_send.link.connection->watch(link.socket(), m_deadline);
    try {
        return send_and_relay(link);
    } catch (const Poco::Exception&) {
        const auto why = m_send.link.connection
                             ? m_send.link.connection->interrupted()
                             : std::nullopt;
        if (!why)
            throw;
        return *why == CallConnection::Wait::CallerGone ? Outcome::CallerGone
                                                        : Outcome::TimedOut;
    }
}

ForwardRun::Outcome
ForwardRun::send_and_relay(CallerLink& link)
{
    if (!std::exchange(m_send.link.sent, true))
        m_send.link.connection->send(encode_call(), m_call.body);
    m_send.only_call = !m_send.link.reused;
    for (int i = 0; i < max_surplus_answers; ++i) {
        if (const auto ended = await_answer())
            return *ended;
        const RawHead raw = m_hedge.has_head()
                                ? m_hedge.take_head()
                                : m_send.link.connection->receive_head();
        if (const auto ended = take_relay_failure(raw))
            return *ended;
        count_send();
        const auto head = next_head(raw);
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
        switch (m_hedge.wait(*m_send.link.connection, time_to_next_check())) {
        case CallConnection::Wait::CallerGone:
            return Outcome::CallerGone;
        case CallConnection::Wait::RivalReady:
            if (copy_wins())
                return std::nullopt;
            break;
        case CallConnection::Wait::Ready:
            m_hedge.stop_watching();
            m_send.silent_at.reset();
            m_send.path_check_at.reset();
            if (!m_send.link.relay)
                m_state.note_runner_heard(m_choice.pick().place());
            return std::nullopt;
        case CallConnection::Wait::TimedOut:
            break;
        }
        if (time_left().count() == 0)
            return Outcome::TimedOut;
        if (may_be_withdrawn() && m_choice.is_outdated())
            return Outcome::Outdated;
        check_path();
        if (m_hedge.is_due(monotonic_now()))
            hedge();
        if (m_send.silent_at && monotonic_now() >= *m_send.silent_at &&
            retries_silent())
            return Outcome::Silent;
    }
}

/// Asks once for a probe of this instance's path if nothing has come from the
/// runner for some time. Once the path is known to be cut, the connection
/// counts as silent.
void
ForwardRun::check_path()
{
    const TimePoint now = monotonic_now();
    if (!m_send.path_check_at || now < *m_send.path_check_at)
        return;
    m_send.path_check_at = now + path_check_interval;
    const RunnerPlace place = m_choice.pick().place();
    const auto path = m_state.path_to(place);
    if (path.relayed && path.proven_since > m_send.link.opened_at) {
        m_send.path_check_at.reset();
        m_send.silent_at = now;
    } else if (!m_send.suspects) {
        m_send.suspects = m_state.suspect_path(place);
    }
}

/// Returns whether the call is to be withdrawn when its weights are forbidden.
bool
ForwardRun::may_be_withdrawn() const
{
    return !has_begun() && m_call.generation.has_value();
}

/// Returns how long to wait for the answer before the next check.
Micros
ForwardRun::time_to_next_check() const
{
    Micros next = time_left();
    if (may_be_withdrawn())
        next = std::min(next, time_to_weights_check());
    if (m_send.silent_at)
        next = std::min(next, *m_send.silent_at - monotonic_now());
    if (m_send.path_check_at)
        next = std::min(next, *m_send.path_check_at - monotonic_now());
    if (m_hedge.due())
        next = std::min(next, *m_hedge.due() - monotonic_now());
    return std::max(next, Micros{0});
}

/// Returns the time until the call must be withdrawn, within the bounds above.
/// With a fixed check every 0.2 s, the runner had only 0.1 s left to notice
/// that its caller has disconnected.
Micros
ForwardRun::time_to_weights_check() const
{
    const Micros left =
        m_choice.time_to_withdrawal().value_or(max_check_interval);
    return std::clamp(left, min_check_interval, max_check_interval);
}

/// Called once if nothing arrived on a reused connection for too long. Closes
/// the idle connections to the runner that are as old, since they may be dead
/// too. Returns whether the call is retried; otherwise it goes on waiting, as
/// the runner may have received it.
bool
ForwardRun::retries_silent()
{
    m_send.silent_at.reset();
    auto& idle =
        m_send.link.relay ? m_state.relay_connections : m_state.connections;
    idle.drop_unproven(link_address(), m_send.link.opened_at);
    const bool retries = m_hedge.is_open() ||
                         (m_route.repeatable() &&
                          m_runs + 1 < m_route.most_attempts && take_retry());
    LogLine("connection_silent")
        .field("request", m_call.id)
        .field("runner", m_choice.pick().id)
        .field("repeats", retries);
    return retries;
}

/// Returns the head of the answer to this call. Returns nothing if the answer
/// belongs to an earlier call on the same connection; that answer is skipped.
/// Throws Error if it belongs to no call.
std::optional<AnswerHead>
ForwardRun::next_head(const RawHead& raw)
{
    AnswerHead head = m_state.ports.wire.decode_answer(raw.status, raw.headers);
    const AnswerMatch match =
        match_answer(head, m_call.id, std::exchange(m_send.only_call, false));
    if (match == AnswerMatch::ThisCall)
        return head;
    if (match == AnswerMatch::NoCall)
        throw Error(ErrorCode::UpstreamFailed, "an answer that names no call",
                    RunState::MayHaveRun);
    LogLine("surplus_answer")
        .field("request", m_call.id)
        .field("runner", m_choice.pick().id)
        .field("of_request", head.call_id);
    m_intake.apply_surplus(head, m_choice.pick());
    if (!m_send.link.connection->skip_body())
        throw Error(ErrorCode::UpstreamFailed,
                    "an answer to an earlier call does not end",
                    RunState::MayHaveRun);
    return std::nullopt;
}

/// Takes the answer of an instance that has none of the runner; nothing if it
/// is the runner's.
std::optional<ForwardRun::Outcome>
ForwardRun::take_relay_failure(const RawHead& raw)
{
    const std::string name = m_send.link.relay
                                 ? relay_field(raw, relay_wire::failure)
                                 : std::string();
    if (name.empty())
        return std::nullopt;
    const RelayFailure failure = relay_failure_from(name);
    LogLine("call_not_relayed")
        .field("request", m_call.id)
        .field("runner", m_choice.pick().id)
        .field("relay", relay())
        .field("zone", m_send.link.relay->zone)
        .field("why", name);
    if (failure == RelayFailure::Broken)
        return Outcome::Broken;
    ++m_state.counters.relays_vain;
    const auto free_ms = parse_leading_integer<std::int64_t>(
        relay_field(raw, relay_wire::free_ms));
    m_connector.not_relayed(m_send.link, failure,
                            std::chrono::milliseconds(free_ms.value_or(0)));
    return Outcome::NotRelayed;
}

ForwardRun::Outcome
ForwardRun::take_answer(CallerLink& link, const AnswerHead& head)
{
    m_connector.answered(m_send.link);
    m_intake.apply(head, m_choice.pick());
    if (head.not_run) {
        LogLine("call_refused")
            .field("request", m_call.id)
            .field("runner", m_choice.pick().id)
            .field("status", head.status)
            .field("version", m_choice.pick().version);
        return head.misdirected ? Outcome::Misdirected : Outcome::NotRun;
    }
    if (!may_be_relayed(head))
        return Outcome::Broken;
    // The events of a stream may come much later than its head.
    if (!head.event_stream)
        end_awaiting(true);
    const bool success = is_success(head.status);
    if (success)
        note_response(m_send.sent_at, m_prompt.tokens_to_read());
    end_copy(Outcome::Superseded);
    if (success && head.event_stream)
        return relay_events(link, head);
    // A stream that another runner began can't continue with an answer of
    // another kind.
    return link.begun() ? Outcome::Broken : relay_whole(link, head);
}

/// Returns whether the caller may get an answer with this head.
bool
ForwardRun::may_be_relayed(const AnswerHead& head)
{
    // The caller would conclude that the call did not run, which the runner
    // did not state.
    if (promises_not_run(head.status))
        return false;
    return !is_success(head.status) || (head.has_signature && !head.encoded);
}

void
ForwardRun::note_first_event()
{
    m_prompt.note_first_event();
    m_state.runners.with([this](RunnerTable& table) {
        table.prompt_read(m_choice.pick().incarnation(),
                          m_prompt.tokens_to_read());
    });
    end_awaiting(true);
    note_response_time();
}

/// Records how fast the runner answered.
void
ForwardRun::note_response_time()
{
    const TimePoint now = monotonic_now();
    m_state.runners.with([this, now](RunnerTable& table) {
        table.answered(m_choice.pick().incarnation(),
                       m_prompt.expected_at() - m_send.sent_at,
                       now - m_send.sent_at, now);
        if (m_prompt.measures_prefill() && !m_send.link.relay)
            table.prefilled(m_choice.pick().incarnation(),
                            m_prompt.tokens_to_read(), m_choice.pick().wait,
                            now - m_send.sent_at, now);
    });
}

/// Records when the answer is due. A relay may be late itself, which says
/// nothing of the runner.
void
ForwardRun::await_answer_until_due()
{
    m_send.answer_due.reset();
    if (m_send.link.relay || m_route.objective == Micros{0})
        return;
    const Micros allowance =
        answer_allowance(m_route.objective, m_prompt.fetches());
    m_send.answer_due = m_state.runners.with([&](RunnerTable& table) {
        return table.await(m_choice.pick().incarnation(),
                           m_prompt.expected_at() - m_send.sent_at, allowance,
                           m_send.sent_at);
    });
}

void
ForwardRun::end_awaiting(bool is_answered)
{
    if (!m_send.answer_due)
        return;
    m_state.runners.with([&](RunnerTable& table) {
        table.await_ended(m_choice.pick().incarnation(), *m_send.answer_due,
                          is_answered, monotonic_now());
    });
    m_send.answer_due.reset();
}

ForwardRun::Outcome
ForwardRun::relay_whole(CallerLink& link, const AnswerHead& head)
{
    std::string body;
    HeldBytes held(m_state.bodies);
    while (!m_send.link.connection->ended()) {
        if (const auto ended = await_answer())
            return *ended;
        const std::string bytes = m_send.link.connection->read_next();
        if (bytes.empty() && m_send.link.connection->is_over())
            break;
        body += bytes;
        const bool fits =
            body.size() <= most_buffered_bytes && held.add(bytes.size());
        if (!fits)
            return relay_pieces(link, head, body);
    }
    if (!m_send.link.connection->whole())
        return Outcome::Broken;
    keep_connection(head);
    m_answered_failure =
        head.status >= first_server_error && head.has_signature;
    if (retries_failed()) {
        m_failed_answer = {head, std::move(body)};
        return Outcome::Failed;
    }
    if (is_success(head.status))
        note_response_time();
    link.answer(head.status, head.headers, body);
    return Outcome::Done;
}

/// Relays an answer that is not buffered, piece by piece; `piece` is what has
/// come of its body. An answer that breaks off cannot begin anew.
ForwardRun::Outcome
ForwardRun::relay_pieces(CallerLink& link, const AnswerHead& head,
                         std::string piece)
{
    m_relays_pieces = true;
    link.begin(head.status, head.headers);
    for (;;) {
        if (!piece.empty() && !link.send(piece))
            return Outcome::CallerGone;
        if (m_send.link.connection->is_over())
            break;
        if (const auto ended = await_answer())
            return *ended;
        piece = m_send.link.connection->read_next();
    }
    if (!m_send.link.connection->whole())
        return Outcome::Broken;
    keep_connection(head);
    link.finish();
    return Outcome::Done;
}

/// Returns whether a call that failed at its runner is sent to another one: the
/// route allows it, the retry budget grants it, and more time is left than this
/// run took. If a service fails one run in seven, one caller in seven gets the
/// failure without a retry, and one in fifty with it.
bool
ForwardRun::retries_failed()
{
    return m_answered_failure && m_route.repeatable() &&
           m_runs + 1 < m_route.most_attempts &&
           time_left() > monotonic_now() - m_send.sent_at && take_retry();
}

ForwardRun::Outcome
ForwardRun::relay_events(CallerLink& link, const AnswerHead& head)
{
    m_events.begin_run();
    while (!m_send.link.connection->ended()) {
        if (const auto ended = await_answer())
            return *ended;
        const std::string bytes = m_send.link.connection->read_next();
        if (bytes.empty() && m_send.link.connection->is_over())
            break;
        const std::string events = m_events.take(bytes);
        if (m_events.gap())
            return Outcome::Broken;
        if (events.empty())
            continue;
        if (has_begun())
            m_crashes.record_begun();
        if (!send_events(link, head, events))
            return Outcome::CallerGone;
    }
    if (!m_send.link.connection->whole() || m_events.within_event())
        return Outcome::Broken;
    keep_connection(head);
    if (!link.begun())
        link.begin(head.status, head.headers);
    link.finish();
    m_resumption.ended();
    return Outcome::Done;
}

/// Sends whole events to the caller. Returns false if it disconnected.
bool
ForwardRun::send_events(CallerLink& link, const AnswerHead& head,
                        const std::string& events)
{
    if (!m_prompt.is_read())
        note_first_event();
    if (!link.begun()) {
        m_first_event = monotonic_now() - m_call.received_at;
        m_state.counters.first_event.add(m_first_event);
        m_choice.require(m_choice.service(), m_choice.pick().software);
        m_resumption.began(m_choice.service(), m_choice.pick().software);
        link.begin(head.status, head.headers);
    }
    return link.send(events);
}

void
ForwardRun::keep_connection(const AnswerHead& head)
{
    auto& idle =
        m_send.link.relay ? m_state.relay_connections : m_state.connections;
    idle.put_back_told(link_address(), std::move(m_send.link.connection),
                       head.keep_alive, monotonic_now());
}

} // namespace crosslink
