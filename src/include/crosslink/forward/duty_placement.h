// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace crosslink
{

/// Decides when the holder of the coordinator duty leaves it to another
/// instance, because it does not reach runners that the other one reaches.
/// Orders can't be passed on as calls are: runners take the instance that sends
/// an order for its holder, so that orders for one token come from one instance
/// only.
class DutyPlacement
{
public:
    /// Passing the duty on costs the fleet several seconds without orders. A
    /// holder leaves it after this time where runners that it does not reach
    /// are due for new weights.
    static constexpr Micros urgent_after = std::chrono::seconds(1);
    /// The same while no such runner is due, and it misses many.
    static constexpr Micros calm_after = std::chrono::seconds(4);
    /// Maximum number of runners of each kind that another instance is asked
    /// about.
    static constexpr std::size_t max_asked = 3;

    /// A runner that the holder does not reach; another instance may.
    struct Unreached {
        std::string runner;
        Micros since{0};  ///< How long that is known.
        bool due = false; ///< It is due for new weights.
    };

    /// What the holder knows of its own reach.
    struct HolderReach {
        std::vector<Unreached> unreached;
        std::size_t listed = 0; ///< Number of listed runners.
        /// Some of the runners that it reaches and that are due; empty if there
        /// are none.
        std::vector<std::string> reached_due;
    };

    /// What another instance says of its reach.
    struct PeerReach {
        std::vector<std::string> reached; ///< Of the runners asked about.
        std::size_t unreached = 0; ///< Known runners that it does not reach.
    };

    /// Returns the runners that another instance is to be asked about; empty
    /// while the holder keeps the duty.
    static std::vector<std::string> runners_to_ask(const HolderReach& own);
    /// Returns whether the duty is better placed at the instance that answered
    /// `peer` when it was asked about `asked`: it reaches a runner that is due
    /// while all that the holder reaches are done, or it reaches far more.
    static bool is_better(const HolderReach& own,
                          std::span<const std::string> asked,
                          const PeerReach& peer);
};

} // namespace crosslink
