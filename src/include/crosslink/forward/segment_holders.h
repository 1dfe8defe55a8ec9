// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <span>
#include <vector>

namespace crosslink
{

struct RunnerEntry;
struct RunnerQuery;
struct SharedSegment;

/// The runners that are taken to have the shared segments of a prompt in their
/// own memory: for each segment, as many as its part of the demand calls for,
/// by rendezvous, which all instances compute alike. A segment counts only
/// where all before it are, so its holders are among those of the segment
/// before it. Answers the load of engines that prefill, or fetch from stores,
/// segments that another engine has in memory. A wrong belief costs a prefill
/// and nothing else.
class SegmentHolders
{
public:
    /// `runners` are those among which the holders are. All pointers are used
    /// for this object's lifetime.
    SegmentHolders(std::span<const RunnerEntry* const> runners,
                   const RunnerQuery& query);

    /// Returns the time in milliseconds that a call is expected to save at
    /// `entry`, since its segments are there; 0 for a process that has not
    /// served this instance yet, whose memory may be empty.
    double saved_ms(const RunnerEntry& entry) const;

private:
    struct Group {
        std::vector<const RunnerEntry*> runners;
        double saved_ms = 0;
    };

    std::vector<Group> m_groups; ///< One for each segment.
};

} // namespace crosslink
