// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/kept/kept_directory.h>
#include <crosslink/kept/kept_part.h>

#include <cstdint>
#include <string_view>

namespace crosslink
{

/// The stores of kept KV that the system manages. Calls block and throw
/// Error(StoreUnavailable).
class KeptStores
{
public:
    virtual ~KeptStores() = default;

    /// Returns all that the store has.
    virtual KeptListing list(std::string_view address) = 0;
    /// Waits up to `longest` for changes after `after`.
    virtual KeptChanges changes(std::string_view address, std::uint64_t after,
                                Micros longest) = 0;
    /// Lets a store free parts, if it gets to it before `until`.
    virtual void free(const KeptFree& order, RunnerMillis until) = 0;
};

} // namespace crosslink
