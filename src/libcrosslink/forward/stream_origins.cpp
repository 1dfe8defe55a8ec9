// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/stream_origins.h>

#include <crosslink/base/digest.h>
#include <crosslink/membership/rendezvous.h>

#include <algorithm>
#include <utility>

namespace crosslink
{

namespace
{

/// Characters of a stream's key: enough that no two streams of the last seconds
/// have the same one.
constexpr std::size_t key_length = 32;
/// Least time between two records of an instance's streams, and between two
/// readings of them.
constexpr Micros min_record_pause = std::chrono::milliseconds(100);
constexpr Micros min_reading_pause = std::chrono::milliseconds(10);
/// Part of the platform's rate that the records of streams may take.
constexpr double record_share = 0.1;
/// Records of instances that the platform tells in one answer.
constexpr std::size_t records_in_answer = 500;

/// Returns the time in which `calls` take up their share of a rate.
Micros
time_of_calls(std::size_t calls, double per_second)
{
    if (per_second <= 0)
        return Micros{0};
    return from_seconds(static_cast<double>(calls) /
                        (record_share * per_second));
}

} // namespace

std::string
stream_key(std::string_view account, std::string_view attempt_id)
{
    std::string text(account);
    text += '\n';
    text += attempt_id;
    return sha256(text).hex().substr(0, key_length);
}

Micros
stream_record_pause(std::size_t instances, double writes_per_second)
{
    return std::max(min_record_pause,
                    time_of_calls(instances, writes_per_second));
}

Micros
stream_reading_pause(std::size_t instances, double reads_per_second)
{
    const std::size_t answers = 1 + instances / records_in_answer;
    return std::max(min_reading_pause,
                    time_of_calls(instances * answers, reads_per_second));
}

std::vector<InstanceInfo>
stream_homes(const std::map<std::string, InstanceInfo, std::less<>>& instances,
             std::string_view stream)
{
    struct Ranked {
        bool other_of_zone = false; ///< Another one of its zone comes before.
        std::uint64_t weight = 0;
        const InstanceInfo* instance = nullptr;
    };
    std::vector<Ranked> ranked;
    std::map<std::string_view, std::size_t> first_of_zone;
    for (const auto& [name, instance] : instances) {
        ranked.push_back({true, rendezvous_weight(stream, name), &instance});
        const auto [place, is_new] =
            first_of_zone.emplace(instance.zone, ranked.size() - 1);
        if (!is_new && ranked[place->second].weight < ranked.back().weight)
            place->second = ranked.size() - 1;
    }
    for (const auto& [zone, place] : first_of_zone)
        ranked[place].other_of_zone = false;
    const std::size_t count = std::min(ranked.size(), StreamOrigins::homes);
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), [](const Ranked& one, const Ranked& other) {
                          return std::pair(one.other_of_zone, other.weight) <
                                 std::pair(other.other_of_zone, one.weight);
                      });
    std::vector<InstanceInfo> homes;
    for (std::size_t i = 0; i < count; ++i)
        homes.push_back(*ranked[i].instance);
    return homes;
}

void
StreamOrigins::note(const StreamOrigin& origin, TimePoint now)
{
    if (put(origin, now))
        m_untold.push_back(origin.stream);
}

void
StreamOrigins::merge(const StreamOrigin& origin, TimePoint now)
{
    put(origin, now);
}

void
StreamOrigins::began(StreamOrigin origin, TimePoint now)
{
    origin.sends = StreamOrigin::final_sends;
    const auto known = m_origins.find(origin.stream);
    const bool is_told = known != m_origins.end() &&
                         known->second.origin.service == origin.service &&
                         known->second.origin.software == origin.software;
    if (put(origin, now) && !is_told)
        m_untold.push_back(origin.stream);
    m_open.insert(origin.stream);
    m_unrecorded.insert(origin.stream);
}

void
StreamOrigins::ended(const std::string& stream)
{
    m_open.erase(stream);
    m_unrecorded.erase(stream);
}

/// Returns whether the origin is newer than what was known.
bool
StreamOrigins::put(const StreamOrigin& origin, TimePoint now)
{
    expire(now);
    const auto [found, is_new] = m_origins.try_emplace(origin.stream);
    if (!is_new && origin.sends <= found->second.origin.sends)
        return false;
    const TimePoint sent_at = now - origin.age;
    found->second = {origin, sent_at};
    m_order.push_back({origin.stream, sent_at});
    return true;
}

void
StreamOrigins::expire(TimePoint now)
{
    while (!m_order.empty()) {
        const Place& oldest = m_order.front();
        const auto found = m_origins.find(oldest.stream);
        const bool is_outdated =
            found == m_origins.end() || found->second.sent_at != oldest.sent_at;
        const bool is_due =
            m_origins.size() >= max_origins || now >= oldest.sent_at + lifetime;
        if (!is_outdated && !is_due)
            break;
        if (!is_outdated)
            drop(oldest.stream);
        m_order.pop_front();
    }
    while (!m_untold.empty() && !m_origins.contains(m_untold.front()))
        m_untold.pop_front();
}

/// Returns an origin with its age at `now`.
StreamOrigin
StreamOrigins::as_of(const Known& known, TimePoint now)
{
    StreamOrigin origin = known.origin;
    origin.age = std::chrono::duration_cast<Micros>(now - known.sent_at);
    return origin;
}

void
StreamOrigins::drop(const std::string& stream)
{
    m_origins.erase(stream);
    ended(stream);
}

std::optional<StreamOrigin>
StreamOrigins::find(std::string_view stream, TimePoint now) const
{
    const auto found = m_origins.find(stream);
    if (found == m_origins.end() || now >= found->second.sent_at + lifetime)
        return std::nullopt;
    return as_of(found->second, now);
}

std::vector<StreamOrigin>
StreamOrigins::take_untold(const std::function<bool(std::string_view)>& wanted,
                           std::size_t most, TimePoint now)
{
    expire(now);
    std::vector<StreamOrigin> taken;
    std::deque<std::string> rest;
    for (std::string& stream : m_untold) {
        const auto found = m_origins.find(stream);
        if (found == m_origins.end())
            continue;
        const Known& known = found->second;
        if (taken.size() >= most || !wanted(known.origin.service)) {
            rest.push_back(std::move(stream));
            continue;
        }
        taken.push_back(as_of(known, now));
    }
    m_untold = std::move(rest);
    return taken;
}

std::optional<std::vector<StreamOrigin>>
StreamOrigins::to_record(const std::function<bool(std::string_view)>& wanted,
                         TimePoint now)
{
    expire(now);
    const auto is_wanted = [&](const std::string& stream) {
        return wanted(m_origins.at(stream).origin.service);
    };
    if (std::none_of(m_unrecorded.begin(), m_unrecorded.end(), is_wanted))
        return std::nullopt;
    std::vector<StreamOrigin> result;
    for (const std::string& stream : m_open)
        if (result.size() < max_recorded && is_wanted(stream))
            result.push_back(m_origins.at(stream).origin);
    return result;
}

void
StreamOrigins::recorded(std::span<const StreamOrigin> origins)
{
    for (const StreamOrigin& origin : origins)
        m_unrecorded.erase(origin.stream);
}

std::vector<StreamOrigin>
StreamOrigins::all(TimePoint now) const
{
    std::vector<StreamOrigin> result;
    for (const auto& [stream, known] : m_origins) {
        if (now >= known.sent_at + lifetime)
            continue;
        result.push_back(as_of(known, now));
    }
    return result;
}

} // namespace crosslink
