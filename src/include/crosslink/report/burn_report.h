// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/json.h>
#include <crosslink/base/time.h>
#include <crosslink/configuration/client_account.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// The outcome of one request, as the report counts it.
struct RequestOutcome {
    std::string account;
    std::string model; ///< Or name of the plain service.
    std::string zone;
    Objectives objectives;
    bool answered = false; ///< The caller got a complete answer.
    Micros first_token{0};
    Micros slowest_between{0}; ///< Longest time between two tokens.
    std::uint64_t prompt_tokens = 0;
    std::uint64_t computed_tokens = 0; ///< Prompt tokens computed again.
};

/// Counts of one time window.
struct BurnCounts {
    std::uint64_t requests = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t late_first = 0;   ///< Answered, first token too late.
    std::uint64_t late_between = 0; ///< Answered, too long between tokens.
    std::uint64_t prompt_tokens = 0;
    std::uint64_t computed_tokens = 0;

    void add(const BurnCounts& other);
};

/// Error budget burn rates: for each client account, model and zone, the share
/// of requests outside their objectives over a fast (5 min) and a slow (1 h)
/// window, relative to the share that the objectives allow. A burn rate of 1
/// uses the error budget up exactly as fast as allowed.
class BurnReport
{
public:
    /// Counts one finished request at `now`.
    void add(const RequestOutcome& outcome, TimePoint now);
    /// Returns the report at `now`, one row for each series.
    Json::Value rows(TimePoint now) const;

private:
    static constexpr std::size_t slots = 60; ///< One for each minute.

    struct Slot {
        std::int64_t minute = -1;
        BurnCounts counts;
    };
    struct Series {
        Objectives objectives;
        std::array<Slot, slots> ring{};
    };
    struct SeriesName {
        std::string account;
        std::string model;
        std::string zone;
        auto operator<=>(const SeriesName&) const = default;
    };

    static BurnCounts sum(const Series& series, std::int64_t minute,
                          std::int64_t span);

    std::map<SeriesName, Series> m_series;
};

/// Returns the sums of the rows of several instances, the highest burn rate
/// first.
Json::Value merge_burn_rows(const std::vector<Json::Value>& reports);
/// Returns the links of several instances merged by store: each has the fields
/// "store", "bytes_per_second" (the highest) and "fetched" (the sum).
Json::Value merge_links(const std::vector<Json::Value>& links);
/// Returns the report as text for a terminal.
std::string burn_text(const Json::Value& rows);
/// Returns the use of the stores' links as text for a terminal.
std::string links_text(const Json::Value& links);
/// Returns the report as one self-contained HTML page with plots.
std::string burn_html(const Json::Value& rows, const Json::Value& links);

} // namespace crosslink
