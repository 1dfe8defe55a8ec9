// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/duty_placement.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// While no weights are due, the holder may miss one runner, and this fraction
/// of them.
constexpr double tolerated_fraction = 0.1;

bool
misses_many(const DutyPlacement::HolderReach& own)
{
    const auto count = static_cast<double>(own.unreached.size());
    return count > 1 &&
           count > tolerated_fraction * static_cast<double>(own.listed);
}

} // namespace

std::vector<std::string>
DutyPlacement::runners_to_ask(const HolderReach& own)
{
    const bool many = misses_many(own);
    std::vector<const Unreached*> missed;
    for (const Unreached& item : own.unreached) {
        const bool urgent = item.due && item.since >= urgent_after;
        const bool calm = many && item.since >= calm_after;
        if (urgent || calm)
            missed.push_back(&item);
    }
    std::vector<std::string> runners;
    // An instance may miss others without knowing it yet.
    if (!missed.empty())
        runners = own.reached_due;
    runners.resize(std::min(runners.size(), max_asked));
    std::stable_partition(missed.begin(), missed.end(),
                          [](const Unreached* item) { return item->due; });
    missed.resize(std::min(missed.size(), max_asked));
    for (const Unreached* item : missed)
        runners.push_back(item->runner);
    return runners;
}

bool
DutyPlacement::is_better(const HolderReach& own,
                         std::span<const std::string> asked,
                         const PeerReach& peer)
{
    const auto reaches_due = [&peer](const Unreached& item) {
        return item.due && std::find(peer.reached.begin(), peer.reached.end(),
                                     item.runner) != peer.reached.end();
    };
    if (own.reached_due.empty() &&
        std::any_of(own.unreached.begin(), own.unreached.end(), reaches_due))
        return true;
    // For a few seconds nobody orders those that the holder reaches.
    return misses_many(own) && peer.reached.size() == asked.size() &&
           2 * peer.unreached < own.unreached.size();
}

} // namespace crosslink
