// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/weights/weights_plan.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace crosslink
{

/// A runner's own word on its weights.
struct RunnerReport {
    std::uint64_t version = 0;  ///< Of the model asked for; 0 where absent.
    std::uint64_t start_ms = 0; ///< Its incarnation; 0 where it is not told.
    bool busy = false;          ///< An order is being carried out.
    std::uint64_t orders = 0;   ///< Orders that it took since its start.
    bool leaving = false;       ///< It says that it will end.
};

/// Orders to runners. Calls block and do not throw: what can't be reached is
/// an outcome.
class RunnerOrders
{
public:
    virtual ~RunnerOrders() = default;

    /// Asks a runner; nothing where it does not answer.
    virtual std::optional<RunnerReport> report(std::string_view address,
                                               std::string_view model) = 0;
    /// Gives `order` under `token`, where the runner took `orders` orders
    /// before: a late copy of it is then refused.
    virtual OrderOutcome give(const WeightsOrder& order, std::uint64_t token,
                              std::uint64_t orders) = 0;
};

} // namespace crosslink
