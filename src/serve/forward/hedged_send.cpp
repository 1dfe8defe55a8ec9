// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "hedged_send.h"

#include "forward_state.h"

#include <adapters/clock.h>
#include <serve/log_line.h>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace crosslink
{

namespace
{

/// Longest time to connect for a copy: the answer to the first send is not
/// read meanwhile. Within a region, connections take a tenth of it.
constexpr Micros connect_time = std::chrono::milliseconds(25);
/// A runner that refused a connection gets no call for this time.
constexpr Micros refused_hold = std::chrono::milliseconds(120);
/// Time between two looks whether a head that comes in pieces is complete.
constexpr Micros head_check_interval = std::chrono::milliseconds(5);

} // namespace

HedgedSend::HedgedSend(ForwardState& state, KeptLocator& kept,
                       const ForwardedCall& call, Micros objective)
    : m_state(state),
      m_call(call), m_other{{}, CallPrompt(state, kept, call, objective), {}}
{
}

void
HedgedSend::watch(const HedgeCall& call, TimePoint sent_at, int caller_socket)
{
    m_due.reset();
    m_sent_at = sent_at;
    m_caller_socket = caller_socket;
    const auto denial = m_state.hedge_policy.denial(call);
    if (denial == HedgeDenial::FewObservations)
        ++m_state.counters.hedges_denied[static_cast<std::size_t>(*denial)];
    // Other reasons count once the call is late.
    if (denial != HedgeDenial::Kind && call.usual)
        m_due = sent_at + HedgePolicy::delay(call);
}

bool
HedgedSend::connect(const RunnerPick& pick, const RunnerPick& first,
                    Micros time_left)
{
    m_copied = true;
    m_first = first.id;
    m_second = pick.id;
    m_waited = std::chrono::duration_cast<Micros>(monotonic_now() - m_sent_at);
    m_other.pick = pick;
    m_other.send.link = {};
    m_other.send.link.opened_at = monotonic_now();
    try {
        m_other.send.link.connection = std::make_unique<CallConnection>(
            pick.address, std::min(connect_time, time_left),
            m_state.single_fields);
        return true;
    } catch (const Poco::Net::ConnectionRefusedException&) {
        const TimePoint now = monotonic_now();
        m_state.note_connection_failed(pick.id, now, "connection");
        m_state.runners.with([&](RunnerTable& table) {
            table.refused(pick.incarnation(), now, refused_hold);
        });
    } catch (const Poco::Exception&) {
        // Too short a time to tell a runner that is silent from a slow path.
    }
    log("not_connected");
    return false;
}

CallConnection::Wait
HedgedSend::wait(CallConnection& first, Micros longest)
{
    using Wait = CallConnection::Wait;
    if (!is_open())
        return first.wait(longest);
    CallConnection& copy = *m_other.send.link.connection;
    const Wait ended = first.wait(longest, &copy);
    if (ended != Wait::Ready && ended != Wait::RivalReady)
        return ended;
    if (first.head_arrived())
        return Wait::Ready;
    if (copy.head_arrived())
        return Wait::RivalReady;
    std::this_thread::sleep_for(std::min(head_check_interval, longest));
    return Wait::TimedOut;
}

RawHead
HedgedSend::take_head()
{
    RawHead head = std::move(*m_head);
    m_head.reset();
    return head;
}

void
HedgedSend::log(const char* result) const
{
    LogLine("call_hedged")
        .field("request", m_call.id)
        .field("service", m_other.pick.service)
        .field("runner", m_first)
        .field("second", m_second)
        .field("result", result)
        .span("waited", m_waited);
}

} // namespace crosslink
