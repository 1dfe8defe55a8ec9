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

namespace
{

/// Longest wait for what the platform has at this moment. An instance that asks
/// the platform itself waits 1.8 s for an answer, and pauses before.
constexpr Micros confirmation_time = std::chrono::milliseconds(2500);

} // namespace

StreamResumption::StreamResumption(ForwardState& state,
                                   const ForwardedCall& call,
                                   const ServiceRoute& route,
                                   const AccountSettings* account,
                                   TimePoint deadline)
    : m_state(state), m_call(call), m_route(route),
      m_account(account ? account->name : std::string()), m_deadline(deadline),
      m_asked(monotonic_now())
{
}

bool
StreamResumption::may_be_taken_up() const
{
    return m_route.resumable && m_call.generation;
}

/// Returns whether the caller has events of a stream that is to go on.
bool
StreamResumption::takes_up() const
{
    return may_be_taken_up() && !m_call.last_event.empty() &&
           m_call.last_event != "0";
}

std::optional<StreamOrigin>
StreamResumption::origin()
{
    if (!takes_up())
        return std::nullopt;
    m_known_by = "none";
    auto origin = find();
    if (!origin && !m_several && !m_unread) {
        if (is_only_one_shown())
            return only_origin();
        // Homes may be back that were silent before this instance waited.
        if (m_several)
            origin = find();
    }
    if (!origin)
        refuse("the software that began the stream is not known");
    m_began_at = origin->software;
    if (!m_route.picked_services().contains(origin->service))
        refuse("the service that began the stream is not the route's any more");
    if (!is_served(*origin))
        refuse("the software that began the stream serves no more");
    // It is remembered for as long as if it began now.
    origin->age = Micros{0};
    note_began(*origin);
    return origin;
}

/// Returns whether it is shown that no other software than the only one that is
/// known can have begun the stream. Waits a moment for the platform's changes
/// where the homes don't show it.
bool
StreamResumption::is_only_one_shown()
{
    if (m_evidence.homes_show_it())
        return true;
    m_unanswered = true;
    const bool shown = knows_changes_until(m_asked, [this] {
        observe_software();
        return m_several;
    });
    observe_software();
    return shown && !m_several;
}

/// Returns whether a runner is listed with the software that began the stream.
/// Waits a moment for the platform's changes where this instance may have
/// missed that it came: it was listed before it began the stream.
bool
StreamResumption::is_served(const StreamOrigin& origin)
{
    const auto is_listed = [&] {
        return m_state.serves(origin.service, origin.software);
    };
    if (is_listed())
        return true;
    const TimePoint sent_at = monotonic_now() - origin.age;
    if (!knows_changes_until(std::min(sent_at, m_asked), is_listed))
        m_unanswered = true;
    return is_listed();
}

/// Returns whether the platform's changes that were made until `at` are known
/// here. Waits a moment for them, or for those that make `is_enough` true,
/// where this instance reaches the platform.
bool
StreamResumption::knows_changes_until(TimePoint at,
                                      const std::function<bool()>& is_enough)
{
    TimePoint latest = monotonic_now();
    if (m_state.reaches_platform())
        latest = std::min(m_deadline, latest + confirmation_time);
    return m_state.knows_changes_until(at, latest, is_enough);
}

/// Returns the only software that the stream can have begun at, whether or not
/// it serves now: another one may come while the call waits for a runner.
StreamOrigin
StreamResumption::only_origin()
{
    const std::string service = *m_route.picked_services().begin();
    const auto software = m_state.only_software(service);
    // What was known before may have changed since.
    observe_software();
    if (!software || m_several)
        refuse("the software that began the stream is not known");
    return StreamOrigin{m_stream, service, *software};
}

