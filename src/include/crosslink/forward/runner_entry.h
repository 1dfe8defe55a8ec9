// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/runner_notices.h>
#include <crosslink/forward/send_window.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// A model with the version of its weights that a runner has in memory.
struct LoadedModel {
    std::string model;
    std::uint64_t version = 0;
};

/// One process that runs calls of a service, as the platform lists it.
struct ListedRunner {
    std::string id; ///< May be that of an earlier process.
    /// Unix milliseconds of its start: tells its incarnations apart. 0 where it
    /// is not told.
    std::uint64_t start_ms = 0;
    std::string service;
    std::string address; ///< "ip:port"; may be used again by another one.
    std::string zone;
    std::uint32_t slots = 1; ///< Calls that it works on at once.
    bool leaving = false;    ///< It said that it will end.
    /// It bears little for so long, counted from when it said so.
    Micros cold_for{0};
    std::vector<LoadedModel> models;
};

/// One process among those that have, or had, the same id.
struct RunnerIncarnation {
    std::string_view id;
    std::uint64_t start_ms = 0; ///< See ListedRunner.
};

/// Calls under way at a runner.
struct RunnerLoad {
    std::uint32_t calls = 0;
    std::uint64_t tokens = 0; ///< Of their prompts, not read yet.
    /// Tokens of KV memory that they take until they end.
    std::uint64_t resident = 0;

    bool operator==(const RunnerLoad&) const = default;
    /// Adds one call that has `tokens_in` to be read and takes `resident_in`.
    void add(std::uint64_t tokens_in, std::uint64_t resident_in)
    {
        ++calls;
        tokens += tokens_in;
        resident += resident_in;
    }
};

/// A runner with what this instance knows from its own calls.
struct RunnerEntry {
    ListedRunner listed;
    /// Weights by the runner's own word in answers and reports, or the
    /// holder's of the duty that asked it. The list lags behind them.
    std::vector<LoadedModel> reported_models;
    RunnerLoad own;             ///< Calls of this instance.
    RunnerLoad others;          ///< Of all other instances, as they told it.
    RunnerLoad unreported_load; ///< Of this instance, sent since then.
    std::uint32_t failures = 0; ///< In a row.
    TimePoint held_until{};     ///< It gets nothing before.
    TimePoint cold_until{};     ///< It bears little before, by its own word.
    /// When it last took no connection or broke one off: it may start anew.
    std::optional<TimePoint> connection_failed_at;
    RunnerNotices notices;
    SendWindow sends; ///< Of this instance.
    /// Calls of it that are about to be sent, or wait for their time.
    std::uint32_t reserved = 0;
    /// It is no longer listed, and taken as gone from then on, unless it is
    /// listed again.
    std::optional<TimePoint> gone_at;

    /// Returns the version of `model` that it is known to have; 0 where it has
    /// it not.
    std::uint64_t version_of(std::string_view model) const;
    /// Returns whether its process will end: by the platform's list, or by its
    /// own word, which the list lags behind.
    bool leaves() const { return listed.leaving || notices.leaving; }
    /// Returns which process the entry is of.
    RunnerIncarnation incarnation() const
    {
        return {listed.id, listed.start_ms};
    }
};

} // namespace crosslink
