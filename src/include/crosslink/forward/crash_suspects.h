// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace crosslink
{

/// The end of a runner's process.
struct ProcessEnd {
    std::string_view runner;
    std::uint64_t start_ms = 0; ///< See ListedRunner; 0 if unknown.
    TimePoint at{};
};

/// Returns whether two reports are of the same end. A process ends only once.
/// If its start time is unknown, the end of a later process with the same id is
/// recognized by its time.
bool is_same_end(const ProcessEnd& one, const ProcessEnd& other);

/// A key under which processes ended, with no answer since.
struct CrashSuspect {
    std::string_view key;
    std::vector<ProcessEnd> ends;
    /// The last answer before these ends, if it is known.
    std::optional<TimePoint> answered_at;
};

/// A suspect that is needed to explain the ends.
struct Culprit {
    std::string_view key;
    /// Another suspect explains the same ends as well.
    bool is_tied = false;
};

/// Returns a small set of suspects that explains the ends: repeatedly the one
/// with the most ends that no other has explained yet, as long as these are
/// `min_ends` or more. What was in flight beside the one at fault is thereby
/// cleared, however often it was there. Among equals, a whole request comes
/// before a part, as blocking it concerns fewer calls, and then the one that
/// was not answered for longest.
std::vector<Culprit> find_culprits(std::span<const CrashSuspect> suspects,
                                   std::size_t min_ends);

} // namespace crosslink
