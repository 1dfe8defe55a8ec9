// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/forwarded_call.h>
#include <crosslink/forward/service_map.h>
#include <crosslink/kept/kept_history.h>
#include <crosslink/kept/kept_leftovers.h>
#include <crosslink/kept/kept_part.h>
#include <crosslink/kept/kept_replica.h>
#include <crosslink/kept/kept_room.h>
#include <crosslink/kept/runner_clock.h>

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

/// Parts that a store is to free. The store refuses it after `until` or
/// under another boot.
struct KeptFree {
    std::string store; ///< Address.
    std::uint64_t boot = 0;
    std::vector<KeptPart> parts;
};

/// Where each shared part of a prompt lies in the stores, which drop nothing
/// by themselves. Kept by the one instance that has the duty.
///
/// A part is never read while it is not whole:
///  - each part is saved by one call at a time, which was told so here, and
///    is not told again before that call must have ended;
///  - it is told as kept only after the store listed it as whole;
///  - what is told holds until a time of the runners' clock, which ends the
///    fetch too; a part is freed, and a store that started anew is written
///    to, only after all that was told before has run out;
///  - each holder of the duty lets parts be saved under a space of its own,
///    and goes on telling those that earlier holders let be saved;
///  - a holder whose lease ended goes on telling for kept_grace_time, and knows
///    nothing of later holders' parts; a new one frees what earlier holders let
///    be saved only after that time.
class KeptDirectory
{
public:
    /// Takes over the stores of the configuration.
    void set_stores(std::span<const KeptStoreInfo> stores);
    /// Begins anew, for a holder of the duty with the token `term`.
    void begin(std::uint64_t term, TimePoint now);

    /// Takes note that no earlier holder tells anything from `now` on. Without
    /// this they are taken to tell for kept_grace_time after begin().
    void earlier_holders_stopped(TimePoint now);

    /// Takes in what a store lists.
    void apply_listing(std::string_view store, const KeptListing& listing,
                       TimePoint now);
    /// Takes in changes. Returns false where it must be listed anew.
    bool apply_changes(std::string_view store, const KeptChanges& changes,
                       TimePoint now);
    /// Takes over the stores that are slow now; they are written to only where
    /// no other one has room.
    void set_slow(std::set<std::string, std::less<>> stores)
    {
        m_room.set_slow(std::move(stores));
    }
    /// Takes note that a store does not answer.
    void unreachable(std::string_view store);

    /// Returns what a call may do with `parts`, the shared parts of its
    /// prompt in order, whose KV is of `space`; the term there is passed
    /// over. A save must have ended or failed after `longest`.
    KeptAnswer ask(const KeptSpace& space, std::span<const PromptPart> parts,
                   Micros longest, TimePoint now);
    /// Returns what changed since `place` of the holder with `term`.
    KeptUpdate update_since(std::uint64_t term, std::uint64_t place,
                            TimePoint now) const;
    /// Takes note that the call which was to save `part` never ran.
    void not_saved(const KeptPart& part);
    /// Lets go of the parts whose space `obsolete` says so of, of those asked
    /// for least lately where a store is full, and of parts of replaced
    /// weights, to have room in proportion to `updated_fraction`: the part of
    /// the runners, 0 to 1, that have the newest weights. Returns what is to be
    /// freed now.
    std::vector<KeptFree>
    take_due_frees(const std::function<bool(const KeptSpace&)>& obsolete,
                   double updated_fraction, TimePoint now);
    /// Returns true where `store` has saves that should have ended: only a
    /// new listing tells what became of them.
    bool wants_listing(std::string_view store, TimePoint now) const;

    /// Returns the runners' clock at `now`; 0 where no store told it yet.
    RunnerMillis runner_clock(TimePoint now) const { return m_clock.at(now); }

private:
    enum class State { Saving, Held, LetGo };
    struct Entry {
        State state = State::Saving;
        std::string store;
        std::uint32_t tokens = 0; ///< Room that it takes.
        TimePoint asked{};        ///< When it was last asked for.
        TimePoint placed{};       ///< When its call was told to save it.
        TimePoint due{}; ///< Saving: must have ended. LetGo: may be freed,
                         ///< where no earlier holder can tell of it.
        bool told_free = false; ///< The store was asked to free it.
    };
    /// A part that may be let go for another one.
    struct Dispensable {
        std::string model;
        std::uint64_t version = 0;
        bool replaced = false; ///< Newer weights have parts already.
        const KeptKey* key = nullptr;
        Entry* entry = nullptr;
    };
    using Parts = std::map<KeptKey, Entry>;

    static TimePoint told_until(TimePoint now);

    void forget_parts(std::string_view store);
    void take_whole(const std::string& store, std::span<const KeptPart> parts,
                    TimePoint now);
    void take_broken(const std::string& store, std::span<const KeptPart> parts,
                     TimePoint now);
    void drop_missing(const std::string& store, const KeptListing& listing,
                      TimePoint now);
    void occupy(Entry& entry, const std::string& store, std::uint32_t tokens);
    void hold(const std::string& store, const KeptPart& part, TimePoint now);
    bool knows_stores(TimePoint now) const;
    bool may_free(const KeptKey& key, TimePoint due, TimePoint now) const;
    void drop(Parts::iterator entry);
    void note(const KeptKey& key, const Entry& entry);
    void let_go(const KeptKey& key, Entry& entry, TimePoint now);
    KeptPlace place_part(const KeptKey& key, const std::string& store,
                         std::uint32_t tokens, Micros longest, TimePoint now);
    bool may_have(const std::string& store, const KeptKey& key) const;
    bool is_own(const std::string& space) const;
    bool should_move(const Entry& entry, TimePoint now) const;
    void move_away(const KeptKey& key, Entry& entry, TimePoint now);
    void free_leftovers(std::map<std::string, KeptFree>& frees, TimePoint now);
    void add_free(std::map<std::string, KeptFree>& frees,
                  const std::string& store, const KeptKey& key,
                  std::uint32_t tokens) const;
    KeptSpace space_of(const KeptSpace& wanted, const PromptPart& last) const;
    KeptPlace ask_part(const KeptPart& part, bool forerunner, Micros longest,
                       TimePoint now);
    KeptPlace place_of(const Entry& entry, TimePoint now) const;
    std::vector<Dispensable> dispensable(TimePoint now);
    std::uint64_t let_go_tokens() const;
    void make_room(double updated_fraction, TimePoint now);
    void let_go_obsolete(const std::function<bool(const KeptSpace&)>& obsolete,
                         TimePoint now);

    KeptRoom m_room;
    Parts m_parts;
    KeptLeftovers m_leftovers;
    std::uint64_t m_term = 0;
    std::set<std::uint64_t> m_terms; ///< Of all parts that are told.
    KeptHistory m_history;           ///< Changes of what is told.
    TimePoint m_began{};
    TimePoint m_silent_from{}; ///< No earlier holder tells anything after it.
    RunnerClock m_clock;
};

} // namespace crosslink
