// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "relay_handler.h"

#include "answer_intake.h"
#include "forward_state.h"
#include "http_caller_link.h"
#include "lent_place.h"
#include "runner_connector.h"
#include "runner_look.h"

#include <adapters/call_connection.h>
#include <adapters/clock.h>
#include <adapters/http_server.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>
#include <crosslink/base/number.h>
#include <crosslink/forward/answer_match.h>
#include <crosslink/forward/body_budget.h>
#include <crosslink/forward/service_map.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace crosslink
{

namespace
{

/// A relayed call takes a thread and two connections: about 0.1 MB.
constexpr std::uint64_t relays_per_mb = 1;
constexpr std::uint64_t min_relays = 64;
constexpr std::uint64_t max_relays = 512;
/// Shorter than the time in which the other instance would have connected
/// itself: it has used that up already.
constexpr Micros connect_time = std::chrono::milliseconds(250);
/// See ForwardRun: answers to earlier calls on the connection.
constexpr int max_surplus_answers = 3;
constexpr int unavailable = 503;
constexpr int no_content = 204;
constexpr int not_modified = 304;

constexpr std::array connection_headers{
    "Connection",        "Content-Length",    "Transfer-Encoding",
    relay_wire::runner,  relay_wire::time_ms, relay_wire::share,
    relay_wire::failure, relay_wire::free_ms};

bool
belongs_to_connection(const std::string& name)
{
    return std::any_of(connection_headers.begin(), connection_headers.end(),
                       [&name](const char* header) {
                           return Poco::icompare(name, header) == 0;
                       });
}

/// Counts a call as in progress for as long as it lives.
class OpenRelay
{
public:
    explicit OpenRelay(ForwardCounters::Counter& count) : m_count(count)
    {
        m_number = ++m_count;
    }
    ~OpenRelay() { --m_count; }
    OpenRelay(const OpenRelay&) = delete;
    OpenRelay& operator=(const OpenRelay&) = delete;

    std::uint64_t number() const { return m_number; }

private:
    ForwardCounters::Counter& m_count;
    std::uint64_t m_number;
};

/// Waits for more of the answer. Returns false where the call is over: its
/// caller has gone, or its time.
bool
wait_for_more(CallConnection& connection, TimePoint deadline)
{
    return connection.wait(deadline - monotonic_now()) ==
           CallConnection::Wait::Ready;
}

} // namespace

/// A call as the other instance sent it.
struct RelayHandler::RelayedCall {
    std::string runner;
    /// Value of relay_wire::share; empty for a call on the sender's own share.
    std::string share;
    TimePoint deadline{};
    OutgoingCall outgoing;
    std::string body;
    ForwardedCall decoded;
    bool sent = false; ///< It may have reached the runner.
};

RelayHandler::RelayHandler(ForwardState& state) : m_state(state)
{
}

bool
RelayHandler::is_relayed(const Poco::Net::HTTPServerRequest& request)
{
    return request.has(relay_wire::runner);
}

std::uint64_t
RelayHandler::most_open() const
{
    return std::clamp(m_state.settings.memory_mb * relays_per_mb, min_relays,
                      max_relays);
}

void
RelayHandler::handle(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& answer)
{
    HttpCallerLink link(request, answer);
    const OpenRelay open(m_state.counters.relays_open);
    HeldBytes held(m_state.bodies);
    RelayedCall call;
    try {
        read_head(request, call);
        if (!read_call_body(request, call, held) || open.number() > most_open())
            refuse(call, RelayFailure::Busy, link);
        else if (m_state.stopping)
            refuse(call, RelayFailure::NoPath, link);
        else
            pass_on(call, link);
    } catch (const std::exception& failure) {
        LogLine("call_not_relayed")
            .field("request", call.decoded.id)
            .field("runner", call.runner)
            .field("error", failure.what());
        // Of a body that was not read, bytes may follow.
        answer.setKeepAlive(false);
        if (link.begun())
            link.abort();
        else
            refuse(call,
                   call.sent ? RelayFailure::Broken : RelayFailure::NoPath,
                   link);
    }
}

void
RelayHandler::read_head(const Poco::Net::HTTPServerRequest& request,
                        RelayedCall& call) const
{
    const auto millis = parse_leading_integer<std::int64_t>(
        request.get(relay_wire::time_ms, ""));
    call.runner = request.get(relay_wire::runner);
    call.share = request.get(relay_wire::share, "");
    call.deadline =
        monotonic_now() + std::chrono::milliseconds(millis.value_or(0));
    call.outgoing = {request.getMethod(), request.getURI(), {}};
    for (const auto& [name, value] : request)
        if (!belongs_to_connection(name))
            call.outgoing.headers.push_back({name, value});
    call.decoded = m_state.ports.wire.decode_call(
        {call.outgoing.method, call.outgoing.target, request.get("Host", ""),
         call.outgoing.headers});
}

/// Returns false if the bodies of other calls leave no room for this one.
bool
RelayHandler::read_call_body(Poco::Net::HTTPServerRequest& request,
                             RelayedCall& call, HeldBytes& held)
{
    bool fits = true;
    const auto map = m_state.map();
    call.body =
        read_body(request, map ? map->limits.body_bytes : 0,
                  [&](std::size_t bytes) { fits = held.add(bytes) && fits; });
    return fits;
}

void
RelayHandler::refuse(const RelayedCall& call, RelayFailure failure,
                     CallerLink& link, Micros free_in)
{
    ++m_state.counters.relays_refused;
    LogLine("relay_refused")
        .field("request", call.decoded.id)
        .field("runner", call.runner)
        .field("why", relay_failure_name(failure));
    const auto free_ms = free_in / std::chrono::milliseconds(1);
    const std::array headers{
        HeaderField{relay_wire::failure, relay_failure_name(failure)},
        HeaderField{relay_wire::free_ms, std::to_string(free_ms)}};
    link.answer(unavailable, headers, "");
}

void
RelayHandler::pass_on(RelayedCall& call, CallerLink& link)
{
    const auto runner = m_state.runners.with(
        [&call](const RunnerTable& table) -> std::optional<RunnerPick> {
            const RunnerEntry* entry = table.entry(call.runner);
            if (!entry)
                return std::nullopt;
            RunnerPick pick;
            pick.id = entry->listed.id;
            pick.start_ms = entry->listed.start_ms;
            pick.address = entry->listed.address;
            pick.limit_change = entry->notices.limit.change();
            pick.bearable_refusals =
                table.bearable_refusals(entry->listed.service);
            pick.service = entry->listed.service;
            pick.zone = entry->listed.zone;
            return pick;
        });
    if (!runner) {
        refuse(call, RelayFailure::NoPath, link);
        return;
    }
    LentPlace place(m_state, *runner);
    if (!call.share.empty()) {
        const bool above_share = call.share != relay_wire::within_fair_share;
        if (const auto free_in = place.take(above_share)) {
            refuse(call, RelayFailure::NoShare, link, *free_in);
            return;
        }
    }
    RunnerLink path = connect(*runner);
    if (path.connection)
        relay(call, *runner, std::move(path), place, link);
    else
        refuse(call, why_unreachable(m_state, runner->place()), link);
}

/// Returns a connection over this instance's own path, if there is one.
RunnerLink
RelayHandler::connect(const RunnerPick& runner)
{
    const auto path = m_state.path_to(runner.place());
    RunnerLink link;
    link.opened_at = monotonic_now();
    link.connection = m_state.connections.take(runner.address, link.opened_at,
                                               path.proven_since);
    link.reused = link.connection != nullptr;
    if (link.reused || path.relayed)
        return link;
    try {
        link.connection = std::make_unique<CallConnection>(
            runner.address, connect_time, m_state.single_fields);
    } catch (const Poco::Exception& failure) {
        LogLine("not_connected")
            .field("runner", runner.id)
            .field("error", failure.displayText());
        m_state.suspect_path(runner.place());
    }
    return link;
}

void
RelayHandler::relay(RelayedCall& call, const RunnerPick& runner,
                    RunnerLink path, LentPlace& place, CallerLink& link)
{
    CallConnection& connection = *path.connection;
    ++m_state.counters.relays_served;
    LogLine("call_relayed")
        .field("request", call.decoded.id)
        .field("runner", runner.id);
    connection.watch(link.socket(), call.deadline);
    call.sent = true;
    connection.send(call.outgoing, call.body);
    const auto head = receive_head(call, runner, connection, !path.reused);
    if (!head) {
        link.abort();
        return;
    }
    if (!path.reused)
        m_state.note_runner_answered(runner.place(), path.opened_at);
    if (head->not_run)
        place.refused();
    if (head->status == no_content || head->status == not_modified) {
        link.answer(head->status, head->headers, "");
        return;
    }
    link.begin(head->status, head->headers);
    if (!pass_body(call, connection, link)) {
        link.abort();
        return;
    }
    link.finish();
    m_state.connections.put_back_told(runner.address,
                                      std::move(path.connection),
                                      head->keep_alive, monotonic_now());
}

/// Returns the head of the runner's answer to the call, and takes in what it
/// says of the runner. Nothing if the call is over before it comes.
/// `only_call`: see match_answer().
std::optional<AnswerHead>
RelayHandler::receive_head(const RelayedCall& call, const RunnerPick& runner,
                           CallConnection& connection, bool only_call)
{
    AnswerIntake intake(m_state, call.decoded);
    for (int i = 0; i < max_surplus_answers; ++i) {
        if (!wait_for_more(connection, call.deadline))
            return std::nullopt;
        const RawHead raw = connection.receive_head();
        AnswerHead head =
            m_state.ports.wire.decode_answer(raw.status, raw.headers);
        const AnswerMatch match =
            match_answer(head, call.decoded.id, only_call && i == 0);
        if (match == AnswerMatch::NoCall)
            break;
        if (match == AnswerMatch::ThisCall) {
            m_state.note_runner_heard(runner.place());
            intake.apply(head, runner);
            std::erase_if(head.headers, [](const HeaderField& field) {
                return belongs_to_connection(field.name);
            });
            return head;
        }
        intake.apply_surplus(head, runner);
        if (!connection.skip_body())
            break;
    }
    throw Error(ErrorCode::UpstreamFailed, "no answer to this call",
                RunState::MayHaveRun);
}

/// Returns whether the whole body was passed on.
bool
RelayHandler::pass_body(const RelayedCall& call, CallConnection& connection,
                        CallerLink& link)
{
    while (!connection.ended()) {
        if (!wait_for_more(connection, call.deadline))
            return false;
        const std::string bytes = connection.read_next();
        if (bytes.empty() && connection.is_over())
            break;
        if (!bytes.empty() && !link.send(bytes))
            return false;
    }
    return !connection.interrupted() && connection.whole();
}

} // namespace crosslink
