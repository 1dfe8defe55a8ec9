// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/kept/runner_clock.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crosslink
{

/// Time for which an answer of the directory of kept parts is valid. It is
/// longer than the duty takes to pass from one holder to the next, and shorter
/// than the rollout of new weights takes.
inline constexpr std::chrono::milliseconds kept_answer_time{3000};
/// Time for which a holder of the duty continues to answer after its lease
/// ended. The platform is unreachable for 4 to 6 s now and then, and all
/// prompts would otherwise be computed in full meanwhile. A new holder frees no
/// parts of earlier terms for that long.
inline constexpr std::chrono::milliseconds kept_grace_time{8000};

/// Namespace of stored KV. Parts are found only under the space that they were
/// saved under, so that KV that must not mix is kept apart.
struct KeptSpace {
    /// Account that shares no KV with others; empty for all accounts that
    /// share.
    std::string isolated_account;
    std::string model;
    std::uint64_t version = 0; ///< Of the weights that made the KV.
    /// Token of the holder of the duty that had the parts saved. No two holders
    /// have calls save under the same space, so that the writes for one holder
    /// can't overlap with those for another.
    std::uint64_t term = 0;
    /// Zones of the regions that the prompts must stay in; empty for all zones.
    /// Their KV is saved only to stores of these zones, and found only by
    /// prompts with the same zones.
    std::set<std::string, std::less<>> zones{};

    /// Returns whether `other` differs in the term at most.
    bool same_but_term(const KeptSpace& other) const
    {
        return isolated_account == other.isolated_account &&
               model == other.model && version == other.version &&
               zones == other.zones;
    }
    /// Returns whether KV of this space may be stored in `zone`.
    bool allows(std::string_view zone) const
    {
        return zones.empty() || zones.contains(zone);
    }
    /// Returns the text by which runners and stores identify the space.
    std::string text() const;
    /// Parses the result of text(); returns nothing for any other text.
    static std::optional<KeptSpace> parse(std::string_view text);

    bool operator==(const KeptSpace&) const = default;
};

/// A part of a prompt as a store identifies it.
struct KeptPart {
    std::string space; ///< KeptSpace::text().
    std::string id;
    std::uint32_t tokens = 0;
};

/// Identifies a part: its space, as KeptSpace::text(), and its id.
using KeptKey = std::pair<std::string, std::string>;

/// A change that a store reports. Changes may arrive late or not at all.
struct KeptChange {
    KeptPart part; ///< With the tokens that are stored now.
    bool stored = false;
};

/// The full contents of a store, as it lists them.
struct KeptListing {
    std::uint64_t boot = 0; ///< Changes when the store restarts, empty.
    std::uint64_t next = 0; ///< Position from which its changes continue.
    RunnerMillis clock = 0;
    std::vector<KeptPart> whole;
    std::vector<KeptPart> broken; ///< Interrupted saves; they take capacity.
};

/// The changes of a store after a position.
struct KeptChanges {
    std::uint64_t boot = 0;
    std::uint64_t next = 0;
    RunnerMillis clock = 0;
    bool lost = false; ///< Some are missing: list the store again.
    std::vector<KeptChange> changes;
};

/// What a call may do with one part of its prompt.
struct KeptPlace {
    enum class Kind {
        None,  ///< Compute it, without a save.
        Fetch, ///< Fetch it: `store` has it complete until `until`.
        Save,  ///< Compute it and save it to `store`; no other call does.
    };
    /// Why a part is computed without a save.
    enum class Reason {
        Unknown,          ///< No store is known to have it.
        BeingSaved,       ///< Another call saves it.
        BeingFreed,       ///< It is about to be freed.
        StoreUnreachable, ///< The store that has it does not answer.
        NoRoom,           ///< No store has capacity for it.
        OtherTerm, ///< Its space belongs to an earlier holder of the duty.
        SlowStore, ///< The store that has it is slower than others.
    };
    Kind kind = Kind::None;
    std::string store; ///< Address.
    RunnerMillis until = 0;
    Reason reason = Reason::Unknown; ///< For None.

    /// Returns the place of a part that is to be computed.
    static KeptPlace compute(Reason reason)
    {
        KeptPlace place;
        place.reason = reason;
        return place;
    }
};

} // namespace crosslink
