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

/// Room in a store for a part that is told elsewhere now. The store may have
/// it, whole or not.
struct KeptLeftover {
    std::string store; ///< Address.
    KeptKey key;
    std::uint32_t tokens = 0; ///< Room that it takes.
    TimePoint due{};          ///< No call writes or was told to fetch it after.
    bool told_free = false;   ///< It is freed until `due`.
};

/// What is left of parts in stores where they are not told any more. The
/// directory of kept parts saves no part anew to a store that has it left,
/// and has the store free it once nothing that was told of it holds.
class KeptLeftovers
{
public:
    /// Takes note that `store` may have a part until it is freed, which may
    /// be from `due` on. A part that is left there already stays as it is.
    void add(const std::string& store, const KeptKey& key, std::uint32_t tokens,
             TimePoint due);
    /// Returns whether a part is left in any store.
    bool contains(const KeptKey& key) const;
    /// Returns whether a part is left in `store`.
    bool contains(const std::string& store, const KeptKey& key) const;

    /// Drops what is left in the stores that `gone` says so of.
    void forget_stores(const std::function<bool(const std::string&)>& gone);
    void clear() { m_leftovers.clear(); }

    /// Returns those that are to be freed now: `may_free` says so of them,
    /// and their store was not asked yet. Drops those that have been freed.
    std::vector<KeptLeftover>
    take_due(const std::function<bool(const KeptLeftover&)>& may_free,
             TimePoint now);

private:
    std::vector<KeptLeftover> m_leftovers;
};

} // namespace crosslink
