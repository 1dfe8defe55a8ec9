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

/// The stores of kept KV blocks that the system manages. Stores are identified
/// by address, "ip:port". Calls block.
class KeptStores
{
public:
    virtual ~KeptStores() = default;

    /// Lists all parts in the store. Throws Error(StoreUnavailable).
    virtual KeptListing list(std::string_view address) = 0;
    /// Waits up to `longest` for changes after the position `after`. Throws
    /// Error(StoreUnavailable).
    virtual KeptChanges changes(std::string_view address, std::uint64_t after,
                                Micros longest) = 0;
    /// Orders a store to free parts; the order expires at `until`. Does not
    /// throw: a later listing shows what was freed.
    virtual void free(const KeptFree& order, RunnerMillis until) = 0;
};

} // namespace crosslink
