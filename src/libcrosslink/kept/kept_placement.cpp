// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of the directory that answers calls: where the parts of their
// prompts are stored, and which call saves a part.

#include <crosslink/kept/kept_directory.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// A new holder of the duty assigns no saves before it has listed all stores or
/// this time has passed, in which it finds out which of them are unreachable.
constexpr Micros discovery_time = std::chrono::milliseconds(1500);
/// A save usually ends within this time; it takes 0.2 to 1 s. No save is made
/// where the caller leaves or the runner changes its weights first.
constexpr Micros usual_save_time = std::chrono::milliseconds(1500);

} // namespace

/// Returns whether the contents of all reachable stores are known.
bool
KeptDirectory::knows_stores(TimePoint now) const
{
    return now > m_started + discovery_time || m_capacity.all_reported();
}

KeptPlace
KeptDirectory::place_of(const Entry& entry, TimePoint now) const
{
    using Reason = KeptPlace::Reason;
    if (entry.state == State::Saving)
        return KeptPlace::compute(Reason::BeingSaved);
    if (entry.state == State::Evicted)
        return KeptPlace::compute(Reason::BeingFreed);
    if (!m_capacity.is_reachable(entry.store))
        return KeptPlace::compute(Reason::StoreUnreachable);
    if (!m_clock.is_known())
        return KeptPlace::compute(Reason::Unknown);
    KeptPlace place;
    place.kind = KeptPlace::Kind::Fetch;
    place.store = entry.store;
    place.until =
        runner_clock(now) + static_cast<RunnerMillis>(kept_answer_time.count());
    return place;
}

/// Returns the space under which `last` is stored, of any term; otherwise the
/// space of the current term.
KeptSpace
KeptDirectory::space_of(const KeptSpace& wanted, const PromptPart& last) const
{
    KeptSpace space = wanted;
    for (const std::uint64_t term : m_terms) {
        space.term = term;
        const auto found = m_parts.find({space.text(), last.id});
        if (found != m_parts.end() && found->second.state == State::Stored)
            return space;
    }
    space.term = m_term;
    return space;
}

KeptAnswer
KeptDirectory::ask(const KeptSpace& space, std::span<const PromptPart> parts,
                   Micros longest, TimePoint now)
{
    KeptAnswer answer;
    answer.clock = runner_clock(now);
    if (parts.empty())
        return answer;
    answer.space = space_of(space, parts.back()).text();
    for (const PromptPart& part : parts) {
        const bool leading = &part != &parts.back();
        answer.places.push_back(answer_for({answer.space, part.id, part.tokens},
                                           leading, longest, now));
    }
    return answer;
}

KeptPlace
KeptDirectory::answer_for(const KeptPart& part, bool leading, Micros longest,
                          TimePoint now)
{
    const KeptKey key{part.space, part.id};
    const auto found = m_parts.find(key);
    Entry* const known = found == m_parts.end() ? nullptr : &found->second;
    if (known)
        known->requested = now;
    if (known && !should_move(*known, now))
        return place_of(*known, now);
    const auto unless_known = [&](KeptPlace::Reason reason) {
        return known ? place_of(*known, now) : KeptPlace::compute(reason);
    };
    const auto space = KeptSpace::parse(part.space);
    if (!space || space->term != m_term)
        return unless_known(KeptPlace::Reason::OtherTerm);
    // It may be in a store that is not listed yet.
    if (!knows_stores(now))
        return KeptPlace::compute(KeptPlace::Reason::Unknown);
    const std::string store = m_capacity.select_store(
        StoreCapacity::capacity_of(part.tokens), leading,
        [&](const std::string& other) {
            return may_have(other, key) ||
                   !space->allows(m_capacity.zone(other));
        },
        now);
    if (store.empty())
        return unless_known(m_capacity.is_full()
                                ? KeptPlace::Reason::NoRoom
                                : KeptPlace::Reason::StoreUnreachable);
    if (known)
        make_stale(key, *known, now);
    return assign_save(key, store, part.tokens, longest, now);
}

/// Returns whether a store has the part, may have it or may still get it.
bool
KeptDirectory::may_have(const std::string& store, const KeptKey& key) const
{
    const auto entry = m_parts.find(key);
    return (entry != m_parts.end() && entry->second.store == store) ||
           m_stale_parts.contains(store, key);
}

/// Makes a part stale in its store, so that it can be saved to another one.
void
KeptDirectory::make_stale(const KeptKey& key, Entry& entry, TimePoint now)
{
    m_stale_parts.add(entry.store, key, entry.tokens,
                      std::max(entry.due, answer_expiry(now)));
    entry.state = State::Saving;
    record_change(key, entry);
}

/// Assigns the save of a part to one call.
KeptPlace
KeptDirectory::assign_save(const KeptKey& key, const std::string& store,
                           std::uint32_t tokens, Micros longest, TimePoint now)
{
    Entry entry;
    occupy(entry, store, tokens);
    entry.requested = now;
    entry.assigned = now;
    entry.due = now + longest;
    m_parts[key] = entry;
    KeptPlace place;
    place.kind = KeptPlace::Kind::Save;
    place.store = store;
    return place;
}

/// Returns whether a part should be saved to another store: its call has not
/// saved it in the usual time, or its store does not answer.
bool
KeptDirectory::should_move(const Entry& entry, TimePoint now) const
{
    if (entry.state == State::Saving)
        return now >= entry.assigned + usual_save_time;
    return entry.state == State::Stored && m_capacity.contains(entry.store) &&
           !m_capacity.is_reachable(entry.store);
}

void
KeptDirectory::not_saved(const KeptPart& part)
{
    const KeptKey key{part.space, part.id};
    const auto entry = m_parts.find(key);
    // Where the part was moved, it is not known whose save did not run.
    if (entry != m_parts.end() && entry->second.state == State::Saving &&
        !m_stale_parts.contains(key))
        drop(entry);
}

} // namespace crosslink
