// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/weights/weights_plan.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Part of the runners that load at once. More of them load more slowly, and
/// a prompt on new weights is read whole: five in six serve meanwhile
/// (docs/MEASUREMENTS.md has the figures).
constexpr double part_at_once = 1.0 / 6;
/// An order whose runner says neither that it is busy nor that it is done is
/// given again after this time; one that is under way ends by itself.
constexpr Micros unheard_time = std::chrono::milliseconds(700);
/// Longest time that an accepted order holds its place in the plan. Runs end
/// first, and the longest one ends by its deadline.
constexpr Micros longest_order = std::chrono::seconds(6);
/// Pause before a runner that was busy or refused is ordered again.
constexpr Micros again_pause = std::chrono::milliseconds(400);

} // namespace

void
WeightsPlan::named(std::string_view model, std::uint64_t version)
{
    auto& newest = m_newest[std::string(model)];
    newest = std::max(newest, version);
}

std::uint64_t
WeightsPlan::newest(std::string_view model) const
{
    const auto found = m_newest.find(model);
    return found == m_newest.end() ? 0 : found->second;
}

std::vector<WeightsOrder>
WeightsPlan::due(const RunnerTable& runners, TimePoint now)
{
    std::erase_if(m_open, [&](const auto& item) {
        const Micros limit = item.second.accepted ? longest_order : unheard_time;
        return !runners.entries().contains(item.first) ||
               now >= item.second.given + limit;
    });
    std::vector<WeightsOrder> orders;
    for (const auto& [model, version] : m_newest) {
        std::vector<const RunnerEntry*> behind;
        std::size_t all = 0;
        for (const auto& [id, entry] : runners.entries()) {
            const std::uint64_t has = entry.version_of(model);
            if (has == 0 || entry.listed.leaving)
                continue;
            ++all;
            const auto again = m_again_at.find(id);
            const bool waits = again != m_again_at.end() && now < again->second;
            if (has < version && !m_open.contains(id) && !waits)
                behind.push_back(&entry);
        }
        const auto at_once = static_cast<std::size_t>(
            std::max(1.0, part_at_once * static_cast<double>(all) + 0.5));
        // The oldest weights first: they are the first to be forbidden.
        const auto rank = [&model](const RunnerEntry* entry) {
            return std::pair(entry->version_of(model), entry->own.calls + entry->others.calls);
        };
        std::sort(behind.begin(), behind.end(),
                  [&rank](const RunnerEntry* one, const RunnerEntry* other) {
                      return rank(one) < rank(other);
                  });
        for (const RunnerEntry* entry : behind) {
            if (m_open.size() >= at_once)
                break;
            WeightsOrder order{entry->listed.id, entry->listed.address, model,
                               version};
            m_open[order.runner] = {order, now};
            orders.push_back(std::move(order));
        }
    }
    return orders;
}

void
WeightsPlan::ordered(const WeightsOrder& order, OrderOutcome outcome,
                     TimePoint now)
{
    const auto open = m_open.find(order.runner);
    if (open == m_open.end())
        return;
    switch (outcome) {
    case OrderOutcome::Accepted:
        open->second.accepted = true;
        break;
    case OrderOutcome::Unknown:
        break;
    case OrderOutcome::InForce:
    case OrderOutcome::Busy:
    case OrderOutcome::Refused:
        m_open.erase(open);
        m_again_at[order.runner] = now + again_pause;
        break;
    }
}

std::vector<WeightsOrder>
WeightsPlan::open() const
{
    std::vector<WeightsOrder> orders;
    for (const auto& [runner, open] : m_open)
        orders.push_back(open.order);
    return orders;
}

void
WeightsPlan::reported(std::string_view runner, std::uint64_t version, bool busy,
                      TimePoint now)
{
    const auto open = m_open.find(runner);
    if (open == m_open.end())
        return;
    if (busy)
        open->second.accepted = true;
    else if (version >= open->second.order.version)
        m_open.erase(open);
    else if (open->second.accepted && now > open->second.given + unheard_time) {
        // It was accepted and is gone: the runner started anew meanwhile.
        m_open.erase(open);
    }
}

double
WeightsPlan::changed_part(const RunnerTable& runners) const
{
    std::size_t all = 0;
    std::size_t changed = 0;
    for (const auto& [id, entry] : runners.entries()) {
        for (const auto& [model, version] : m_newest) {
            const std::uint64_t has = entry.version_of(model);
            all += has > 0 ? 1 : 0;
            changed += has >= version ? 1 : 0;
        }
    }
    return all == 0 ? 1
                    : static_cast<double>(changed) / static_cast<double>(all);
}

} // namespace crosslink
