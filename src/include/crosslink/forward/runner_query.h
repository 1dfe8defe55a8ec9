// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/prefill_rate.h>
#include <crosslink/forward/runner_entry.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
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

/// A shared part of a prompt that a runner may have in its own memory.
struct SharedSegment {
    std::string_view id; ///< Of the part, and of all that its KV depends on.
    /// Time for which a runner without it prefills or fetches it.
    Micros saved{0};
    double demand =
        0; ///< Its part of the prefilling demand; see SegmentDemand.
};

/// How runners of a service are protected while they warm up.
struct WarmUpTerms {
    Micros time{0};   ///< After a start.
    double limit = 0; ///< Calls a second of all instances; 0 for no limit.
};

/// What the choice of a runner depends on.
struct RunnerQuery {
    std::string_view service;
    std::string_view zone; ///< Of this instance.
    /// Calls with the same text share KV and go to the same runner unless it is
    /// more expensive than others; empty for none.
    std::string_view affinity;
    /// The prompt's shared segments, in their order; see SegmentHolders. If
    /// empty, `affinity` alone counts.
    std::span<const SharedSegment> segments{};
    /// Where the kept parts of the prompt are stored, and the time to fetch
    /// them within that zone; empty and 0 if there are none.
    KeptNear kept;
    std::uint64_t tokens = 0; ///< Tokens of the prompt that must be prefilled.
    std::uint64_t resident = 0; ///< KV memory that the call holds, in tokens.
    /// KV memory of one runner of the service, in tokens; 0 if unknown.
    std::uint64_t memory_tokens = 0;
    std::string_view model;           ///< Empty for plain services.
    std::uint64_t newest_version = 0; ///< Named weights; 0 if there are none.
    /// Runners with older weights are not chosen.
    std::uint64_t least_version = 0;
    const std::set<std::string>* avoid = nullptr; ///< Runners already tried.
    /// Software version of the runners that may serve the call; null for all.
    const std::string* software = nullptr;
    /// Zones whose runners may serve the call; null for all.
    const std::set<std::string, std::less<>>* zones_allowed = nullptr;
    std::string_view instance; ///< Name of this one.
    WarmUpTerms warm_up;
    /// The call's account is above its fair share of the limited runners.
    bool account_above_share = false;
    /// Whether runners whose process may be ending are ranked after the others.
    /// False if the call itself may end runners: avoiding those would cost
    /// healthy ones.
    bool avoids_exiting = true;
    std::size_t instances = 1; ///< Size of the fleet.
    /// Least number of instances that each runner is home to; see
    /// HomeRunners. 0 if all instances use all runners alike.
    std::size_t home_instances = 0;
    std::uint64_t random = 0; ///< Random bits.
    TimePoint now{};
};

/// When a runner accepts a call that none accepts now.
struct NextAvailability {
    /// As far as is known; nothing if none will before the fleet changes.
    std::optional<TimePoint> at;
    std::string runner; ///< The runner that accepts it; empty for none.
    std::uint64_t start_ms = 0;
    bool limited = false; ///< One would, if not for its rate limit.
    /// When the first of the runners that requested a backoff accepts calls;
    /// nothing if there is none. No call waits for this: all calls that arrived
    /// during the backoff would be sent at once.
    std::optional<TimePoint> backoff_ends_at;

    RunnerIncarnation incarnation() const { return {runner, start_ms}; }
    /// Returns the earliest time at which any runner accepts a call.
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
    std::uint64_t version = 0; ///< Of the model's weights, as far as known.
    Micros wait{0};            ///< Expected time until it starts on the call.
    bool limited = false;      ///< It advertises a rate limit.
    std::uint64_t limit_change = 0; ///< See AdvertisedLimit.
    std::string software;           ///< See ListedRunner.
    std::string service;
    /// That each runner of the service bears in a second; 0 for any number.
    std::uint32_t bearable_refusals = 0;
    /// The instance on whose share of the runner's capacity the call is sent,
    /// and which passes it on; empty for this one's own.
    std::string share_holder{};
    Micros load_age{0}; ///< Of other instances' load, by which it was chosen.
    /// Prompt tokens that engines of the service prefill in a millisecond.
    double prefill_rate = usual_prefill_rate;

    bool is_borrowed() const { return !share_holder.empty(); }
    RunnerIncarnation incarnation() const { return {id, start_ms}; }
    RunnerPlace place() const { return {id, service, zone}; }
};

} // namespace crosslink
