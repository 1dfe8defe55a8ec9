// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/kept/runner_clock.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crosslink
{

/// How long what the directory of kept parts says holds. Longer than the duty
/// passes from one holder to the next; shorter than new weights take.
inline constexpr std::chrono::milliseconds kept_answer_time{3000};
/// How long a holder of the duty goes on telling after its lease ended: the
/// platform is away for 4 to 6 s now and then, and all prompts would be read
/// anew meanwhile. A new holder frees nothing of earlier terms for that long.
inline constexpr std::chrono::milliseconds kept_grace_time{8000};

/// What separates kept KV that must not mix: parts are found only under the
/// same space.
struct KeptSpace {
    std::string isolated_account; ///< Empty for all accounts that share; else
                                  ///< the account.
    std::string model;
    std::uint64_t version = 0; ///< Of the weights that made the KV.
    /// Token of the duty under which its parts are saved. No two holders of
    /// the duty let calls save under the same space, so that what one of them
    /// lets be written can't overlap with what another one does.
    std::uint64_t term = 0;

    /// True where `other` differs in the term at most.
    bool same_but_term(const KeptSpace& other) const
    {
        return isolated_account == other.isolated_account &&
               model == other.model && version == other.version;
    }
    /// Returns the text that runners and stores keep parts under.
    std::string text() const;
    /// Reads text() back; nothing where it is not from here.
    static std::optional<KeptSpace> parse(std::string_view text);

    bool operator==(const KeptSpace&) const = default;
};

/// A part of a prompt as a store names it.
struct KeptPart {
    std::string space; ///< KeptSpace::text().
    std::string id;
    std::uint32_t tokens = 0;
};

/// What a part is known by: its space, as KeptSpace::text(), and its id.
using KeptKey = std::pair<std::string, std::string>;

/// A change that a store tells of itself. Changes come late, and some never.
struct KeptChange {
    KeptPart part; ///< With the tokens that are kept now.
    bool stored = false;
};

/// What a store tells that it holds.
struct KeptListing {
    std::uint64_t boot = 0; ///< Changes when it starts anew, empty.
    std::uint64_t next = 0; ///< Where its changes go on.
    RunnerMillis clock = 0;
    std::vector<KeptPart> whole;
    std::vector<KeptPart> broken; ///< Writing broke off; they take room.
};

/// The changes of a store after a place.
struct KeptChanges {
    std::uint64_t boot = 0;
    std::uint64_t next = 0;
    RunnerMillis clock = 0;
    bool lost = false; ///< Some are missing: list it anew.
    std::vector<KeptChange> changes;
};

/// What a call may do with one part of its prompt.
struct KeptPlace {
    enum class Kind {
        None,  ///< Read it; it is neither kept nor to be saved now.
        Fetch, ///< It lies whole at `store` until `until`.
        Save,  ///< This call, and no other, saves it to `store`.
    };
    /// Why a part is read, where it is.
    enum class Reason {
        Unknown,          ///< Nobody told where it lies.
        BeingSaved,       ///< Another call saves it.
        BeingFreed,       ///< It is about to be freed.
        StoreUnreachable, ///< The store that has it does not answer.
        NoRoom,           ///< No store has room for it.
        OtherTerm, ///< Its space belongs to an earlier holder of the duty.
        SlowStore, ///< The store that has it is slower than others.
    };
    Kind kind = Kind::None;
    std::string store; ///< Address.
    RunnerMillis until = 0;
    Reason reason = Reason::Unknown; ///< For None.

    /// Returns a part that is to be read.
    static KeptPlace read(Reason reason)
    {
        KeptPlace place;
        place.reason = reason;
        return place;
    }
};

} // namespace crosslink
