// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/forwarded_call.h>
#include <crosslink/kept/kept_part.h>
#include <crosslink/kept/runner_clock.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace crosslink
{

/// Where the shared parts of a prompt lie.
struct KeptAnswer {
    std::string space;             ///< Under which the call runs.
    std::vector<KeptPlace> places; ///< One for each part asked for.
    RunnerMillis clock = 0;        ///< The runners' clock at the answer.
};

/// A part that is kept at a store, or that is told no more.
struct KeptEntry {
    std::string space;
    std::string id;
    std::string store; ///< Address; empty where it is told no more.
};

/// What changed in the directory since a place in its history.
struct KeptUpdate {
    bool ready = false; ///< False: the holder of the duty has listed nothing.
    std::uint64_t term = 0;   ///< Of the holder.
    std::uint64_t place = 0;  ///< Where the next update goes on.
    bool is_snapshot = false; ///< Entries that are not named are told no more.
    RunnerMillis clock = 0;   ///< The runners' clock as the holder told it.
    Micros age{0};            ///< Time since then, where others handed it on.
    std::vector<KeptEntry> entries;
};

/// A copy of the directory's kept parts in each instance. What it says holds
/// until kept_answer_time after the update, on the runners' clock, as what the
/// directory itself says.
class KeptReplica
{
public:
    /// Takes in an update that was asked for at `asked`. One of an earlier
    /// holder than the last one is passed over.
    void take(const KeptUpdate& update, TimePoint asked);
    /// Returns at `now` what changed since `place` of the holder with `term`,
    /// for an instance that learns it from this one.
    KeptUpdate update_since(std::uint64_t term, std::uint64_t place,
                            TimePoint now) const;
    /// Returns where the next update goes on: term and place.
    std::pair<std::uint64_t, std::uint64_t> position() const
    {
        return {m_term, m_place};
    }
    /// Returns where `parts` of a prompt lie, when all of them are known;
    /// nothing where the holder of the duty is to be asked. With
    /// `best_effort`, parts that are not known are to be read.
    std::optional<KeptAnswer> find(const KeptSpace& space,
                                   std::span<const PromptPart> parts,
                                   bool best_effort, TimePoint now) const;

private:
    /// A change with the place of the update that brought it.
    struct Change {
        std::uint64_t place = 0;
        KeptEntry entry;
    };

    void apply(const KeptEntry& entry);
    void remember(std::uint64_t place, const KeptEntry& entry);
    std::vector<KeptEntry> all() const;

    std::uint64_t m_term = 0;
    std::uint64_t m_place = 0;
    std::uint64_t m_first = 0;    ///< Changes after this place are remembered.
    std::deque<Change> m_changes; ///< Oldest first.
    RunnerClock m_clock;
    std::map<KeptKey, std::string> m_places; ///< Store addresses.
    std::set<std::uint64_t> m_terms;         ///< Of all spaces.
};

} // namespace crosslink
