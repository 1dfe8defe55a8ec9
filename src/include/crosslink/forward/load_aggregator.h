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

/// What an instance told longer ago says nothing of now; it is told several
/// times a second.
constexpr Micros load_holds = std::chrono::seconds(1);

/// Adds `load` to `sum`, runner by runner.
void add_load(std::map<std::string, RunnerLoad>& sum,
              const std::map<std::string, RunnerLoad>& load);

/// Takes `load`, which is part of it, out of `sum`.
void remove_load(std::map<std::string, RunnerLoad>& sum,
                 const std::map<std::string, RunnerLoad>& load);

/// The load that each instance gives to each runner, as the instances tell it
/// a few times a second.
class LoadAggregator
{
public:
    /// Takes in what `instance` has under way.
    void told(std::string_view instance,
              const std::map<std::string, RunnerLoad>& own, TimePoint now);
    /// Returns the sum of what all others told lately, by runner.
    std::map<std::string, RunnerLoad> others(std::string_view instance,
                                             TimePoint now);
    /// Returns the sum of what all told lately, by runner.
    std::map<std::string, RunnerLoad> sum(TimePoint now)
    {
        return others({}, now);
    }

private:
    struct Told {
        std::map<std::string, RunnerLoad> load;
        TimePoint at{};
    };

    void expire(TimePoint now);

    std::map<std::string, Told, std::less<>> m_instances;
    /// Of all instances, kept up with each word: it is asked for by each of
    /// them, 16 times a second.
    std::map<std::string, RunnerLoad> m_sum;
};

} // namespace crosslink
