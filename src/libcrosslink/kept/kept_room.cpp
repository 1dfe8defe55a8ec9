// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of the directory that finds room in the stores, and makes some.

#include <crosslink/kept/kept_directory.h>

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace crosslink
{

namespace
{

/// Part of a store that is filled; the rest is for saves that broke off.
constexpr double filled_part = 0.97;
/// Part of the stores with faster links that is kept for forerunners. They take
/// a hundredth of all room, but for each weights version and each term.
constexpr double forerunner_part = 0.2;
/// A part asked for within this time is not let go for another one.
constexpr Micros in_use_time = std::chrono::seconds(20);
/// Part of all room that is let go at once where a store is full. At two
/// rounds a second, all room is given anew in five seconds: half the time in
/// which new weights reach all runners.
constexpr double let_go_part = 0.1;
/// Part of all room that is kept free, while there are parts of replaced
/// weights, once all runners changed to new ones; before, it is less in
/// proportion to the runners that changed. A part is freed seconds after it was
/// let go, and until then the saves of those seconds need room.
constexpr double reserve_part = 0.45;

} // namespace

double
KeptDirectory::slowest_link() const
{
    double slowest = std::numeric_limits<double>::max();
    for (const auto& [address, state] : m_stores)
        slowest = std::min(slowest, state.info.link_bytes_per_second);
    return slowest;
}

bool
KeptDirectory::has_room(const StoreState& state, std::uint32_t tokens,
                        bool forerunner) const
{
    const bool reserved =
        !forerunner && state.info.link_bytes_per_second > slowest_link();
    const double part = filled_part - (reserved ? forerunner_part : 0);
    return static_cast<double>(state.used_tokens + tokens) <=
           part * static_cast<double>(state.info.capacity_tokens);
}

/// Returns whether a store has the part, or may have it or get it.
bool
KeptDirectory::may_have(const std::string& store, const KeptKey& key) const
{
    const auto entry = m_parts.find(key);
    return (entry != m_parts.end() && entry->second.store == store) ||
           m_leftovers.contains(store, key);
}

/// Returns the store that a part should be saved to; empty where none has room.
/// A forerunner, a part that others of the prompt follow, goes to the fastest
/// link: it is fetched for many prompts. Other parts fill the stores in
/// proportion to their links, so that reads spread alike.
std::string
KeptDirectory::place_for(std::uint32_t tokens, bool forerunner,
                         const KeptKey& key, TimePoint now)
{
    using Rank = std::tuple<bool, double, double>;
    std::string best;
    Rank best_rank;
    bool any_full = false;
    for (const auto& [address, state] : m_stores) {
        if (!state.reachable || state.boot == 0 || now < state.write_from ||
            may_have(address, key))
            continue;
        if (!has_room(state, tokens, forerunner)) {
            any_full = true;
            continue;
        }
        const double link = std::max(state.info.link_bytes_per_second, 1.0);
        const double filling =
            static_cast<double>(state.used_tokens + tokens) / link;
        const Rank rank{m_slow.contains(address), forerunner ? -link : 0,
                        filling};
        if (best.empty() || rank < best_rank) {
            best = address;
            best_rank = rank;
        }
    }
    // Stores that can't be written to now are not full.
    if (best.empty() && any_full)
        m_full = true;
    return best;
}

std::vector<KeptDirectory::Dispensable>
KeptDirectory::dispensable(TimePoint now)
{
    std::map<std::string, std::uint64_t> newest;
    std::vector<Dispensable> result;
    for (auto& [key, entry] : m_parts) {
        const auto space = KeptSpace::parse(key.first);
        if (entry.state != State::Held || !space)
            continue;
        auto& version = newest[space->model];
        version = std::max(version, space->version);
        result.push_back({space->model, space->version, false, &key, &entry});
    }
    for (Dispensable& item : result)
        item.replaced = item.version < newest[item.model];
    std::erase_if(result, [now](const Dispensable& item) {
        return !item.replaced && now - item.entry->asked <= in_use_time;
    });
    // Parts of replaced weights first, then those asked for least lately.
    std::sort(result.begin(), result.end(),
              [](const Dispensable& one, const Dispensable& other) {
                  if (one.replaced != other.replaced)
                      return one.replaced;
                  return one.entry->asked < other.entry->asked;
              });
    return result;
}

double
KeptDirectory::free_part() const
{
    double room = 0;
    double used = 0;
    for (const auto& [address, state] : m_stores) {
        room += static_cast<double>(state.info.capacity_tokens);
        used += static_cast<double>(state.used_tokens);
    }
    for (const auto& [key, entry] : m_parts)
        if (entry.state == State::LetGo)
            used -= entry.tokens;
    return room > 0 ? 1 - used / room : 1;
}

void
KeptDirectory::make_room(double changed_part, TimePoint now)
{
    const bool low = free_part() < reserve_part * changed_part;
    if (!m_full && !low)
        return;
    double wanted = 0;
    for (const auto& [address, state] : m_stores)
        wanted += let_go_part * static_cast<double>(state.info.capacity_tokens);
    for (const Dispensable& item : dispensable(now)) {
        if (wanted <= 0 || (!m_full && !item.replaced))
            break;
        wanted -= item.entry->tokens;
        let_go(*item.key, *item.entry, now);
    }
    m_full = false;
}

void
KeptDirectory::let_go_obsolete(
    const std::function<bool(const KeptSpace&)>& obsolete, TimePoint now)
{
    for (auto& [key, entry] : m_parts) {
        if (entry.state != State::Held)
            continue;
        const auto space = KeptSpace::parse(key.first);
        if (!space || obsolete(*space))
            let_go(key, entry, now);
    }
}

std::vector<KeptFree>
KeptDirectory::due(const std::function<bool(const KeptSpace&)>& obsolete,
                   double changed_part, TimePoint now)
{
    make_room(changed_part, now);
    let_go_obsolete(obsolete, now);
    std::map<std::string, KeptFree> frees;
    for (auto& [key, entry] : m_parts) {
        if (entry.state != State::LetGo || entry.told_free ||
            !may_free(key, entry.due, now) ||
            !m_stores.find(entry.store)->second.reachable)
            continue;
        entry.told_free = true;
        add_free(frees, entry.store, key, entry.tokens);
    }
    free_leftovers(frees, now);
    std::vector<KeptFree> result;
    result.reserve(frees.size());
    for (auto& [store, free] : frees)
        result.push_back(std::move(free));
    return result;
}

void
KeptDirectory::add_free(std::map<std::string, KeptFree>& frees,
                        const std::string& store, const KeptKey& key,
                        std::uint32_t tokens) const
{
    KeptFree& free = frees[store];
    free.store = store;
    free.boot = m_stores.find(store)->second.boot;
    free.parts.push_back({key.first, key.second, tokens});
}

void
KeptDirectory::free_leftovers(std::map<std::string, KeptFree>& frees,
                              TimePoint now)
{
    const auto may_free_now = [this, now](const KeptLeftover& left) {
        return m_stores.find(left.store)->second.reachable &&
               may_free(left.key, left.due, now);
    };
    for (const KeptLeftover& left : m_leftovers.take_due(may_free_now, now)) {
        add_free(frees, left.store, left.key, left.tokens);
        m_stores.find(left.store)->second.give_back(left.tokens);
    }
}

} // namespace crosslink
