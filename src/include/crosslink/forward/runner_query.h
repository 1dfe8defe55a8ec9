// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/runner_entry.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace crosslink
{

/// The zone from which most of a prompt's kept parts are fetched.
struct KeptNear {
    std::string zone;
    Micros fetch_time{0};
    std::uint64_t fetched_tokens = 0; ///< Of all its parts.
};

/// How runners of a service that warm up are spared.
struct WarmUpTerms {
    Micros time{0};   ///< From a start.
    double limit = 0; ///< Calls of all instances in a second; 0 for none.
};

/// What the choice of a runner depends on.
struct RunnerQuery {
    std::string_view service;
    std::string_view zone; ///< Of this instance.
    /// Calls with the same text share KV and go to the same runner where it
    /// is not dearer than others; empty for none.
    std::string_view affinity;
    /// Where the kept parts of the prompt lie, and the time that fetching
    /// them takes within that zone; empty and 0 where none are.
    KeptNear kept;
    std::uint64_t tokens = 0;   ///< Of the prompt, as many as will be read.
    std::uint64_t resident = 0; ///< KV memory that it takes, in tokens.
    /// KV memory of one runner of the service, in tokens; 0 where not known.
    std::uint64_t memory_tokens = 0;
    std::string_view model;           ///< Empty for plain services.
    std::uint64_t newest_version = 0; ///< Named weights; 0 where none are.
    /// Runners with older weights are not chosen.
    std::uint64_t least_version = 0;
    const std::set<std::string>* avoid = nullptr; ///< Runners tried already.
    /// Zones whose runners may have the call; null for all.
    const std::set<std::string, std::less<>>* zones_allowed = nullptr;
    std::string_view instance; ///< Name of this one.
    WarmUpTerms warm_up;
    /// The call's account had more than its part of what limited runners take.
    bool account_ahead = false;
    /// Runners that may be ending come after the others. Not where the call
    /// itself may end them: sparing it such runners would cost sound ones.
    bool spares_ending = true;
    std::size_t instances = 1; ///< Of the fleet.
    std::uint64_t random = 0;  ///< Random bits.
    TimePoint now{};
};

/// When a runner takes a call that none takes now.
struct NextAvailability {
    /// As far as is known; nothing where none does before the fleet changes.
    std::optional<TimePoint> at;
    std::string runner; ///< That takes it then; empty for none.
    std::uint64_t start_ms = 0;
    bool limited = false; ///< One would, but for the limit that it named.
    /// When one takes calls that asked for a backoff until then; nothing where
    /// none does. No call waits for it: all that came meanwhile would come at
    /// once.
    std::optional<TimePoint> backoff_ends_at;

    RunnerIncarnation incarnation() const { return {runner, start_ms}; }
    /// Returns the first time at which any runner takes a call.
    std::optional<TimePoint> earliest() const
    {
        if (!at || !backoff_ends_at)
            return at ? at : backoff_ends_at;
        return std::min(*at, *backoff_ends_at);
    }
};

/// The runner that was chosen.
struct RunnerPick {
    std::string id;
    std::uint64_t start_ms = 0; ///< Its incarnation; see ListedRunner.
    std::string address;
    std::string zone;
    std::uint64_t version = 0; ///< Of the model, as believed.
    Micros wait{0};            ///< Until it takes up the call, as expected.
    bool limited = false;      ///< It named a limit.
    std::uint64_t limit_change = 0; ///< See AdvertisedLimit.

    RunnerIncarnation incarnation() const { return {id, start_ms}; }
};

} // namespace crosslink
