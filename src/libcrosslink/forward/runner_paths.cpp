// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_paths.h>

#include <algorithm>
#include <utility>

namespace crosslink
{

std::array<RunnerGroup, 4>
RunnerPaths::groups_of(const RunnerPlace& place)
{
    const std::string service(place.service);
    const std::string zone(place.zone);
    return {RunnerGroup{}, {service, {}}, {{}, zone}, {service, zone}};
}

RunnerPaths::Path
RunnerPaths::path_to(const RunnerPlace& place) const
{
    Path path;
    for (const auto& [group, known] : m_groups)
        if (known.cut_since && group.contains(place))
            path = {true, std::max(path.proven_since, *known.cut_since)};
    const auto found = m_cut.find(place.runner);
    if (found != m_cut.end())
        path = {true, std::max(path.proven_since, found->second.since)};
    return path;
}

std::map<std::string, TimePoint, std::less<>>
RunnerPaths::cut_runners() const
{
    std::map<std::string, TimePoint, std::less<>> runners;
    for (const auto& [runner, path] : m_cut)
        runners.emplace(runner, path.since);
    return runners;
}

std::optional<TimePoint>
RunnerPaths::cut_since(const RunnerGroup& group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? std::nullopt : found->second.cut_since;
}

Micros
RunnerPaths::all_cut_for(TimePoint now) const
{
    const auto since = cut_since({});
    if (!since)
        return Micros{0};
    return std::chrono::duration_cast<Micros>(now - *since);
}

bool
RunnerPaths::cut(const RunnerPlace& place, TimePoint now)
{
    m_suspects.erase(std::string(place.runner));
    const bool known = m_cut.contains(place.runner);
    if (!known && m_cut.size() >= max_cut_runners)
        return false;
    if (!known)
        m_cut.emplace(place.runner, CutPath{now, std::string(place.service),
                                            std::string(place.zone)});
    for (const RunnerGroup& group : groups_of(place)) {
        GroupPath& path = m_groups[group];
        if (!path.cut_since && shows_cut(group, path, now))
            path.cut_since = now;
    }
    return !known;
}

/// Returns whether enough paths to runners of a group are cut for the others to
/// be presumed cut.
bool
RunnerPaths::shows_cut(const RunnerGroup& group, const GroupPath& path,
                       TimePoint now) const
{
    const TimePoint since =
        std::max(now - cut_window, path.proven_at.value_or(TimePoint::min()));
    const auto count =
        std::count_if(m_cut.begin(), m_cut.end(), [&](const auto& item) {
            return item.second.since > since &&
                   group.contains(item.second.place(item.first));
        });
    return static_cast<std::size_t>(count) >= min_cut_runners;
}

bool
RunnerPaths::answered(const RunnerPlace& place, TimePoint opened_at)
{
    for (const RunnerGroup& group : groups_of(place)) {
        GroupPath& path = m_groups[group];
        path.proven_at =
            std::max(path.proven_at.value_or(opened_at), opened_at);
        if (path.cut_since && *path.cut_since <= opened_at)
            path.cut_since.reset();
    }
    heard(place, opened_at);
    m_suspects.erase(std::string(place.runner));
    const auto found = m_cut.find(place.runner);
    if (found == m_cut.end() || opened_at < found->second.since)
        return false;
    m_cut.erase(found);
    return true;
}

void
RunnerPaths::heard(const RunnerPlace& place, TimePoint now)
{
    for (const RunnerGroup& group : heard_groups(place)) {
        auto& heard_at = m_groups[group].heard_at;
        heard_at = std::max(heard_at.value_or(now), now);
    }
}

/// Returns the groups whose silence counts: the service, and the part of it in
/// one zone.
std::array<RunnerGroup, 2>
RunnerPaths::heard_groups(const RunnerPlace& place)
{
    const std::string service(place.service);
    return {RunnerGroup{service, {}}, {service, std::string(place.zone)}};
}

bool
RunnerPaths::heard_since(const RunnerGroup& group, TimePoint since) const
{
    const auto found = m_groups.find(group);
    return found != m_groups.end() && found->second.heard_at &&
           *found->second.heard_at > since;
}

void
RunnerPaths::down(std::string_view runner, TimePoint now)
{
    std::erase_if(m_down,
                  [now](const auto& item) { return item.second <= now; });
    m_down.insert_or_assign(std::string(runner), now + down_time);
}

bool
RunnerPaths::is_down(std::string_view runner, TimePoint now) const
{
    const auto found = m_down.find(runner);
    return found != m_down.end() && now < found->second;
}

bool
RunnerPaths::suspect(const RunnerPlace& place, TimePoint now)
{
    const auto [service, in_zone] = heard_groups(place);
    const bool heard = heard_since(service, now - service_silence) &&
                       heard_since(in_zone, now - zone_silence);
    if (heard || m_cut.contains(place.runner) ||
        m_suspects.size() >= max_cut_runners)
        return false;
    m_suspects.emplace(place.runner);
    return true;
}

std::optional<RunnerPaths::Probe>
RunnerPaths::take_probe(TimePoint now)
{
    if (now < m_next_probe)
        return std::nullopt;
    if (!m_suspects.empty())
        return Probe{m_suspects.extract(m_suspects.begin()).value(), {}, true};
    // The paths to others of a group may be open: these are tried every other
    // time.
    m_probes_group = !m_probes_group;
    const auto group = next_cut_group();
    if (group && (m_probes_group || m_cut.empty())) {
        m_last_group = *group;
        return Probe{{}, *group, false};
    }
    if (m_cut.empty())
        return std::nullopt;
    return Probe{next_cut_runner(), {}, false};
}

/// Returns the group that is presumed cut and to be probed next.
std::optional<RunnerGroup>
RunnerPaths::next_cut_group()
{
    std::optional<RunnerGroup> first;
    for (const auto& [group, path] : m_groups) {
        if (!path.cut_since)
            continue;
        if (m_last_group < group)
            return group;
        if (!first)
            first = group;
    }
    return first;
}

/// Returns the cut runner to be probed next; there must be one.
std::string
RunnerPaths::next_cut_runner()
{
    auto next = m_cut.upper_bound(m_last_probe);
    if (next == m_cut.end())
        next = m_cut.begin();
    m_last_probe = next->first;
    return m_last_probe;
}

std::optional<TimePoint>
RunnerPaths::next_probe() const
{
    if (m_suspects.empty() && m_cut.empty())
        return std::nullopt;
    return m_next_probe;
}

void
RunnerPaths::forget(std::string_view runner)
{
    const auto found = m_cut.find(runner);
    if (found != m_cut.end())
        m_cut.erase(found);
    m_suspects.erase(std::string(runner));
    drop_empty_groups();
}

/// Ends the presumption for groups of which no cut runner is left.
void
RunnerPaths::drop_empty_groups()
{
    for (auto& [group, path] : m_groups)
        if (!has_cut_runner(group))
            path.cut_since.reset();
}

bool
RunnerPaths::has_cut_runner(const RunnerGroup& group) const
{
    return std::any_of(m_cut.begin(), m_cut.end(), [&group](const auto& item) {
        return group.contains(item.second.place(item.first));
    });
}

} // namespace crosslink
