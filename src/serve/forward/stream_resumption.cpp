// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "stream_resumption.h"

#include "forward_state.h"

#include <adapters/clock.h>
#include <serve/fleet/fleet_rpc.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>
#include <crosslink/forward/forwarded_call.h>
#include <crosslink/forward/queue_limit.h>
#include <crosslink/forward/service_map.h>

#include <algorithm>

namespace crosslink
{

StreamResumption::StreamResumption(ForwardState& state,
                                   const ForwardedCall& call,
                                   const ServiceRoute& route,
                                   const AccountSettings* account)
    : m_state(state), m_call(call), m_route(route),
      m_account(account ? account->name : std::string())
{
}

/// Returns whether the caller has events of a stream that is to go on.
bool
StreamResumption::takes_up() const
{
    return m_route.resumable && m_call.generation &&
           !m_call.last_event.empty() && m_call.last_event != "0";
}

std::optional<StreamOrigin>
StreamResumption::origin()
{
    if (!takes_up())
        return std::nullopt;
    m_known_by = "none";
    auto origin = find();
    if (origin)
        m_began_at = origin->software;
    if (!origin) {
        if (m_several)
            refuse("the software that began the stream is not known");
        return std::nullopt;
    }
    if (!m_state.serves(origin->service, origin->software))
        refuse("the software that began the stream serves no more");
    return origin;
}

/// Returns the origin of the stream, as this instance or another one remembers
/// it; nothing if none does.
std::optional<StreamOrigin>
StreamResumption::find()
{
    const TimePoint now = monotonic_now();
    m_several = std::any_of(m_route.services.begin(), m_route.services.end(),
                            [this](const WeightedService& item) {
                                return m_state.several_software(item.service);
                            });
    if (m_call.resumes.empty())
        return std::nullopt;
    const std::string stream = stream_key(m_account, m_call.resumes);
    auto known = m_state.origins.with([&](const StreamOrigins& origins) {
        return origins.find(stream, now);
    });
    if (known)
        m_known_by = "instance";
    // One that has just started does not know which versions served before.
    const bool knows_history = m_state.since_start() >= StreamOrigins::lifetime;
    if (known || (knows_history && !m_several))
        return known;
    return ask_homes();
}

std::optional<StreamOrigin>
StreamResumption::ask_homes()
{
    const std::string stream = stream_key(m_account, m_call.resumes);
    for (const InstanceInfo& home : m_state.stream_homes(stream)) {
        try {
            const StreamAnswer answer =
                FleetClient(home.address)
                    .find_stream(stream, m_route.services.front().service);
            m_several = m_several || answer.several;
            if (!answer.origin)
                continue;
            m_known_by = "home";
            return answer.origin;
        } catch (const Error& failure) {
            m_unanswered = true;
            LogLine("stream_home_silent")
                .field("request", m_call.id)
                .field("instance", home.name)
                .field("error", failure.what());
        }
    }
    return std::nullopt;
}

void
StreamResumption::refuse(const char* why) const
{
    ++m_state.counters.streams_refused;
    // Another instance may reach a home that this one does not reach.
    throw Error(ErrorCode::StreamNotResumable, why, RunState::NotDispatched,
                m_unanswered ? std::optional(min_retry_delay) : std::nullopt);
}

void
StreamResumption::sent(const std::string& service, const std::string& software,
                       std::uint32_t sends)
{
    if (!m_route.resumable || !m_call.generation || takes_up())
        return;
    const StreamOrigin origin{stream_key(m_account, m_call.id), service,
                              software, sends};
    m_state.origins.with([&origin](StreamOrigins& origins) {
        origins.note(origin, monotonic_now());
    });
    if (m_state.several_software(service))
        m_state.origin_noted.wake();
}

} // namespace crosslink
