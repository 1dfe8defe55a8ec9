// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/store_capacity.h>

#include <algorithm>
#include <limits>
#include <tuple>

namespace crosslink
{

namespace
{

/// Stores allocate capacity in multiples of this many tokens.
constexpr std::uint32_t allocation_unit = 16;
/// Fraction of a store that is filled; the rest is for interrupted saves.
constexpr double filled_fraction = 0.97;
/// Fraction of the stores with faster links that is reserved for leading parts.
/// They take a hundredth of all capacity, but for each weights version and each
/// term.
constexpr double leading_fraction = 0.2;
/// Fraction of all capacity that is evicted at once where a store is full. At
/// two rounds a second, all of it is replaced in five seconds: half the time in
/// which new weights reach all runners.
constexpr double eviction_fraction = 0.1;
/// Fraction of all capacity that is kept free, while there are parts of
/// replaced weights, once all runners have the new ones; before that, it is
/// less in proportion to the runners that have them. A part is freed seconds
/// after its eviction, and until then the saves of those seconds need capacity.
constexpr double reserve_fraction = 0.45;

} // namespace

std::uint32_t
StoreCapacity::capacity_of(std::uint32_t tokens)
{
    return (tokens + allocation_unit - 1) / allocation_unit * allocation_unit;
}

void
StoreCapacity::set_stores(std::span<const KeptStoreInfo> stores)
{
    std::map<std::string, Store, std::less<>> next;
    for (const KeptStoreInfo& info : stores) {
        if (!info.managed)
            continue;
        if (const Store* known = find(info.address))
            next[info.address] = *known;
        next[info.address].info = info;
    }
    m_stores = std::move(next);
}

void
StoreCapacity::clear()
{
    m_full = false;
    for (auto& [address, store] : m_stores)
        store = Store{store.info};
}

StoreCapacity::Store*
StoreCapacity::find(std::string_view store)
{
    const auto found = m_stores.find(store);
    return found == m_stores.end() ? nullptr : &found->second;
}

const StoreCapacity::Store*
StoreCapacity::find(std::string_view store) const
{
    const auto found = m_stores.find(store);
    return found == m_stores.end() ? nullptr : &found->second;
}

bool
StoreCapacity::contains(std::string_view store) const
{
    return find(store) != nullptr;
}

std::string_view
StoreCapacity::zone(std::string_view store) const
{
    const Store* known = find(store);
    return known ? std::string_view(known->info.zone) : std::string_view();
}

std::uint64_t
StoreCapacity::boot(std::string_view store) const
{
    const Store* known = find(store);
    return known ? known->boot : 0;
}

bool
StoreCapacity::is_reachable(std::string_view store) const
{
    const Store* known = find(store);
    return known && known->reachable;
}

std::optional<TimePoint>
StoreCapacity::listed_at(std::string_view store) const
{
    const Store* known = find(store);
    return known ? std::optional(known->listed_at) : std::nullopt;
}

bool
StoreCapacity::all_reported() const
{
    return std::all_of(m_stores.begin(), m_stores.end(),
                       [](const auto& item) { return item.second.boot != 0; });
}

bool
StoreCapacity::update_boot(std::string_view store, std::uint64_t boot,
                           TimePoint writable_from)
{
    Store* const known = find(store);
    if (!known)
        return false;
    const bool forgot_all = known->boot != 0 && known->boot != boot;
    known->boot = boot;
    if (!forgot_all)
        return false;
    known->used_tokens = 0;
    known->writable_from = writable_from;
    return true;
}

void
StoreCapacity::set_listed(std::string_view store, TimePoint now)
{
    if (Store* const known = find(store)) {
        known->reachable = true;
        known->listed_at = now;
    }
}

void
StoreCapacity::set_reachable(std::string_view store, bool reachable)
{
    if (Store* const known = find(store))
        known->reachable = reachable;
}

void
StoreCapacity::add_used(std::string_view store, std::uint32_t tokens)
{
    if (Store* const known = find(store))
        known->used_tokens += tokens;
}

void
StoreCapacity::release(std::string_view store, std::uint32_t tokens)
{
    if (Store* const known = find(store))
        known->used_tokens -=
            std::min<std::uint64_t>(known->used_tokens, tokens);
}

double
StoreCapacity::slowest_link() const
{
    double slowest = std::numeric_limits<double>::max();
    for (const auto& [address, store] : m_stores)
        slowest = std::min(slowest, store.info.link_bytes_per_second);
    return slowest;
}

/// Returns whether a store can be written to.
bool
StoreCapacity::is_writable(const Store& store, TimePoint now)
{
    return store.reachable && store.boot != 0 && now >= store.writable_from;
}

bool
StoreCapacity::has_capacity(const Store& store, std::uint32_t tokens,
                            bool leading) const
{
    const bool reserved =
        !leading && store.info.link_bytes_per_second > slowest_link();
    const double fraction = filled_fraction - (reserved ? leading_fraction : 0);
    return static_cast<double>(store.used_tokens + tokens) <=
           fraction * static_cast<double>(store.info.capacity_tokens);
}

std::string
StoreCapacity::select_store(
    std::uint32_t tokens, bool leading,
    const std::function<bool(const std::string&)>& excluded, TimePoint now)
{
    using Rank = std::tuple<bool, double, double>;
    std::string best;
    Rank best_rank;
    bool any_full = false;
    for (const auto& [address, store] : m_stores) {
        if (!is_writable(store, now) || excluded(address))
            continue;
        if (!has_capacity(store, tokens, leading)) {
            any_full = true;
            continue;
        }
        const double link = std::max(store.info.link_bytes_per_second, 1.0);
        const double filling =
            static_cast<double>(store.used_tokens + tokens) / link;
        const Rank rank{m_slow.contains(address), leading ? -link : 0, filling};
        if (best.empty() || rank < best_rank) {
            best = address;
            best_rank = rank;
        }
    }
    // Stores that can't be written to now don't count as full.
    if (best.empty() && any_full)
        m_full = true;
    return best;
}

/// Returns the fraction of all capacity that is free once `evicted` tokens are
/// freed.
double
StoreCapacity::free_fraction(std::uint64_t evicted) const
{
    double capacity = 0;
    double used = 0;
    for (const auto& [address, store] : m_stores) {
        capacity += static_cast<double>(store.info.capacity_tokens);
        used += static_cast<double>(store.used_tokens);
    }
    used -= static_cast<double>(evicted);
    return capacity > 0 ? 1 - used / capacity : 1;
}

bool
StoreCapacity::below_reserve(double updated_fraction,
                             std::uint64_t evicted) const
{
    return free_fraction(evicted) < reserve_fraction * updated_fraction;
}

double
StoreCapacity::tokens_to_evict() const
{
    double tokens = 0;
    for (const auto& [address, store] : m_stores)
        tokens +=
            eviction_fraction * static_cast<double>(store.info.capacity_tokens);
    return tokens;
}

} // namespace crosslink
