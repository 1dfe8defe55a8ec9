// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/forward/queue_limit.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace crosslink
{

/// Counts calls, and those that were refused for their wait by reason, by
/// service and priority. Beyond max_rows, calls count for a service and
/// priority that is called "other", so that metrics stay small whatever the
/// configuration names.
class AdmissionCounts
{
public:
    static constexpr std::size_t max_rows = 64;

    void requested(std::string_view service, std::uint32_t priority);
    void refused(std::string_view service, std::uint32_t priority,
                 QueueRefusal::Reason reason);
    /// Returns all counters in the Prometheus text format.
    std::string text() const;

private:
    /// Name of a service, and a priority as a label.
    using Key = std::pair<std::string, std::string>;
    struct Counts {
        std::uint64_t requested = 0;
        std::array<std::uint64_t, 3> refused{}; ///< By reason.
    };

    Counts& counts_of(std::string_view service, std::uint32_t priority);

    std::map<Key, Counts> m_counts;
};

} // namespace crosslink
