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

std::vector<KeptDirectory::EvictionCandidate>
KeptDirectory::eviction_candidates(TimePoint now)
{
    std::map<std::string, std::uint64_t> newest;
    std::vector<EvictionCandidate> result;
    for (auto& [key, entry] : m_parts) {
        const auto space = KeptSpace::parse(key.first);
        if (entry.state != State::Stored || !space)
            continue;
        auto& version = newest[space->model];
        version = std::max(version, space->version);
        result.push_back({space->model, space->version, false, &key, &entry});
    }
    for (EvictionCandidate& item : result)
        item.replaced = item.version < newest[item.model];
    std::erase_if(result, [now](const EvictionCandidate& item) {
        return !item.replaced && now - item.entry->requested <= in_use_time;
    });
    // Parts of replaced weights first, then the least recently requested ones.
    std::sort(result.begin(), result.end(),
              [](const EvictionCandidate& one, const EvictionCandidate& other) {
                  if (one.replaced != other.replaced)
                      return one.replaced;
                  return one.entry->requested < other.entry->requested;
              });
    return result;
}

/// Returns the capacity of parts that are evicted and not freed yet.
std::uint64_t
KeptDirectory::evicted_tokens() const
{
    std::uint64_t tokens = 0;
    for (const auto& [key, entry] : m_parts)
        if (entry.state == State::Evicted)
            tokens += entry.tokens;
    return tokens;
}

void
KeptDirectory::evict_for_capacity(double updated_fraction, TimePoint now)
{
    const bool full = m_capacity.is_full();
    if (!full && !m_capacity.below_reserve(updated_fraction, evicted_tokens()))
        return;
    double wanted = m_capacity.tokens_to_evict();
    for (const EvictionCandidate& item : eviction_candidates(now)) {
        if (wanted <= 0 || (!full && !item.replaced))
            break;
        wanted -= item.entry->tokens;
        evict(*item.key, *item.entry, now);
    }
    m_capacity.clear_full();
}

void
KeptDirectory::evict_obsolete(
    const std::function<bool(const KeptSpace&)>& obsolete, TimePoint now)
{
    for (auto& [key, entry] : m_parts) {
        if (entry.state != State::Stored)
            continue;
        const auto space = KeptSpace::parse(key.first);
        if (!space || obsolete(*space))
            evict(key, entry, now);
    }
}

std::vector<KeptFree>
KeptDirectory::take_due_frees(
    const std::function<bool(const KeptSpace&)>& obsolete,
    double updated_fraction, TimePoint now)
{
    evict_for_capacity(updated_fraction, now);
    evict_obsolete(obsolete, now);
    std::map<std::string, KeptFree> frees;
    for (auto& [key, entry] : m_parts) {
        if (entry.state != State::Evicted || entry.free_requested ||
            !may_free(key, entry.due, now) ||
            !m_capacity.is_reachable(entry.store))
            continue;
        entry.free_requested = true;
        add_free(frees, entry.store, key, entry.tokens);
    }
    free_stale_parts(frees, now);
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
    free.boot = m_capacity.boot(store);
    free.parts.push_back({key.first, key.second, tokens});
}

void
KeptDirectory::free_stale_parts(std::map<std::string, KeptFree>& frees,
                                TimePoint now)
{
    const auto may_free_now = [this, now](const StalePart& stale) {
        return m_capacity.is_reachable(stale.store) &&
               may_free(stale.key, stale.due, now);
    };
    for (const StalePart& stale : m_stale_parts.take_due(may_free_now, now)) {
        add_free(frees, stale.store, stale.key, stale.tokens);
        m_capacity.release(stale.store, stale.tokens);
    }
}

} // namespace crosslink
