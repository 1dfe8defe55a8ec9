// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of the directory that evicts parts and has the stores free them.

#include <crosslink/kept/kept_directory.h>

#include <algorithm>
#include <utility>

namespace crosslink
{

namespace
{

/// A part that was requested within this time is not evicted to free up
/// capacity, unless newer weights have parts already.
constexpr Micros in_use_time = std::chrono::seconds(20);

} // namespace

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
    // Parts of replaced weights first, then the least recently requested ones.
    std::sort(result.begin(), result.end(),
              [](const Dispensable& one, const Dispensable& other) {
                  if (one.replaced != other.replaced)
                      return one.replaced;
                  return one.entry->asked < other.entry->asked;
              });
    return result;
}

/// Returns the capacity of parts that are evicted and not freed yet.
std::uint64_t
KeptDirectory::let_go_tokens() const
{
    std::uint64_t tokens = 0;
    for (const auto& [key, entry] : m_parts)
        if (entry.state == State::LetGo)
            tokens += entry.tokens;
    return tokens;
}

void
KeptDirectory::make_room(double updated_fraction, TimePoint now)
{
    const bool full = m_room.is_full();
    if (!full && !m_room.is_low(updated_fraction, let_go_tokens()))
        return;
    double wanted = m_room.tokens_to_let_go();
    for (const Dispensable& item : dispensable(now)) {
        if (wanted <= 0 || (!full && !item.replaced))
            break;
        wanted -= item.entry->tokens;
        let_go(*item.key, *item.entry, now);
    }
    m_room.made();
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
KeptDirectory::take_due_frees(
    const std::function<bool(const KeptSpace&)>& obsolete,
    double updated_fraction, TimePoint now)
{
    make_room(updated_fraction, now);
    let_go_obsolete(obsolete, now);
    std::map<std::string, KeptFree> frees;
    for (auto& [key, entry] : m_parts) {
        if (entry.state != State::LetGo || entry.told_free ||
            !may_free(key, entry.due, now) || !m_room.is_reachable(entry.store))
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
    free.boot = m_room.boot(store);
    free.parts.push_back({key.first, key.second, tokens});
}

void
KeptDirectory::free_leftovers(std::map<std::string, KeptFree>& frees,
                              TimePoint now)
{
    const auto may_free_now = [this, now](const KeptLeftover& left) {
        return m_room.is_reachable(left.store) &&
               may_free(left.key, left.due, now);
    };
    for (const KeptLeftover& left : m_leftovers.take_due(may_free_now, now)) {
        add_free(frees, left.store, left.key, left.tokens);
        m_room.give_back(left.store, left.tokens);
    }
}

} // namespace crosslink
