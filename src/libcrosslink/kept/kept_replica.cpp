// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/kept_replica.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// A fetch needs some time: what holds for less is not used.
constexpr RunnerMillis least_left = 300;

} // namespace

void
KeptReplica::take(const KeptUpdate& update, TimePoint asked)
{
    if (!update.ready || update.clock == 0)
        return;
    if (update.whole) {
        m_places.clear();
        m_terms.clear();
    } else if (update.term != m_term) {
        return;
    }
    m_term = update.term;
    m_place = update.place;
    // Counted from the question on, the clock is never told too early.
    m_clock.set(update.clock, asked);
    for (const KeptEntry& entry : update.entries) {
        const KeptKey key{entry.space, entry.id};
        if (entry.store.empty()) {
            m_places.erase(key);
            continue;
        }
        m_places[key] = entry.store;
        if (const auto space = KeptSpace::parse(entry.space))
            m_terms.insert(space->term);
    }
}

std::optional<KeptAnswer>
KeptReplica::find(const KeptSpace& space, std::span<const PromptPart> parts,
                  bool best_effort, TimePoint now) const
{
    const auto holds = static_cast<RunnerMillis>(kept_answer_time.count());
    KeptAnswer answer;
    answer.clock = m_clock.at(now);
    const RunnerMillis until = m_clock.told() + holds;
    if (!m_clock.is_known() || parts.empty() ||
        answer.clock + least_left > until)
        return std::nullopt;
    KeptSpace wanted = space;
    for (const std::uint64_t term : m_terms) {
        wanted.term = term;
        const std::string text = wanted.text();
        if (!m_places.contains({text, parts.back().id}))
            continue;
        answer.space = text;
        for (const PromptPart& part : parts) {
            const auto found = m_places.find({text, part.id});
            if (found != m_places.end())
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