/// Returns the origin of the stream, as this instance, another one or the
/// platform remembers it; nothing if none does.
std::optional<StreamOrigin>
StreamResumption::find()
{
    observe_software();
    if (m_call.resumes.empty()) {
        // Nobody can know the stream, but whether several versions served.
        m_stream = stream_key(m_account, m_call.id);
        return ask_homes();
    }
    m_stream = stream_key(m_account, m_call.resumes);
    auto known = find_here("instance");
    // One that has just started does not know which versions served before, and
    // others may have started in the same moment.
    const bool has_history = m_state.since_start() >= StreamOrigins::lifetime;
    if (!known && !has_history)
        known = find_recorded();
    // Another one may have heard of a second version before this one.
    if (!known)
        known = ask_homes();
    if (!known && has_history && m_several)
        known = find_recorded();
    return known;
}

void
StreamResumption::observe_software()
{
    m_several = m_several ||
                std::any_of(m_route.services.begin(), m_route.services.end(),
                            [this](const WeightedService& item) {
                                return m_state.is_mixed(item.service);
                            });
}

/// Returns the origin as this instance remembers it now; `source` is where it
/// has it from.
std::optional<StreamOrigin>
StreamResumption::find_here(std::string_view source)
{
    auto known = m_state.origins.with([this](const StreamOrigins& origins) {
        return origins.find(m_stream, monotonic_now());
    });
    if (known)
        m_known_by = source;
    return known;
}

/// Returns the origin as the platform has recorded it.
std::optional<StreamOrigin>
StreamResumption::find_recorded()
{
    try {
        m_state.read_stream_records(monotonic_now(), m_deadline);
    } catch (const Error& failure) {
        m_unanswered = true;
        m_unread = true;
        LogLine("stream_records_not_read")
            .field("request", m_call.id)
            .field("error", failure.what());
    }
    observe_software();
    auto known = m_state.recorded_stream(m_stream);
    if (known)
        m_known_by = "record";
    return known;
}

std::optional<StreamOrigin>
StreamResumption::ask_homes()
{
    // Where there are several, that is known here already.
    const std::string service = *m_route.picked_services().begin();
    for (const InstanceInfo& home : m_state.stream_homes(m_stream)) {
        try {
            const StreamAnswer answer =
                FleetClient(home.address).find_stream(m_stream, service);
            if (answer.origin) {
                m_known_by = "home";
                return answer.origin;
            }
            note_answer(answer);
        } catch (const Error& failure) {
            m_unanswered = true;
            m_evidence.home_silent();
            LogLine("stream_home_silent")
                .field("request", m_call.id)
                .field("instance", home.name)
                .field("error", failure.what());
        }
    }
    return std::nullopt;
}

/// Records what a home said that does not know the stream. Where it lists
/// another version, one of the two missed that it took the other's place.
void
StreamResumption::note_answer(const StreamAnswer& answer)
{
    const std::string service = *m_route.picked_services().begin();
    m_several = m_several || answer.several;
    if (answer.software.empty()) {
        m_evidence.home_silent();
        return;
    }
    m_evidence.home_answered();
    m_several = m_several || answer.software != m_state.only_software(service);
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
    if (!may_be_taken_up() || takes_up())
        return;
    m_stream = stream_key(m_account, m_call.id);
    const StreamOrigin origin{m_stream, service, software, sends};
    m_state.origins.with([&origin](StreamOrigins& origins) {
        origins.note(origin, monotonic_now());
    });
    if (m_state.tells_origins(service))
        m_state.origin_noted.wake();
}

void
StreamResumption::began(const std::string& service, const std::string& software)
{
    if (may_be_taken_up() && !takes_up())
        note_began({m_stream, service, software});
}

/// Records that the caller may take the stream up.
void
StreamResumption::note_began(const StreamOrigin& origin)
{
    m_state.origins.with([&origin](StreamOrigins& origins) {
        origins.began(origin, monotonic_now());
    });
    if (m_state.tells_origins(origin.service))
        m_state.origin_noted.wake();
    if (m_state.is_mixed(origin.service))
        m_state.stream_began.wake();
}

void
StreamResumption::ended()
{
    if (m_stream.empty())
        return;
    m_state.origins.with(
        [this](StreamOrigins& origins) { origins.ended(m_stream); });
}

} // namespace crosslink
