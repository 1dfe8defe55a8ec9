// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_paths.h>

#include <algorithm>

namespace crosslink
{

RunnerPaths::Path
RunnerPaths::path_to(std::string_view runner) const
{
    Path path;
    if (m_all_cut_since)
        path = {true, *m_all_cut_since};
    const auto found = m_cut.find(runner);
    if (found != m_cut.end())
        path = {true, std::max(path.proven_since, found->second)};
    return path;
}

Micros
RunnerPaths::all_cut_for(TimePoint now) const
{
    if (!m_all_cut_since)
        return Micros{0};
    return std::chrono::duration_cast<Micros>(now - *m_all_cut_since);
}

bool
RunnerPaths::cut(std::string_view runner, TimePoint now)
{
    m_suspects.erase(std::string(runner));
    const bool known = m_cut.contains(runner);
    if (!known && m_cut.size() >= max_cut_runners)
        return false;
    if (!known)
        m_cut.emplace(runner, now);
    const TimePoint since =
        std::max(now - cut_window, m_connected_at.value_or(TimePoint::min()));
    const auto count =
        std::count_if(m_cut.begin(), m_cut.end(), [since](const auto& item) {
            return item.second > since;
        });
    if (!m_all_cut_since && static_cast<std::size_t>(count) >= min_cut_runners)
        m_all_cut_since = now;
    return !known;
}

bool
RunnerPaths::connected(std::string_view runner, TimePoint now)
{
    m_connected_at = now;
    m_heard_at = now;
    m_all_cut_since.reset();
    m_suspects.erase(std::string(runner));
    const auto found = m_cut.find(runner);
    if (found == m_cut.end())
        return false;
    m_cut.erase(found);
    return true;
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
RunnerPaths::suspect(std::string_view runner, TimePoint now)
{
    const bool heard = m_heard_at && now < *m_heard_at + probe_pause;
    if (heard || m_cut.contains(runner) || m_suspects.size() >= max_cut_runners)
        return false;
    m_suspects.emplace(runner);
    return true;
}

std::optional<std::string>
RunnerPaths::take_probe(TimePoint now)
{
    if (now < m_next_probe)
        return std::nullopt;
    if (!m_suspects.empty())
        return m_suspects.extract(m_suspects.begin()).value();
    if (m_cut.empty())
        return std::nullopt;
    // The path to other runners may be open: it is tried every other time.
    m_probe_any = m_all_cut_since && !m_probe_any;
    if (m_probe_any)
        return std::string();
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
    if (m_cut.empty())
        m_all_cut_since.reset();
}

} // namespace crosslink
