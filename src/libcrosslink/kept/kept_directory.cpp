// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/kept_directory.h>

#include <algorithm>
#include <iterator>

namespace crosslink
{

namespace
{

/// Beyond kept_answer_time: the runners' clock as told here may lag by one
/// answer of a store on its way.
constexpr Micros clock_slack = std::chrono::milliseconds(500);
/// A store is not listed more often than this for saves that are overdue.
constexpr Micros listing_pause = std::chrono::seconds(3);

} // namespace

/// Returns when what is told at `now` holds no more.
TimePoint
KeptDirectory::told_until(TimePoint now)
{
    return now + kept_answer_time + clock_slack;
}

void
KeptDirectory::set_stores(std::span<const KeptStoreInfo> stores)
{
    m_room.set_stores(stores);
    for (auto entry = m_parts.begin(); entry != m_parts.end();) {
        const auto following = std::next(entry);
        if (!m_room.contains(entry->second.store))
            drop(entry);
        entry = following;
    }
    m_leftovers.forget_stores(
        [this](const std::string& store) { return !m_room.contains(store); });
}

void
KeptDirectory::begin(std::uint64_t term, TimePoint now)
{
    m_began = now;
    m_silent_from = now + kept_grace_time;
    m_history = {};
    m_parts.clear();
    m_leftovers.clear();
    m_term = term;
    m_terms = {term};
    m_clock = {};
    m_room.clear();
}

/// Takes note that a store has forgotten all.
void
KeptDirectory::forget_parts(std::string_view store)
{
    for (auto entry = m_parts.begin(); entry != m_parts.end();) {
        const auto next = std::next(entry);
        if (entry->second.store == store) {
            entry->second.store.clear();
            note(entry->first, entry->second);
            m_parts.erase(entry);
        }
        entry = next;
    }
    m_leftovers.forget_stores(
        [store](const std::string& other) { return other == store; });
}

/// Takes note that a part takes room in a store.
void
KeptDirectory::occupy(Entry& entry, const std::string& store,
                      std::uint32_t tokens)
{
    entry.store = store;
    entry.tokens = KeptRoom::room_of(tokens);
    m_room.take(store, entry.tokens);
}

/// Takes note that a store has a part whole.
void
KeptDirectory::hold(const std::string& store, const KeptPart& part,
                    TimePoint now)
{
    const auto space = KeptSpace::parse(part.space);
    // A later holder saved it, and frees it without a word to this one.
    if (space && space->term > m_term)
        return;
    const auto [place, added] = m_parts.try_emplace({part.space, part.id});
    Entry& entry = place->second;
    // A part that is let go, or that lies elsewhere, stays as it is.
    if (!added && (entry.state == State::LetGo || entry.store != store))
        return;
    if (added) {
        if (space)
            m_terms.insert(space->term);
        entry.asked = now;
        occupy(entry, store, part.tokens);
    }
    if (entry.state != State::Held) {
        entry.state = State::Held;
        note(place->first, entry);
    }
}

/// Takes note of what is told of a part from now on.
void
KeptDirectory::note(const KeptKey& key, const Entry& entry)
{
    const bool told = entry.state == State::Held;
    m_history.add({key.first, key.second, told ? entry.store : std::string()});
}

KeptUpdate
KeptDirectory::update_since(std::uint64_t term, std::uint64_t place,
                            TimePoint now) const
{
    KeptUpdate update;
    update.ready = m_clock.is_known();
    update.term = m_term;
    update.place = m_history.place();
    update.clock = runner_clock(now);
    if (!update.ready)
        return update;
    if (auto changes = m_history.since(place); changes && term == m_term) {
        update.entries = std::move(*changes);
        return update;
    }
    update.is_snapshot = true;
    for (const auto& [key, entry] : m_parts)
        if (entry.state == State::Held)
            update.entries.push_back({key.first, key.second, entry.store});
    return update;
}

void
KeptDirectory::drop(Parts::iterator entry)
{
    m_room.give_back(entry->second.store, entry->second.tokens);
    if (entry->second.state == State::Held) {
        entry->second.state = State::LetGo;
        note(entry->first, entry->second);
    }
    m_parts.erase(entry);
}

void
KeptDirectory::let_go(const KeptKey& key, Entry& entry, TimePoint now)
{
    entry.state = State::LetGo;
    note(key, entry);
    entry.due = told_until(now);
    entry.told_free = false;
}

/// Returns whether `space` is this holder's: only that one is written to.
bool
KeptDirectory::is_own(const std::string& space) const
{
    const auto parsed = KeptSpace::parse(space);
    return parsed && parsed->term == m_term;
}

/// Returns whether nothing that was told of a part that was let go holds any
/// more. What an earlier holder saved, that one may go on telling.
bool
KeptDirectory::may_free(const KeptKey& key, TimePoint due, TimePoint now) const
{
    if (now < due)
        return false;
    return is_own(key.first) || now >= told_until(m_silent_from);
}

void
KeptDirectory::earlier_holders_stopped(TimePoint now)
{
    m_silent_from = std::min(m_silent_from, std::max(now, m_began));
}

void
KeptDirectory::apply_listing(std::string_view store, const KeptListing& listing,
                             TimePoint now)
{
    if (!m_room.contains(store))
        return;
    const std::string address(store);
    if (m_room.take_boot(address, listing.boot, told_until(now)))
        forget_parts(address);
    m_clock.advance(listing.clock, now);
    m_room.listed(address, now);
    take_whole(address, listing.whole, now);
    take_broken(address, listing.broken, now);
    drop_missing(address, listing, now);
}

/// Takes in the parts that a store lists as whole.
void
KeptDirectory::take_whole(const std::string& store,
                          std::span<const KeptPart> parts, TimePoint now)
{
    for (const KeptPart& part : parts) {
        hold(store, part, now);
        const auto known = m_parts.find({part.space, part.id});
        if (known == m_parts.end())
            continue;
        Entry& entry = known->second;
        // Two holders of the duty, or one that moved it, had it saved twice.
        if (entry.store != store &&
            !m_leftovers.contains(store, known->first)) {
            const std::uint32_t room = KeptRoom::room_of(part.tokens);
            m_room.take(store, room);
            m_leftovers.add(store, known->first, room, told_until(now));
        }
        // It is still there long after the store was asked to free it.
        if (entry.told_free && now >= entry.due + listing_pause)
            entry.told_free = false;
    }
}

/// Lets go of the parts that a store lists as broken off, save those whose
/// call may still be writing.
void
KeptDirectory::take_broken(const std::string& store,
                           std::span<const KeptPart> parts, TimePoint now)
{
    for (const KeptPart& part : parts) {
        const auto [place, added] = m_parts.try_emplace({part.space, part.id});
        Entry& entry = place->second;
        if (added)
            occupy(entry, store, part.tokens);
        const bool ended = added || now >= entry.due;
        if (entry.store == store && entry.state != State::LetGo && ended)
            let_go(place->first, entry, now);
    }
}

/// Drops the parts of a store that it does not list, save those that a call
/// may be about to write.
void
KeptDirectory::drop_missing(const std::string& store,
                            const KeptListing& listing, TimePoint now)
{
    std::set<KeptKey> there;
    for (const KeptPart& part : listing.whole)
        there.insert({part.space, part.id});
    for (const KeptPart& part : listing.broken)
        there.insert({part.space, part.id});
    for (auto entry = m_parts.begin(); entry != m_parts.end();) {
        const auto next = std::next(entry);
        const bool here = entry->second.store == store;
        const bool may_be_under_way =
            entry->second.state == State::Saving && now < entry->second.due;
        if (here && !may_be_under_way && !there.contains(entry->first))
            drop(entry);
        entry = next;
    }
}

bool
KeptDirectory::apply_changes(std::string_view store, const KeptChanges& changes,
                             TimePoint now)
{
    if (!m_room.contains(store))
        return true;
    if (changes.boot != m_room.boot(store) || changes.lost)
        return false;
    const std::string address(store);
    m_clock.advance(changes.clock, now);
    m_room.set_reachable(address, true);
    for (const KeptChange& change : changes.changes) {
        if (change.stored) {
            hold(address, change.part, now);
            continue;
        }
        const auto entry = m_parts.find({change.part.space, change.part.id});
        if (entry != m_parts.end() && entry->second.store == store &&
            entry->second.state != State::Saving)
            drop(entry);
    }
    return true;
}

void
KeptDirectory::unreachable(std::string_view store)
{
    m_room.set_reachable(store, false);
}

bool
KeptDirectory::wants_listing(std::string_view store, TimePoint now) const
{
    const auto listed_at = m_room.listed_at(store);
    if (!listed_at || now < *listed_at + listing_pause)
        return false;
    return std::any_of(m_parts.begin(), m_parts.end(), [&](const auto& item) {
        const Entry& entry = item.second;
        const bool overdue = entry.state == State::Saving && now >= entry.due;
        // A store tells nothing of a free whose event was lost.
        const bool unfreed = entry.state == State::LetGo && entry.told_free &&
                             now >= entry.due + listing_pause;
        return entry.store == store && (overdue || unfreed);
    });
}

} // namespace crosslink
