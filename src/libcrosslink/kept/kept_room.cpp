// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of the directory that finds room in the stores, and makes some.

#include <crosslink/kept/kept_directory.h>

#include <algorithm>
#include <utility>

namespace crosslink
{

namespace
{

/// Part of a store that is filled; the rest is for saves that broke off.
constexpr double filled_part = 0.97;
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

std::string
KeptDirectory::place_for(std::uint32_t tokens, TimePoint now)
{
    // Reads spread over the stores in proportion to their links while the
    // filling of each is in proportion to its link.
    std::string best;
    double best_filling = 0;
    bool any_full = false;
    for (const auto& [address, state] : m_stores) {
        if (!state.reachable || state.boot == 0 || now < state.write_from)
            continue;
        const double capacity =
            filled_part * static_cast<double>(state.info.capacity_tokens);
        if (static_cast<double>(state.used_tokens + tokens) > capacity) {
            any_full = true;
            continue;
        }
        const double filling = static_cast<double>(state.used_tokens + tokens) /
                               std::max(state.info.link_bytes_per_second, 1.0);
        if (best.empty() || filling < best_filling) {
            best = address;
            best_filling = filling;
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
            !may_free(key, entry, now))
            continue;
        const StoreState& state = m_stores.find(entry.store)->second;
        if (!state.reachable)
            continue;
        entry.told_free = true;
        KeptFree& free = frees[entry.store];
        free.store = entry.store;
        free.boot = state.boot;
        free.parts.push_back({key.first, key.second, entry.tokens});
    }
    std::vector<KeptFree> result;
    result.reserve(frees.size());
    for (auto& [store, free] : frees)
        result.push_back(std::move(free));
    return result;
}

} // namespace crosslink
