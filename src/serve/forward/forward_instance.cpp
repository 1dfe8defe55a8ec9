// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "forward_instance.h"

#include <adapters/call_connection.h>
#include <adapters/clock.h>
#include <serve/log_line.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace crosslink
{

namespace
{

constexpr Micros step = std::chrono::milliseconds(50);
/// The balancer asks every second, and takes an instance out after two
/// questions without success; callers come until then, and longer where too
/// few instances of the zone are left.
constexpr Micros balancer_lag = std::chrono::milliseconds(2600);
/// Then calls that come on kept connections are refused, and the stop ends
/// after this time without one.
constexpr Micros quiet_time = std::chrono::milliseconds(400);
/// The stop ends so long before the platform would kill the process.
constexpr Micros kill_margin = std::chrono::milliseconds(500);

} // namespace

ForwardInstance::ForwardInstance(const ForwardSettings& settings,
                                 ForwardPorts ports)
    : m_state(settings, ports), m_coordinator(m_state),
      m_coordinator_link(m_state, m_coordinator),
      m_kept(m_state, m_coordinator_link), m_path(m_state, m_kept),
      m_news(m_state, m_coordinator), m_desk(m_state, m_coordinator, m_news),
      m_fleet(m_state, m_coordinator, m_desk, m_news), m_feed(m_state, m_news),
      m_exchange(m_state, m_coordinator, m_desk, m_news),
      m_end_probe(
          m_state.breaks, m_state.unresolved_failure_added,
          [this](const ProbeTarget& port, PortLook look) {
              looked(port, std::move(look));
          },
          [this] { m_state.settle_gone_runners(); }),
      m_server(m_state, m_path)
{
}

/// Takes in what a look at the port of a runner found that broke calls off.
void
ForwardInstance::looked(const ProbeTarget& port, PortLook look)
{
    if (look.connection)
        m_state.connections.put_back(port.address, std::move(look.connection),
                                     CallConnections::idle_untold,
                                     monotonic_now());
    else if (look.fate == ProcessFate::Ended)
        m_state.note_runner_exit({port.runner, port.start_ms}, "port");
}

void
ForwardInstance::serve(const std::function<bool()>& stop_asked)
{
    LogLine("started")
        .field("name", m_state.settings.name)
        .field("zone", m_state.settings.zone)
        .field("bind", m_state.settings.bind);
    while (!stop_asked())
        std::this_thread::sleep_for(step);
    stop();
}

void
ForwardInstance::stop()
{
    LogLine("stop_began").field("open", m_server.open_calls());
    m_state.stopping = true;
    m_coordinator.give_up();
    const TimePoint began = monotonic_now();
    const TimePoint last =
        began +
        std::max(m_state.settings.stop_grace() - kill_margin, Micros{0});
    const TimePoint last_taken = std::min(began + balancer_lag, last);
    while (monotonic_now() < last_taken)
        std::this_thread::sleep_for(step);
    // What is taken from here on might not end in time.
    m_state.refusing = true;
    m_server.stop_listening();
    const auto quiet = [&] {
        return m_server.open_calls() == 0 &&
               monotonic_now() >= m_server.latest_call() + quiet_time;
    };
    while (!quiet() && monotonic_now() < last)
        std::this_thread::sleep_for(step);
    // A call that came in since that look is answered as well; a later one is
    // not read, and its caller knows by the close that it did not run.
    m_server.stop_reading();
    while (m_server.open_calls() > 0 && monotonic_now() < last)
        std::this_thread::sleep_for(step);
    LogLine("stopped").field("open", m_server.open_calls());
}

} // namespace crosslink
