// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/weights/weights_plan.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace crosslink
{

/// A runner's report on its weights.
struct RunnerReport {
    std::uint64_t version = 0;  ///< Of the requested model; 0: not listed.
    std::uint64_t start_ms = 0; ///< The runner's incarnation; 0: not stated.
    bool busy = false;          ///< An order is being carried out.
    std::uint64_t orders = 0;   ///< Orders accepted since the runner's start.
    bool leaving = false;       ///< The runner states that it will end.
};

/// Orders to runners. Calls block and do not throw: an unreachable runner shows
/// in the return value.
class RunnerOrders
{
public:
    virtual ~RunnerOrders() = default;

    /// Asks the runner at `address` for a report on `model`. Returns
    /// std::nullopt if it does not answer.
    virtual std::optional<RunnerReport> report(std::string_view address,
                                               std::string_view model) = 0;
    /// Returns whether the process at `address` answers a question, whatever
    /// the answer: more than a connection shows, which something in between may
    /// have accepted. Blocks for up to 0.3 s.
    virtual bool answers(std::string_view address) = 0;
    /// Sends `order` under the fencing token `token`. The runner refuses it
    /// unless it has accepted exactly `orders` orders since its start, so that
    /// a delayed copy of an order is refused.
    virtual OrderOutcome give(const WeightsOrder& order, std::uint64_t token,
                              std::uint64_t orders) = 0;
};

} // namespace crosslink
