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
constexpr Micros learning_time = std::chrono::milliseconds(1500);
/// A save usually ends within this time; it takes 0.2 to 1 s. No save is made
/// where the caller leaves or the runner changes its weights first.
constexpr Micros usual_save_time = std::chrono::milliseconds(1500);

} // namespace

/// Returns whether the contents of all reachable stores are known.
bool
KeptDirectory::knows_stores(TimePoint now) const
{
    return now > m_began + learning_time || m_room.all_told();
}

KeptPlace
KeptDirectory::place_of(const Entry& entry, TimePoint now) const
{
    using Reason = KeptPlace::Reason;
    if (entry.state == State::Saving)
        return KeptPlace::read(Reason::BeingSaved);
    if (entry.state == State::LetGo)
        return KeptPlace::read(Reason::BeingFreed);
    if (!m_room.is_reachable(entry.store))
        return KeptPlace::read(Reason::StoreUnreachable);
    if (!m_clock.is_known())
        return KeptPlace::read(Reason::Unknown);
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
        if (found != m_parts.end() && found->second.state == State::Held)
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
        const bool forerunner = &part != &parts.back();
        answer.places.push_back(ask_part({answer.space, part.id, part.tokens},
                                         forerunner, longest, now));
    }
    return answer;
}

KeptPlace
KeptDirectory::ask_part(const KeptPart& part, bool forerunner, Micros longest,
                        TimePoint now)
{
    const KeptKey key{part.space, part.id};
    const auto found = m_parts.find(key);
    Entry* const known = found == m_parts.end() ? nullptr : &found->second;
    if (known)
        known->asked = now;
    if (known && !should_move(*known, now))
        return place_of(*known, now);
    const auto unless_known = [&](KeptPlace::Reason reason) {
        return known ? place_of(*known, now) : KeptPlace::read(reason);
    };
    if (!is_own(part.space))
        return unless_known(KeptPlace::Reason::OtherTerm);
    // It may be in a store that is not listed yet.
    if (!knows_stores(now))
        return KeptPlace::read(KeptPlace::Reason::Unknown);
    const std::string store = m_room.place_for(
        KeptRoom::room_of(part.tokens), forerunner,
        [&](const std::string& other) { return may_have(other, key); }, now);
    if (store.empty())
        return unless_known(m_room.is_full()
                                ? KeptPlace::Reason::NoRoom
                                : KeptPlace::Reason::StoreUnreachable);
    if (known)
        move_away(key, *known, now);
    return place_part(key, store, part.tokens, longest, now);
}

/// Returns whether a store has the part, may have it or may still get it.
bool
KeptDirectory::may_have(const std::string& store, const KeptKey& key) const
{
    const auto entry = m_parts.find(key);
    return (entry != m_parts.end() && entry->second.store == store) ||
           m_leftovers.contains(store, key);
}

/// Makes a part stale in its store, so that it can be saved to another one.
void
KeptDirectory::move_away(const KeptKey& key, Entry& entry, TimePoint now)
{
    m_leftovers.add(entry.store, key, entry.tokens,
                    std::max(entry.due, told_until(now)));
    entry.state = State::Saving;
    note(key, entry);
}

/// Assigns the save of a part to one call.
KeptPlace
KeptDirectory::place_part(const KeptKey& key, const std::string& store,
                          std::uint32_t tokens, Micros longest, TimePoint now)
{
    Entry entry;
    occupy(entry, store, tokens);
    entry.asked = now;
    entry.placed = now;
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
        return now >= entry.placed + usual_save_time;
    return entry.state == State::Held && m_room.contains(entry.store) &&
           !m_room.is_reachable(entry.store);
}

void
KeptDirectory::not_saved(const KeptPart& part)
{
    const KeptKey key{part.space, part.id};
    const auto entry = m_parts.find(key);
    // Where the part was moved, it is not known whose save did not run.
    if (entry != m_parts.end() && entry->second.state == State::Saving &&
        !m_leftovers.contains(key))
        drop(entry);
}

} // namespace crosslink
