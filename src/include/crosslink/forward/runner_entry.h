// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/awaited_answers.h>
#include <crosslink/forward/reported_slowness.h>
#include <crosslink/forward/response_speed.h>
#include <crosslink/forward/runner_notices.h>
#include <crosslink/forward/runner_place.h>
#include <crosslink/forward/send_window.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// A model that a runner has in memory, with the version of its weights.
struct LoadedModel {
    std::string model;
    std::uint64_t version = 0;
};

/// One process that runs calls of a service, as the platform lists it.
struct ListedRunner {
    std::string id; ///< May have belonged to an earlier process.
    /// Start time in Unix milliseconds, which tells its incarnations apart; 0
    /// if it is unknown.
    std::uint64_t start_ms = 0;
    std::string service;
    std::string address; ///< "ip:port"; another process may reuse it.
    std::string zone;
    /// Version of its software, not of its weights; empty if it is not told. A
    /// process keeps the one that it starts with.
    std::string software;
    std::uint32_t slots = 1; ///< Calls that it works on at once.
    bool leaving = false;    ///< It announced that it will end.
    /// Time for which it warms up and accepts few calls, counted from its
    /// report.
    Micros cold_for{0};
    std::vector<LoadedModel> models;

    RunnerPlace place() const { return {id, service, zone}; }
};

/// One of the processes that have, or had, the same id.
struct RunnerIncarnation {
    std::string_view id;
    std::uint64_t start_ms = 0; ///< See ListedRunner.
};

/// Load of the calls in flight at a runner.
struct RunnerLoad {
    std::uint32_t calls = 0;
    std::uint64_t tokens = 0; ///< Prompt tokens that are not prefilled yet.
    /// Tokens of KV memory that the calls hold until they end.
    std::uint64_t resident = 0;

    bool operator==(const RunnerLoad&) const = default;
    RunnerLoad& operator+=(const RunnerLoad& other)
    {
        calls += other.calls;
        tokens += other.tokens;
        resident += other.resident;
        return *this;
    }
    RunnerLoad& operator-=(const RunnerLoad& other)
    {
        calls -= other.calls;
        tokens -= other.tokens;
        resident -= other.resident;
        return *this;
    }
    /// Adds one call with `tokens_in` tokens to prefill and `resident_in`
    /// tokens of KV memory.
    void add(std::uint64_t tokens_in, std::uint64_t resident_in)
    {
        ++calls;
        tokens += tokens_in;
        resident += resident_in;
    }
};

/// A runner with what this instance knows of it.
struct RunnerEntry {
    ListedRunner listed;
    /// Weights that the runner stated in answers and reports, to this instance
    /// or to the holder of the duty that asked it. The platform's list lags
    /// behind them.
    std::vector<LoadedModel> reported_models;
    RunnerLoad own;             ///< Calls of this instance.
    RunnerLoad others;          ///< Of all other instances, as reported.
    RunnerLoad unreported_load; ///< Of this instance, sent since that report.
    /// Calls in flight for other instances, on this instance's share.
    std::uint32_t lent = 0;
    /// Calls of this instance in flight on the shares of others.
    std::uint32_t borrowed = 0;
    std::uint32_t failures = 0; ///< One less with each success.
    bool served = false;        ///< It answered a call of this instance.
    TimePoint paused_until{};   ///< It gets no calls before.
    TimePoint cold_until{};     ///< It warms up until then, by its own report.
    /// When it last refused or broke a connection; it may be restarting.
    std::optional<TimePoint> connection_failed_at;
    RunnerNotices notices;
    ResponseSpeed speed;    ///< By the answers to calls of this instance.
    AwaitedAnswers awaited; ///< By calls of this instance.
    ReportedSlowness reported_slowness; ///< By other instances.
    SendWindow sends;                   ///< Calls sent by this instance.
    /// Calls of this instance that are about to be sent or wait for their time.
    std::uint32_t reserved = 0;
    /// Set if it is no longer listed: it counts as gone from then on, unless it
    /// is listed again.
    std::optional<TimePoint> gone_at;

    /// Returns the version of `model` that it is known to have, or 0 if it does
    /// not have the model.
    std::uint64_t version_of(std::string_view model) const;
    /// Returns whether its process will end, by the platform's list or by its
    /// own announcement, which the list lags behind.
    bool leaves() const { return listed.leaving || notices.leaving; }
    /// Returns how many calls in flight take up this instance's share of the
    /// runner's capacity.
    std::uint32_t calls_on_share() const { return own.calls - borrowed + lent; }
    /// Returns the process that the entry describes.
    RunnerIncarnation incarnation() const
    {
        return {listed.id, listed.start_ms};
    }
};

} // namespace crosslink
