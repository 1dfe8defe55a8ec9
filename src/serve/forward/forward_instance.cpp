// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "forward_instance.h"

#include "runner_look.h"

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

constexpr Micros poll_interval = std::chrono::milliseconds(50);
/// Time during which a stopping instance still serves calls. The load balancer
/// checks every second and removes an instance after two failed checks. Callers
/// arrive until then, and longer if too few instances of the zone are left.
constexpr Micros balancer_lag = std::chrono::milliseconds(2600);
/// After that, calls on persistent connections are refused, and the stop ends
/// when none has arrived for this time.
constexpr Micros quiet_time = std::chrono::milliseconds(400);
/// The stop ends this long before the platform would kill the process.
constexpr Micros kill_margin = std::chrono::milliseconds(500);

} // namespace

ForwardInstance::ForwardInstance(const ForwardSettings& settings,
                                 ForwardPorts ports)
    : m_state(settings, ports), m_coordinator(m_state),
      m_coordinator_link(m_state, m_coordinator),
      m_kept(m_state, m_coordinator_link), m_path(m_state, m_kept),
      m_changes(m_state, m_coordinator),
      m_exchange_handler(m_state, m_coordinator, m_changes), m_relay(m_state),
      m_fleet(m_state, m_coordinator, m_exchange_handler, m_changes, m_relay),
      m_feed(m_state, m_changes),
      m_exchange(m_state, m_coordinator, m_exchange_handler, m_changes),
      m_end_probe(
          m_state.unresolved_failures, m_state.unresolved_failure_added,
          m_state.single_fields,
          [this](const ProbeTarget& port, PortLook look) {
              port_checked(port, std::move(look));
          },
          [this] { m_state.note_gone_runners(); }),
      m_path_probe(m_state), m_origins(m_state), m_stream_record(m_state),
      m_server(m_state, m_path)
{
}

/// Records the result of a check of the port of a runner that broke calls.
void
ForwardInstance::port_checked(const ProbeTarget& port, PortLook look)
{
    const auto listed = m_state.listed_runner(port.runner);
    const RunnerPlace place =
        listed ? listed->place() : RunnerPlace{port.runner, {}, {}};
    const RunnerLook confirmed =
        confirm_look(m_state, place, port.address, std::move(look));
    if (confirmed.fate == ProcessFate::Ended)
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
        std::this_thread::sleep_for(poll_interval);
    stop();
}

/// Returns the number of calls in progress, of callers and for other instances.
std::uint64_t
ForwardInstance::open_calls() const
{
    return m_server.open_calls() + m_state.counters.relays_open;
}

void
ForwardInstance::stop()
{
    LogLine("stop_began").field("open", open_calls());
    m_state.stopping = true;
    m_server.close_after_answers();
    m_fleet.close_after_answers();
    m_coordinator.resign();
    const TimePoint began = monotonic_now();
    const TimePoint last =
        began +
        std::max(m_state.settings.stop_grace() - kill_margin, Micros{0});
    const TimePoint last_taken = std::min(began + balancer_lag, last);
    while (monotonic_now() < last_taken)
        std::this_thread::sleep_for(poll_interval);
    // Calls accepted from here on might not end in time.
    m_state.refusing = true;
    m_server.stop_listening();
    const auto quiet = [&] {
        return open_calls() == 0 &&
               monotonic_now() >= m_server.latest_call() + quiet_time;
    };
    while (!quiet() && monotonic_now() < last)
        std::this_thread::sleep_for(poll_interval);
    // A call that arrived since the last check is answered as well. A later
    // one is not read: its caller knows from the closed connection that it did
    // not run.
    m_server.stop_reading();
    while (open_calls() > 0 && monotonic_now() < last)
        std::this_thread::sleep_for(poll_interval);
    LogLine("stopped").field("open", open_calls());
}

} // namespace crosslink
