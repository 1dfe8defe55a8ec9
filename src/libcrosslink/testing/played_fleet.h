// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/runner_query.h>
#include <crosslink/forward/runner_table.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace crosslink::testing
{

/// Shared parts of prompts, of which each call of a kind has one: the one with
/// rank r is drawn as often as r + 1 to the power of -skew.
struct PlayedParts {
    std::uint32_t tokens = 0;
    std::size_t distinct = 0;
    double skew = 0;
};

/// A kind of call that callers send.
struct PlayedKind {
    double per_second = 0; ///< At load 1.
    std::uint32_t priority = 0;
    std::uint32_t resident = 0; ///< Tokens of KV memory.
    std::uint32_t to_read = 0;  ///< Of them, not kept anywhere.
    std::uint32_t to_make = 0;  ///< Output tokens.
    Micros objective{0};        ///< To the first token.
    Micros deadline{0};         ///< The caller waits no longer.
    /// Of each prompt, one after the other, beside `resident` and `to_read`.
    std::vector<PlayedParts> parts{};
};

/// What callers of one kind got whose first try fell into some span.
struct PlayedTally {
    int asked = 0;
    int in_time = 0; ///< First token within the objective of the first try.
    int late = 0;
    int refused = 0; ///< At the end, after their repeat.
    int failed = 0;  ///< Not answered before their deadline.

    double in_time_part() const
    {
        return asked == 0 ? 1 : static_cast<double>(in_time) / asked;
    }
};

/// A time during which some of the engines are slower, or stalled.
struct PlayedSlowness {
    double from = 0; ///< In seconds.
    double until = 0;
    std::size_t each = 0; ///< Each n-th engine; 0 for none.
    double factor = 1;    ///< Of its speed; 0 if it stalls.

    bool concerns(std::size_t engine) const
    {
        return each > 0 && engine % each == 1;
    }
};

/// Chooses a runner in place of RunnerTable::choose(), which chose `pick`.
using PlayedPolicy = std::function<std::string(const RunnerTable& table,
                                               const RunnerQuery& query,
                                               const RunnerPick& pick)>;

/// The fleet that is played.
struct PlayedFleet {
    std::size_t engines = 9;
    std::size_t instances = 1;
    int told_ms = 150;             ///< Between two times that load is told.
    bool limited = true;           ///< Calls beyond the limit are refused.
    double slow_speed = 1;         ///< Of each third engine.
    double speed = 1;              ///< Of all engines.
    std::uint32_t memory = 70'000; ///< Of an engine, in tokens.
    std::size_t zones = 1; ///< Over which engines and instances are spread.
    /// Returns how much a zone's callers send, as a multiple of the mean of all
    /// zones; alike if it is empty.
    std::function<double(std::size_t zone, double second)> zone_demand{};
    std::size_t home_instances = 0;   ///< See RunnerQuery.
    bool segments = false;            ///< Calls go to holders of their parts.
    std::size_t stores = 0;           ///< That keep shared parts.
    double store_tokens_per_ms = 100; ///< Of each store's link.
    double lost_reports = 0; ///< Part of the load reports that is lost.
    PlayedSlowness slowness;
    PlayedPolicy policy; ///< Empty for the one of RunnerTable.
    std::uint64_t seed = 1;
};

} // namespace crosslink::testing
