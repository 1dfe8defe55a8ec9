// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/kept_replica.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Minimum validity, in milliseconds, of an answer that is used: a fetch takes
/// some time.
constexpr RunnerMillis min_validity = 300;
/// Number of changes retained for the instances that get their updates from
/// this one. An instance that missed more gets the whole directory, some ten
/// kilobytes.
constexpr std::size_t max_changes = 2000;

} // namespace

void
KeptReplica::take(const KeptUpdate& update, TimePoint asked)
{
    if (!update.ready || update.clock == 0)
        return;
    if (update.term < m_term || (!update.is_snapshot && update.term != m_term))
        return;
    if (update.is_snapshot) {
        m_stores.clear();
        m_terms.clear();
        m_changes.clear();
        m_history_start = update.place;
    }
    m_term = update.term;
    m_place = update.place;
    // Attributed to the time of the request, so that the estimated clock is
    // never behind the runners' clock.
    m_clock.set(update.clock, asked - update.age);
    for (const KeptEntry& entry : update.entries) {
        apply(entry);
        if (!update.is_snapshot)
            retain(update.place, entry);
    }
}

void
KeptReplica::apply(const KeptEntry& entry)
{
    const KeptKey key{entry.space, entry.id};
    if (entry.store.empty()) {
        m_stores.erase(key);
        return;
    }
    m_stores[key] = entry.store;
    if (const auto space = KeptSpace::parse(entry.space))
        m_terms.insert(space->term);
}

void
KeptReplica::retain(std::uint64_t place, const KeptEntry& entry)
{
    m_changes.push_back({place, entry});
    while (m_changes.size() > max_changes) {
        m_history_start = m_changes.front().place;
        m_changes.pop_front();
    }
}

std::vector<KeptEntry>
KeptReplica::all_entries() const
{
    std::vector<KeptEntry> entries;
    entries.reserve(m_stores.size());
    for (const auto& [key, store] : m_stores)
        entries.push_back({key.first, key.second, store});
    return entries;
}

KeptUpdate
KeptReplica::update_since(std::uint64_t term, std::uint64_t place,
                          TimePoint now) const
{
    KeptUpdate update;
    if (!m_clock.is_known())
        return update;
    update.ready = true;
    update.term = m_term;
    update.clock = m_clock.reported();
    update.age = now - m_clock.reported_at();
    update.is_snapshot = term != m_term || place < m_history_start;
    update.place = update.is_snapshot ? m_place : std::max(place, m_place);
    if (update.is_snapshot) {
        update.entries = all_entries();
        return update;
    }
    for (const Change& change : m_changes)
        if (change.place > place)
            update.entries.push_back(change.entry);
    return update;
}

std::optional<KeptAnswer>
KeptReplica::find(const KeptSpace& space, std::span<const PromptPart> parts,
                  bool best_effort, TimePoint now) const
{
    const auto validity = static_cast<RunnerMillis>(kept_answer_time.count());
    KeptAnswer answer;
    answer.clock = m_clock.at(now);
    const RunnerMillis until = m_clock.reported() + validity;
    if (!m_clock.is_known() || parts.empty() ||
        answer.clock + min_validity > until)
        return std::nullopt;
    KeptSpace wanted = space;
    for (const std::uint64_t term : m_terms) {
        wanted.term = term;
        const std::string text = wanted.text();
        if (!m_stores.contains({text, parts.back().id}))
            continue;
        answer.space = text;
        for (const PromptPart& part : parts) {
            const auto found = m_stores.find({text, part.id});
            if (found != m_stores.end())
                answer.places.push_back({KeptPlace::Kind::Fetch, found->second,
                                         until, KeptPlace::Reason::Unknown});
            else if (best_effort || term != m_term)
                answer.places.emplace_back();
            else
                return std::nullopt;
        }
        return answer;
    }
    return std::nullopt;
}

} // namespace crosslink
