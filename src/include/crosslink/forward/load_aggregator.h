// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/runner_table.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// Time after which the load that an instance reported is outdated. Instances
/// report several times a second.
constexpr Micros load_holds = std::chrono::seconds(1);

/// Adds `load` to `sum`, runner by runner.
void add_load(std::map<std::string, RunnerLoad>& sum,
              const std::map<std::string, RunnerLoad>& load);

/// Subtracts `load`, which is part of `sum`, from `sum`.
void remove_load(std::map<std::string, RunnerLoad>& sum,
                 const std::map<std::string, RunnerLoad>& load);

/// Adds up the load that each instance puts on each runner. Instances report
/// theirs a few times a second.
class LoadAggregator
{
public:
    /// Replaces the load that `instance` reported.
    void record_report(std::string_view instance,
                       const std::map<std::string, RunnerLoad>& own,
                       TimePoint now);
    /// Returns the sum of what all other instances reported recently, by
    /// runner.
    std::map<std::string, RunnerLoad> others(std::string_view instance,
                                             TimePoint now);
    /// Returns the sum of what all instances reported recently, by runner.
    std::map<std::string, RunnerLoad> sum(TimePoint now)
    {
        return others({}, now);
    }

private:
    struct Report {
        std::map<std::string, RunnerLoad> load;
        TimePoint at{};
    };

    void expire(TimePoint now);

    std::map<std::string, Report, std::less<>> m_instances;
    /// Sum over all instances, updated with each report. Each instance requests
    /// it 16 times a second.
    std::map<std::string, RunnerLoad> m_sum;
};

} // namespace crosslink
