// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/service_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace crosslink
{

/// The capacity of the stores of KV parts: which stores exist and answer, how
/// much of each is used, and to which of them a part is saved. Stores are
/// identified by their addresses; updates of an unknown store are ignored.
class StoreCapacity
{
public:
    /// Returns the capacity, in tokens, that a part of `tokens` takes.
    static std::uint32_t capacity_of(std::uint32_t tokens);

    /// Sets the managed stores of the configuration. The state of those that
    /// remain is kept.
    void set_stores(std::span<const KeptStoreInfo> stores);
    /// Sets the stores that are slow now; they are written to only where no
    /// other one has free capacity.
    void set_slow(std::set<std::string, std::less<>> stores)
    {
        m_slow = std::move(stores);
    }
    /// Resets the state of all stores.
    void clear();

    bool contains(std::string_view store) const;
    /// Returns the zone of a store; empty for an unknown store.
    std::string_view zone(std::string_view store) const;
    /// Returns the boot that a store reported; 0 where it reported none.
    std::uint64_t boot(std::string_view store) const;
    /// Returns whether a store answers.
    bool is_reachable(std::string_view store) const;
    /// Returns when a store last listed its parts; nothing for an unknown
    /// store.
    std::optional<TimePoint> listed_at(std::string_view store) const;
    /// Returns whether every store has reported its boot.
    bool all_reported() const;

    /// Sets a store's boot. Returns true where the store has restarted: it is
    /// empty, and is written to only from `writable_from` on.
    bool update_boot(std::string_view store, std::uint64_t boot,
                     TimePoint writable_from);
    /// Records that a store listed its parts at `now`.
    void set_listed(std::string_view store, TimePoint now);
    void set_reachable(std::string_view store, bool reachable);

    /// Records that `tokens` of capacity are used in a store.
    void add_used(std::string_view store, std::uint32_t tokens);
    /// Records that `tokens` of capacity are free again in a store.
    void release(std::string_view store, std::uint32_t tokens);

    /// Returns the store that a part of `tokens` should be saved to, without
    /// those for which `excluded` returns true; empty where none has enough
    /// free capacity. A leading part, which other parts of the
    /// prompt follow, goes to the store with the fastest link, since it is
    /// fetched for many prompts. Other parts fill the stores in proportion to
    /// their links, so that fetches are spread evenly.
    std::string
    select_store(std::uint32_t tokens, bool leading,
                 const std::function<bool(const std::string&)>& excluded,
                 TimePoint now);
    /// Returns whether a part found no capacity since some was last freed up.
    bool is_full() const { return m_full; }
    /// Records that capacity is being freed up.
    void clear_full() { m_full = false; }
    /// Returns whether less capacity is free than is to be kept free, where the
    /// fraction `updated_fraction` of the runners, 0 to 1, has the newest
    /// weights. `evicted` tokens of the used capacity are about to be freed.
    bool below_reserve(double updated_fraction, std::uint64_t evicted) const;
    /// Returns the tokens that are evicted at once to free up capacity.
    double tokens_to_evict() const;

private:
    struct Store {
        KeptStoreInfo info;
        bool reachable = false;
        std::uint64_t boot = 0;
        std::uint64_t used_tokens = 0;
        /// When answers from before its restart have expired.
        TimePoint writable_from{};
        TimePoint listed_at{};
    };

    Store* find(std::string_view store);
    const Store* find(std::string_view store) const;
    static bool is_writable(const Store& store, TimePoint now);
    bool has_capacity(const Store& store, std::uint32_t tokens,
                      bool leading) const;
    double slowest_link() const;
    double free_fraction(std::uint64_t evicted) const;

    std::map<std::string, Store, std::less<>> m_stores; ///< By address.
    std::set<std::string, std::less<>> m_slow;          ///< Addresses.
    bool m_full = false;
};

} // namespace crosslink
