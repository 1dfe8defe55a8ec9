// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/kept/kept_part.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace crosslink
{

/// A part in a store where the directory no longer reports it. The store may
/// have it, complete or incomplete, or not at all.
struct StalePart {
    std::string store; ///< Address.
    KeptKey key;
    std::uint32_t tokens = 0; ///< Capacity that it takes.
    TimePoint due{}; ///< No call writes or fetches it there after this time.
    /// The store was asked to free it, and has done so by `due`.
    bool free_requested = false;
};

/// The parts in stores where the directory of kept parts no longer reports
/// them. The directory has no part saved to a store where it is stale, and has
/// the store free a stale part once all answers that named it have expired.
class StaleParts
{
public:
    /// Records that `store` may have a part until the part is freed, which may
    /// be from `due` on. A part that is recorded already stays unchanged.
    void add(const std::string& store, const KeptKey& key, std::uint32_t tokens,
             TimePoint due);
    /// Returns whether a part is stale in any store.
    bool contains(const KeptKey& key) const;
    /// Returns whether a part is stale in `store`.
    bool contains(const std::string& store, const KeptKey& key) const;

    /// Removes the parts in the stores for which `gone` returns true.
    void remove_stores(const std::function<bool(const std::string&)>& gone);
    void clear() { m_stale_parts.clear(); }

    /// Returns the parts that are to be freed now: `may_free` returns true for
    /// them, and their store was not asked yet. Removes those that have been
    /// freed.
    std::vector<StalePart>
    take_due(const std::function<bool(const StalePart&)>& may_free,
             TimePoint now);

private:
    std::vector<StalePart> m_stale_parts;
};

} // namespace crosslink
