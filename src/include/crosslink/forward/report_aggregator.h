// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <map>
#include <string>
#include <string_view>

namespace crosslink
{

/// Time after which what an instance reported is outdated. Instances report
/// several times a second.
constexpr Micros load_holds = std::chrono::seconds(1);

/// Adds `rows` to `sum`, key by key.
template<typename Row>
void
add_load(std::map<std::string, Row>& sum,
         const std::map<std::string, Row>& rows)
{
    for (const auto& [key, row] : rows)
        sum[key] += row;
}

/// Subtracts `rows`, which are part of `sum`, from `sum`.
template<typename Row>
void
remove_load(std::map<std::string, Row>& sum,
            const std::map<std::string, Row>& rows)
{
    for (const auto& [key, row] : rows) {
        const auto found = sum.find(key);
        // A sum of nothing has no entry.
        if (found == sum.end())
            continue;
        found->second -= row;
        if (found->second == Row{})
            sum.erase(found);
    }
}

/// Adds up what each instance reports a few times a second, by key. `Row` has
/// +=, -= and ==, all exact.
template<typename Row> class ReportAggregator
{
public:
    using Rows = std::map<std::string, Row>;

    /// Replaces what `instance` reported.
    void record_report(std::string_view instance, const Rows& own,
                       TimePoint now)
    {
        expire(now);
        Report& report = m_instances[std::string(instance)];
        remove_load(m_sum, report.rows);
        report = {own, now};
        add_load(m_sum, own);
    }
    /// Returns the sum of what all other instances reported recently.
    Rows others(std::string_view instance, TimePoint now)
    {
        expire(now);
        Rows sum = m_sum;
        const auto own = m_instances.find(instance);
        if (own != m_instances.end())
            remove_load(sum, own->second.rows);
        return sum;
    }
    /// Returns the sum of what all instances reported recently.
    Rows sum(TimePoint now) { return others({}, now); }

private:
    struct Report {
        Rows rows;
        TimePoint at{};
    };

    /// Drops outdated reports.
    void expire(TimePoint now)
    {
        std::erase_if(m_instances, [&](const auto& item) {
            const bool is_old = now - item.second.at > load_holds;
            if (is_old)
                remove_load(m_sum, item.second.rows);
            return is_old;
        });
    }

    std::map<std::string, Report, std::less<>> m_instances;
    /// Sum over all instances, updated with each report. Each instance requests
    /// it 16 times a second.
    Rows m_sum;
};

} // namespace crosslink
