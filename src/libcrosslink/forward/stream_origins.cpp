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

} // namespace

std::string
stream_key(std::string_view account, std::string_view attempt_id)
{
    std::string text(account);
    text += '\n';
    text += attempt_id;
    return sha256(text).hex().substr(0, key_length);
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
            m_origins.erase(found);
        m_order.pop_front();
    }
    while (!m_untold.empty() && !m_origins.contains(m_untold.front()))
        m_untold.pop_front();
}

std::optional<StreamOrigin>
StreamOrigins::find(std::string_view stream, TimePoint now) const
{
    const auto found = m_origins.find(stream);
    if (found == m_origins.end() || now >= found->second.sent_at + lifetime)
        return std::nullopt;
    return found->second.origin;
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
        taken.push_back(known.origin);
        taken.back().age =
            std::chrono::duration_cast<Micros>(now - known.sent_at);
    }
    m_untold = std::move(rest);
    return taken;
}

std::vector<StreamOrigin>
StreamOrigins::all(TimePoint now) const
{
    std::vector<StreamOrigin> result;
    for (const auto& [stream, known] : m_origins) {
        if (now >= known.sent_at + lifetime)
            continue;
        result.push_back(known.origin);
        result.back().age =
            std::chrono::duration_cast<Micros>(now - known.sent_at);
    }
    return result;
}

} // namespace crosslink
