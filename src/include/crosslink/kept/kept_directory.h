// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/forwarded_call.h>
#include <crosslink/forward/service_map.h>
#include <crosslink/kept/kept_history.h>
#include <crosslink/kept/kept_part.h>
#include <crosslink/kept/kept_replica.h>
#include <crosslink/kept/runner_clock.h>
#include <crosslink/kept/stale_parts.h>
#include <crosslink/kept/store_capacity.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crosslink
{

/// Parts that a store is asked to free. The store refuses the request where it
/// has restarted since `boot`, and after the time limit of the request (see
/// KeptStores::free()).
struct KeptFree {
    std::string store; ///< Address.
    std::uint64_t boot = 0;
    std::vector<KeptPart> parts;
};

/// Directory of the parts of prompts whose KV is saved in the stores. The
/// stores evict nothing by themselves: the directory decides which call saves a
/// part where, and what is freed. The one instance that holds the duty (see
/// DutyLease) maintains it.
///
/// A part is never fetched while it is incomplete:
///  - Each part is saved by one call at a time, to which this directory
///    assigned the save. The save is not assigned again before that call must
///    have ended.
///  - A part is reported as stored only after its store reported it as
///    complete.
///  - An answer is valid until a time of the runners' clock, by which the fetch
///    ends too. A part is freed, and a restarted store is written to, only
///    after all earlier answers have expired.
///  - Each holder of the duty has parts saved under a space of its own, and
///    continues to report the parts that earlier holders had saved.
///  - A holder whose lease ended continues to answer for kept_grace_time, and
///    does not know the parts of later holders. A new holder frees what earlier
///    holders had saved only after that time.
class KeptDirectory
{
public:
    /// Sets the stores of the configuration. The parts of other stores are
    /// dropped.
    void set_stores(std::span<const KeptStoreInfo> stores);
    /// Resets the directory for a holder of the duty with the token `term`. The
    /// stores remain.
    void begin(std::uint64_t term, TimePoint now);

    /// Records that no earlier holder answers from `now` on. Without this they
    /// are assumed to answer for kept_grace_time after begin().
    void earlier_holders_stopped(TimePoint now);

    /// Applies the full listing of a store.
    void apply_listing(std::string_view store, const KeptListing& listing,
                       TimePoint now);
    /// Applies changes of a store. Returns false where the store must be listed
    /// again.
    bool apply_changes(std::string_view store, const KeptChanges& changes,
                       TimePoint now);
    /// Sets the stores that are slow now; they are written to only where no
    /// other one has free capacity.
    void set_slow(std::set<std::string, std::less<>> stores)
    {
        m_capacity.set_slow(std::move(stores));
    }
    /// Records that a store does not answer.
    void unreachable(std::string_view store);

    /// Returns what a call may do with `parts`, the shared parts of its prompt
    /// in order, for KV of `space`, whose term is ignored. A save must have
    /// ended or failed after `longest`.
    KeptAnswer ask(const KeptSpace& space, std::span<const PromptPart> parts,
                   Micros longest, TimePoint now);
    /// Returns the changes since the position `place` of the holder with
    /// `term`; all parts where those changes are not known.
    KeptUpdate update_since(std::uint64_t term, std::uint64_t place,
                            TimePoint now) const;
    /// Records that the call which was to save `part` never ran.
    void not_saved(const KeptPart& part);
    /// Evicts the parts of the spaces for which `obsolete` returns true, the
    /// least recently requested parts where a store is full, and parts of
    /// replaced weights, to keep capacity free in proportion to
    /// `updated_fraction`: the fraction of the runners, 0 to 1, that have the
    /// newest weights. Returns the parts that are to be freed now.
    std::vector<KeptFree>
    take_due_frees(const std::function<bool(const KeptSpace&)>& obsolete,
                   double updated_fraction, TimePoint now);
    /// Returns whether `store` has saves or frees that should have ended: only
    /// a new listing shows their result.
    bool wants_listing(std::string_view store, TimePoint now) const;

    /// Returns the runners' clock at `now`; 0 where no store has reported it.
    RunnerMillis runner_clock(TimePoint now) const { return m_clock.at(now); }

private:
    enum class State { Saving, Stored, Evicted };
    struct Entry {
        State state = State::Saving;
        std::string store;
        std::uint32_t tokens = 0; ///< Capacity that it takes.
        TimePoint requested{};    ///< When it was last requested.
        TimePoint assigned{};     ///< When a call was assigned its save.
        /// Saving: when its call must have ended. Evicted: when it may be
        /// freed, unless an earlier holder may still report it.
        TimePoint due{};
        bool free_requested = false; ///< The store was asked to free it.
    };
    /// A part that may be evicted to free up capacity.
    struct EvictionCandidate {
        std::string model;
        std::uint64_t version = 0;
        bool replaced = false; ///< Newer weights have parts already.
        const KeptKey* key = nullptr;
        Entry* entry = nullptr;
    };
    using Parts = std::map<KeptKey, Entry>;

    static TimePoint answer_expiry(TimePoint now);

    void remove_parts(std::string_view store);
    void apply_complete(const std::string& store,
                        std::span<const KeptPart> parts, TimePoint now);
    void apply_incomplete(const std::string& store,
                          std::span<const KeptPart> parts, TimePoint now);
    void drop_missing(const std::string& store, const KeptListing& listing,
                      TimePoint now);
    void occupy(Entry& entry, const std::string& store, std::uint32_t tokens);
    void mark_stored(const std::string& store, const KeptPart& part,
                     TimePoint now);
    bool knows_stores(TimePoint now) const;
    bool may_free(const KeptKey& key, TimePoint due, TimePoint now) const;
    void drop(Parts::iterator entry);
    void record_change(const KeptKey& key, const Entry& entry);
    void evict(const KeptKey& key, Entry& entry, TimePoint now);
    KeptPlace assign_save(const KeptKey& key, const std::string& store,
                          std::uint32_t tokens, Micros longest, TimePoint now);
    bool may_have(const std::string& store, const KeptKey& key) const;
    bool is_own(const std::string& space) const;
    bool should_move(const Entry& entry, TimePoint now) const;
    void make_stale(const KeptKey& key, Entry& entry, TimePoint now);
    void free_stale_parts(std::map<std::string, KeptFree>& frees,
                          TimePoint now);
    void add_free(std::map<std::string, KeptFree>& frees,
                  const std::string& store, const KeptKey& key,
                  std::uint32_t tokens) const;
    KeptSpace space_of(const KeptSpace& wanted, const PromptPart& last) const;
    KeptPlace answer_for(const KeptPart& part, bool leading, Micros longest,
                         TimePoint now);
    KeptPlace place_of(const Entry& entry, TimePoint now) const;
    std::vector<EvictionCandidate> eviction_candidates(TimePoint now);
    std::uint64_t evicted_tokens() const;
    void evict_for_capacity(double updated_fraction, TimePoint now);
    void evict_obsolete(const std::function<bool(const KeptSpace&)>& obsolete,
                        TimePoint now);

    StoreCapacity m_capacity;
    Parts m_parts;
    StaleParts m_stale_parts;
    std::uint64_t m_term = 0;
    std::set<std::uint64_t> m_terms; ///< Terms of all known parts.
    KeptHistory m_history;           ///< Changes of the stored parts.
    TimePoint m_started{};
    TimePoint m_earlier_stopped{}; ///< No earlier holder answers after it.
    RunnerClock m_clock;
};

} // namespace crosslink
