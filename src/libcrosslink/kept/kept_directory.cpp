// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/kept_directory.h>

#include <algorithm>
#include <iterator>

namespace crosslink
{

namespace
{

/// Added to kept_answer_time: the estimate of the runners' clock may lag by the
/// time that one response of a store takes.
constexpr Micros clock_slack = std::chrono::milliseconds(500);
/// Minimum time between listings of a store for saves or frees that are
/// overdue.
constexpr Micros listing_interval = std::chrono::seconds(3);

} // namespace

/// Returns when an answer given at `now` has expired.
TimePoint
KeptDirectory::answer_expiry(TimePoint now)
{
    return now + kept_answer_time + clock_slack;
}

void
KeptDirectory::set_stores(std::span<const KeptStoreInfo> stores)
{
    m_capacity.set_stores(stores);
    for (auto entry = m_parts.begin(); entry != m_parts.end();) {
        const auto following = std::next(entry);
        if (!m_capacity.contains(entry->second.store))
            drop(entry);
        entry = following;
    }
    m_stale_parts.remove_stores([this](const std::string& store) {
        return !m_capacity.contains(store);
    });
}

void
KeptDirectory::begin(std::uint64_t term, TimePoint now)
{
    m_started = now;
    m_earlier_stopped = now + kept_grace_time;
    m_history = {};
    m_parts.clear();
    m_stale_parts.clear();
    m_term = term;
    m_terms = {term};
    m_clock = {};
    m_capacity.clear();
}

/// Removes the parts of a store that restarted empty.
void
KeptDirectory::remove_parts(std::string_view store)
{
    for (auto entry = m_parts.begin(); entry != m_parts.end();) {
        const auto next = std::next(entry);
        if (entry->second.store == store) {
            entry->second.store.clear();
            record_change(entry->first, entry->second);
            m_parts.erase(entry);
        }
        entry = next;
    }
    m_stale_parts.remove_stores(
        [store](const std::string& other) { return other == store; });
}

/// Records that a part takes capacity in a store.
void
KeptDirectory::occupy(Entry& entry, const std::string& store,
                      std::uint32_t tokens)
{
    entry.store = store;
    entry.tokens = StoreCapacity::capacity_of(tokens);
    m_capacity.add_used(store, entry.tokens);
}

/// Records that a store has a complete part.
void
KeptDirectory::mark_stored(const std::string& store, const KeptPart& part,
                           TimePoint now)
{
    const auto space = KeptSpace::parse(part.space);
    // A later holder of the duty had it saved, and frees it without notice to
    // this one.
    if (space && space->term > m_term)
        return;
    const auto [place, added] = m_parts.try_emplace({part.space, part.id});
    Entry& entry = place->second;
    // A part that is evicted, or that is in another store, stays unchanged.
    if (!added && (entry.state == State::Evicted || entry.store != store))
        return;
    if (added) {
        if (space)
            m_terms.insert(space->term);
        entry.requested = now;
        occupy(entry, store, part.tokens);
    }
    if (entry.state != State::Stored) {
        entry.state = State::Stored;
        record_change(place->first, entry);
    }
}

/// Adds the state of a part to the history of changes.
void
KeptDirectory::record_change(const KeptKey& key, const Entry& entry)
{
    const bool is_stored = entry.state == State::Stored;
    m_history.add(
        {key.first, key.second, is_stored ? entry.store : std::string()});
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
        if (entry.state == State::Stored)
            update.entries.push_back({key.first, key.second, entry.store});
    return update;
}

void
KeptDirectory::drop(Parts::iterator entry)
{
    m_capacity.release(entry->second.store, entry->second.tokens);
    if (entry->second.state == State::Stored) {
        entry->second.state = State::Evicted;
        record_change(entry->first, entry->second);
    }
    m_parts.erase(entry);
}

void
KeptDirectory::evict(const KeptKey& key, Entry& entry, TimePoint now)
{
    entry.state = State::Evicted;
    record_change(key, entry);
    entry.due = answer_expiry(now);
    entry.free_requested = false;
}

/// Returns whether `space` has the term of this holder: parts are saved only
/// under that one.
bool
KeptDirectory::is_own(const std::string& space) const
{
    const auto parsed = KeptSpace::parse(space);
    return parsed && parsed->term == m_term;
}

/// Returns whether all answers that named an evicted part have expired. An
/// earlier holder may still report the parts that it had saved.
bool
KeptDirectory::may_free(const KeptKey& key, TimePoint due, TimePoint now) const
{
    if (now < due)
        return false;
    return is_own(key.first) || now >= answer_expiry(m_earlier_stopped);
}

void
KeptDirectory::earlier_holders_stopped(TimePoint now)
{
    m_earlier_stopped = std::min(m_earlier_stopped, std::max(now, m_started));
}

void
KeptDirectory::apply_listing(std::string_view store, const KeptListing& listing,
                             TimePoint now)
{
    if (!m_capacity.contains(store))
        return;
    const std::string address(store);
    if (m_capacity.update_boot(address, listing.boot, answer_expiry(now)))
        remove_parts(address);
    m_clock.advance(listing.clock, now);
    m_capacity.set_listed(address, now);
    apply_complete(address, listing.whole, now);
    apply_incomplete(address, listing.broken, now);
    drop_missing(address, listing, now);
}

/// Applies the parts that a store lists as complete.
void
KeptDirectory::apply_complete(const std::string& store,
                              std::span<const KeptPart> parts, TimePoint now)
{
    for (const KeptPart& part : parts) {
        mark_stored(store, part, now);
        const auto known = m_parts.find({part.space, part.id});
        if (known == m_parts.end())
            continue;
        Entry& entry = known->second;
        // It was saved twice: for two holders of the duty, or for one that
        // moved it to another store.
        if (entry.store != store &&
            !m_stale_parts.contains(store, known->first)) {
            const std::uint32_t used = StoreCapacity::capacity_of(part.tokens);
            m_capacity.add_used(store, used);
            m_stale_parts.add(store, known->first, used, answer_expiry(now));
        }
        // The store still has it long after it was asked to free it.
        if (entry.free_requested && now >= entry.due + listing_interval)
            entry.free_requested = false;
    }
}

/// Evicts the parts that a store lists as incomplete, except those whose call
/// may still be writing.
void
KeptDirectory::apply_incomplete(const std::string& store,
                                std::span<const KeptPart> parts, TimePoint now)
{
    for (const KeptPart& part : parts) {
        const auto [place, added] = m_parts.try_emplace({part.space, part.id});
        Entry& entry = place->second;
        if (added)
            occupy(entry, store, part.tokens);
        const bool ended = added || now >= entry.due;
        if (entry.store == store && entry.state != State::Evicted && ended)
            evict(place->first, entry, now);
    }
}

/// Drops the parts of a store that it does not list, except those that a call
/// may be about to write.
void
KeptDirectory::drop_missing(const std::string& store,
                            const KeptListing& listing, TimePoint now)
{
    std::set<KeptKey> listed_keys;
    for (const KeptPart& part : listing.whole)
        listed_keys.insert({part.space, part.id});
    for (const KeptPart& part : listing.broken)
        listed_keys.insert({part.space, part.id});
    for (auto entry = m_parts.begin(); entry != m_parts.end();) {
        const auto next = std::next(entry);
        const bool here = entry->second.store == store;
        const bool may_be_writing =
            entry->second.state == State::Saving && now < entry->second.due;
        if (here && !may_be_writing && !listed_keys.contains(entry->first))
            drop(entry);
        entry = next;
    }
}

bool
KeptDirectory::apply_changes(std::string_view store, const KeptChanges& changes,
                             TimePoint now)
{
    if (!m_capacity.contains(store))
        return true;
    if (changes.boot != m_capacity.boot(store) || changes.lost)
        return false;
    const std::string address(store);
    m_clock.advance(changes.clock, now);
    m_capacity.set_reachable(address, true);
    for (const KeptChange& change : changes.changes) {
        if (change.stored) {
            mark_stored(address, change.part, now);
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
    m_capacity.set_reachable(store, false);
}

bool
KeptDirectory::wants_listing(std::string_view store, TimePoint now) const
{
    const auto listed_at = m_capacity.listed_at(store);
    if (!listed_at || now < *listed_at + listing_interval)
        return false;
    return std::any_of(m_parts.begin(), m_parts.end(), [&](const auto& item) {
        const Entry& entry = item.second;
        const bool overdue = entry.state == State::Saving && now >= entry.due;
        // The store does not repeat the event of a free that was lost.
        const bool unfreed = entry.state == State::Evicted &&
                             entry.free_requested &&
                             now >= entry.due + listing_interval;
        return entry.store == store && (overdue || unfreed);
    });
}

} // namespace crosslink
