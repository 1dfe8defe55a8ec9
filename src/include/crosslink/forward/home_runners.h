// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstddef>

namespace crosslink
{

class SettledMembers;
struct RunnerEntry;
struct RunnerQuery;

/// The home runners of the instance that chooses a runner: those of its zone
/// that only a few instances, drawn by rendezvous, send to while they are not
/// busier than others. Nearly all of their load is therefore known without
/// delay. If all instances used all runners alike, each would choose by reports
/// that are older than it takes to prefill a prompt, and calls would crowd by
/// chance. Valid for one choice.
class HomeRunners
{
public:
    /// `runners` is the number of runners of the service in the own zone,
    /// `max_runners` the largest number with which there are homes: of more, a
    /// call looks at a sample, and hardly any of the sample is home. Both
    /// references must outlive this object.
    HomeRunners(const SettledMembers& members, const RunnerQuery& query,
                std::size_t runners, std::size_t max_runners);

    /// Returns whether runners have homes. Where a zone has few instances, each
    /// knows most of the load by its own calls anyway.
    bool exist() const { return m_instances > 0; }
    /// Returns whether `entry` is home to the instance; false if there are no
    /// homes.
    bool contains(const RunnerEntry& entry) const;

private:
    const SettledMembers& m_members;
    const RunnerQuery& m_query;
    std::size_t m_instances = 0; ///< That each runner is home to; 0 for none.
};

} // namespace crosslink
