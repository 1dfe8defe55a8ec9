// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "entry_instance.h"

#include <adapters/call_connection.h>
#include <adapters/clock.h>
#include <adapters/random.h>
#include <adapters/single_fields.h>
#include <crosslink/base/error.h>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <thread>

namespace crosslink
{

namespace
{

constexpr Micros poll_interval = std::chrono::milliseconds(20);
constexpr Micros startup_retry = std::chrono::milliseconds(200);

Settings
with_advertise(Settings settings)
{
    if (settings.advertise.empty())
        settings.advertise = settings.peer_bind;
    return settings;
}

Member
self_of(const Settings& settings)
{
    Member self;
    self.id = random_name();
    self.address =
        settings.advertise.empty() ? settings.peer_bind : settings.advertise;
    self.zone = settings.zone;
    return self;
}

} // namespace

EntryInstance::EntryInstance(const Settings& settings)
    : m_state(with_advertise(settings), self_of(settings)),
      m_claim_handler(m_state), m_exports(m_state), m_canceler(m_state),
      m_path(m_state, m_claim_handler, {m_exports, m_watch, m_canceler}),
      m_upstreams(m_state), m_gossip(m_state), m_configuration(m_state),
      m_peers(m_state, m_claim_handler, m_gossip, m_path.gate()),
      m_end_probe(
          m_state.unresolved_failures, m_state.unresolved_failure_added,
          SingleFields::of_http(),
          [this](const ProbeTarget& port, const PortLook& look) {
              if (look.fate == ProcessFate::Ended)
                  m_state.engine_ended(port.address);
          },
          [] {}),
      m_callers(m_state, m_path)
{
    m_state.members.with([this](MemberTable& table) {
        for (const std::string& seed : m_state.settings.seeds)
            table.add_seed(seed);
    });
}

EntryInstance::~EntryInstance() = default;

void
EntryInstance::serve(const std::function<bool()>& stop_asked)
{
    await_configuration(stop_asked);
    while (!stop_asked())
        std::this_thread::sleep_for(poll_interval);
    stop();
}

void
EntryInstance::await_configuration(const std::function<bool()>& stop_asked)
{
    while (!stop_asked()) {
        if (ConfigurationDuties::load_at_startup(m_state)) {
            m_state.ready = true;
            spdlog::info("ready revision={}", m_state.configuration.revision());
            return;
        }
        std::this_thread::sleep_for(startup_retry);
    }
}

void
EntryInstance::stop()
{
    spdlog::info("planned stop begins");
    m_state.stopping = true;
    m_callers.close_after_answers();
    m_gossip.announce_leaving();
    try {
        UpstreamDuties::announce(m_state, true);
    } catch (const Error& failure) {
        spdlog::info("announcing the stop in the platform's list failed: {}",
                     failure.what());
    }
    const TimePoint began = monotonic_now();
    const TimePoint last = began + m_state.settings.stop_grace;
    // Load balancers notice the stop late. Requests that they still send are
    // served, and the port is closed only after a time without a new request.
    const auto quiet = [&] {
        const TimePoint latest = std::max(m_callers.latest_request(), began);
        return m_callers.running() == 0 &&
               monotonic_now() >= latest + m_state.settings.stop_quiet;
    };
    while (!quiet() && monotonic_now() < last)
        std::this_thread::sleep_for(poll_interval);
    m_callers.stop_listening();
    while (m_callers.running() > 0 && monotonic_now() < last)
        std::this_thread::sleep_for(poll_interval);
    spdlog::info("stopped; {} answers were cut off", m_callers.running());
}

} // namespace crosslink
