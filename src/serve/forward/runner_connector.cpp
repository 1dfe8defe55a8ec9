// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "runner_connector.h"

#include "forward_state.h"
#include "runner_look.h"

#include <adapters/call_connection.h>
#include <adapters/clock.h>
#include <serve/log_line.h>

#include <Poco/Exception.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// A runner that does not accept a connection within this time is skipped.
constexpr Micros connect_time = std::chrono::milliseconds(400);
/// The same for an instance, which is on the same network as this one.
constexpr Micros relay_connect_time = std::chrono::milliseconds(100);
/// Instances that are asked to pass one call on, one after the other.
constexpr int max_relays_tried = 3;

} // namespace

RunnerConnector::RunnerConnector(ForwardState& state,
                                 const std::string& call_id)
    : m_state(state), m_call_id(call_id)
{
}

void
RunnerConnector::begin(const RunnerPick& runner, bool only_fresh)
{
    m_runner = &runner;
    m_only_fresh = only_fresh;
    m_tried_direct = false;
    m_direct_failed = false;
    m_silent = false;
    m_relays_tried = 0;
    m_down = m_state.paths.with([&runner](const RunnerPaths& paths) {
        return paths.is_down(runner.id, monotonic_now());
    });
}

RunnerLink
RunnerConnector::next(Micros time_left)
{
    if (m_runner->is_borrowed())
        return open_lender(time_left);
    RunnerLink link;
    if (!m_tried_direct)
        link = open_direct(time_left);
    while (!link.connection && !m_down && m_relays_tried < max_relays_tried) {
        ++m_relays_tried;
        link = open_relay(time_left);
        if (!link.relay)
            break;
    }
    return link;
}

RunnerLink
RunnerConnector::open_direct(Micros time_left)
{
    m_tried_direct = true;
    const auto path = m_state.path_to(m_runner->place());
    RunnerLink link;
    link.opened_at = monotonic_now();
    // Idle connections die together: a retry opens a new one, as it has no
    // time to find out that it got another dead one.
    if (!m_only_fresh)
        link.connection = m_state.connections.take(
            m_runner->address, link.opened_at, path.proven_since);
    link.reused = link.connection != nullptr;
    if (link.reused || path.relayed)
        return link;
    try {
        link.connection = std::make_unique<CallConnection>(
            m_runner->address, std::min(connect_time, time_left),
            m_state.single_fields);
    } catch (const Poco::Exception& failure) {
        m_direct_failed = true;
        m_silent =
            dynamic_cast<const Poco::TimeoutException*>(&failure) != nullptr;
        LogLine("not_connected")
            .field("request", m_call_id)
            .field("runner", m_runner->id)
            .field("error", failure.displayText());
    }
    return link;
}

/// Returns a connection to an instance that may pass the call on. Without a
/// connection, `relay` is set if there may be another instance.
RunnerLink
RunnerConnector::open_relay(Micros time_left)
{
    RunnerLink link;
    link.relay = m_state.choose_relay(m_runner->place(), m_failed_zones);
    if (link.relay)
        connect_relay(link, time_left);
    return link;
}

/// Returns a connection to the instance that may send the call on its share,
/// once.
RunnerLink
RunnerConnector::open_lender(Micros time_left)
{
    RunnerLink link;
    if (m_relays_tried > 0)
        return link;
    ++m_relays_tried;
    link.relay = m_state.instance(m_runner->share_holder);
    if (link.relay)
        connect_relay(link, time_left);
    if (!link.connection)
        m_state.note_loan_refused(*m_runner, ShareLoans::max_pause);
    return link;
}

/// Connects to the instance of `link`.
void
RunnerConnector::connect_relay(RunnerLink& link, Micros time_left)
{
    link.opened_at = monotonic_now();
    const std::string& address = link.relay->address;
    link.connection = m_state.relay_connections.take(address, link.opened_at);
    link.reused = link.connection != nullptr;
    if (link.reused)
        return;
    try {
        link.connection = std::make_unique<CallConnection>(
            address, std::min(relay_connect_time, time_left),
            m_state.single_fields);
    } catch (const Poco::Exception& failure) {
        m_state.relay_failed(address, {});
        m_failed_zones.insert(link.relay->zone);
        ++m_state.counters.relays_vain;
        LogLine("relay_not_connected")
            .field("request", m_call_id)
            .field("instance", link.relay->name)
            .field("zone", link.relay->zone)
            .field("error", failure.displayText());
    }
}

void
RunnerConnector::answered(const RunnerLink& link)
{
    if (!link.relay) {
        if (!link.reused)
            m_state.note_runner_answered(m_runner->place(), link.opened_at);
        return;
    }
    m_state.relay_helped(link.relay->address);
    if (m_direct_failed)
        m_state.note_path_cut(m_runner->place());
}

void
RunnerConnector::not_relayed(const RunnerLink& link, RelayFailure failure,
                             Micros free_in)
{
    if (m_runner->is_borrowed()) {
        m_state.note_loan_refused(*m_runner, failure == RelayFailure::NoShare
                                                 ? free_in
                                                 : ShareLoans::max_pause);
        if (failure == RelayFailure::NoShare)
            return;
    }
    m_failed_zones.insert(link.relay->zone);
    const std::string& address = link.relay->address;
    switch (failure) {
    case RelayFailure::Unreachable:
        m_down = true;
        m_state.paths.with([this](RunnerPaths& paths) {
            paths.down(m_runner->id, monotonic_now());
        });
        break;
    case RelayFailure::RunnerCut:
        m_state.relay_failed(address, m_runner->place());
        break;
    case RelayFailure::ServiceCut:
        m_state.relay_failed(address, {{}, m_runner->service, {}});
        break;
    case RelayFailure::NoShare: // Not asked for.
    case RelayFailure::NoPath:
    case RelayFailure::Busy:
    case RelayFailure::Broken:
        m_state.relay_failed(address, {});
        break;
    }
}

bool
RunnerConnector::runner_failed()
{
    if (m_down)
        return true;
    return m_direct_failed && (m_state.instance_count() == 1 ||
                               reaches_others(m_state, m_runner->place()));
}

} // namespace crosslink
