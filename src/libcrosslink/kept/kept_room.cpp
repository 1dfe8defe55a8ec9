// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/kept_room.h>

#include <algorithm>
#include <limits>
#include <tuple>

namespace crosslink
{

namespace
{

/// Stores allocate capacity in multiples of this many tokens.
constexpr std::uint32_t room_step = 16;
/// Fraction of a store that is filled; the rest is for interrupted saves.
constexpr double filled_part = 0.97;
/// Fraction of the stores with faster links that is reserved for leading parts.
/// They take a hundredth of all capacity, but for each weights version and each
/// term.
constexpr double forerunner_part = 0.2;
/// Fraction of all capacity that is evicted at once where a store is full. At
/// two rounds a second, all of it is replaced in five seconds: half the time in
/// which new weights reach all runners.
constexpr double let_go_part = 0.1;
/// Fraction of all capacity that is kept free, while there are parts of
/// replaced weights, once all runners have the new ones; before that, it is
/// less in proportion to the runners that have them. A part is freed seconds
/// after its eviction, and until then the saves of those seconds need capacity.
constexpr double reserve_part = 0.45;

} // namespace

std::uint32_t
KeptRoom::room_of(std::uint32_t tokens)
{
    return (tokens + room_step - 1) / room_step * room_step;
}

void
KeptRoom::set_stores(std::span<const KeptStoreInfo> stores)
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
KeptRoom::clear()
{
    m_full = false;
    for (auto& [address, store] : m_stores)
        store = Store{store.info};
}

KeptRoom::Store*
KeptRoom::find(std::string_view store)
{
    const auto found = m_stores.find(store);
    return found == m_stores.end() ? nullptr : &found->second;
}

const KeptRoom::Store*
KeptRoom::find(std::string_view store) const
{
    const auto found = m_stores.find(store);
    return found == m_stores.end() ? nullptr : &found->second;
}

bool
KeptRoom::contains(std::string_view store) const
{
    return find(store) != nullptr;
}

std::uint64_t
KeptRoom::boot(std::string_view store) const
{
    const Store* known = find(store);
    return known ? known->boot : 0;
}

bool
KeptRoom::is_reachable(std::string_view store) const
{
    const Store* known = find(store);
    return known && known->reachable;
}

std::optional<TimePoint>
KeptRoom::listed_at(std::string_view store) const
{
    const Store* known = find(store);
    return known ? std::optional(known->listed_at) : std::nullopt;
}

bool
KeptRoom::all_told() const
{
    return std::all_of(m_stores.begin(), m_stores.end(),
                       [](const auto& item) { return item.second.boot != 0; });
}

bool
KeptRoom::take_boot(std::string_view store, std::uint64_t boot,
                    TimePoint write_from)
{
    Store* const known = find(store);
    if (!known)
        return false;
    const bool forgot_all = known->boot != 0 && known->boot != boot;
    known->boot = boot;
    if (!forgot_all)
        return false;
    known->used_tokens = 0;
    known->write_from = write_from;
    return true;
}

void
KeptRoom::listed(std::string_view store, TimePoint now)
{
    if (Store* const known = find(store)) {
        known->reachable = true;
        known->listed_at = now;
    }
}

void
KeptRoom::set_reachable(std::string_view store, bool reachable)
{
    if (Store* const known = find(store))
        known->reachable = reachable;
}

void
KeptRoom::take(std::string_view store, std::uint32_t tokens)
{
    if (Store* const known = find(store))
        known->used_tokens += tokens;
}

void
KeptRoom::give_back(std::string_view store, std::uint32_t tokens)
{
    if (Store* const known = find(store))
        known->used_tokens -=
            std::min<std::uint64_t>(known->used_tokens, tokens);
}

double
KeptRoom::slowest_link() const
{
    double slowest = std::numeric_limits<double>::max();
    for (const auto& [address, store] : m_stores)
        slowest = std::min(slowest, store.info.link_bytes_per_second);
    return slowest;
}

/// Returns whether a store can be written to.
bool
KeptRoom::is_open(const Store& store, TimePoint now)
{
    return store.reachable && store.boot != 0 && now >= store.write_from;
}

bool
KeptRoom::has_room(const Store& store, std::uint32_t tokens,
                   bool forerunner) const
{
    const bool reserved =
        !forerunner && store.info.link_bytes_per_second > slowest_link();
    const double part = filled_part - (reserved ? forerunner_part : 0);
    return static_cast<double>(store.used_tokens + tokens) <=
           part * static_cast<double>(store.info.capacity_tokens);
}

std::string
KeptRoom::place_for(std::uint32_t tokens, bool forerunner,
                    const std::function<bool(const std::string&)>& may_have,
                    TimePoint now)
{
    using Rank = std::tuple<bool, double, double>;
    std::string best;
    Rank best_rank;
    bool any_full = false;
    for (const auto& [address, store] : m_stores) {
        if (!is_open(store, now) || may_have(address))
            continue;
        if (!has_room(store, tokens, forerunner)) {
            any_full = true;
            continue;
        }
        const double link = std::max(store.info.link_bytes_per_second, 1.0);
        const double filling =
            static_cast<double>(store.used_tokens + tokens) / link;
        const Rank rank{m_slow.contains(address), forerunner ? -link : 0,
                        filling};
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
KeptRoom::free_part(std::uint64_t let_go) const
{
    double room = 0;
    double used = 0;
    for (const auto& [address, store] : m_stores) {
        room += static_cast<double>(store.info.capacity_tokens);
        used += static_cast<double>(store.used_tokens);
    }
    used -= static_cast<double>(let_go);
    return room > 0 ? 1 - used / room : 1;
}

bool
KeptRoom::is_low(double updated_fraction, std::uint64_t let_go) const
{
    return free_part(let_go) < reserve_part * updated_fraction;
}

double
KeptRoom::tokens_to_let_go() const
{
    double tokens = 0;
    for (const auto& [address, store] : m_stores)
        tokens += let_go_part * static_cast<double>(store.info.capacity_tokens);
    return tokens;
}

} // namespace crosslink
