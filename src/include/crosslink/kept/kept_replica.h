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

/// What a call may do with the shared parts of its prompt.
struct KeptAnswer {
    std::string space;             ///< Space under which the call runs.
    std::vector<KeptPlace> places; ///< One for each part asked for.
    RunnerMillis clock = 0;        ///< The runners' clock at the answer.
};

/// A stored part, or the removal of one.
struct KeptEntry {
    std::string space;
    std::string id;
    std::string store; ///< Address; empty for a removal.
};

/// The changes of the directory since a position in its history.
struct KeptUpdate {
    bool ready = false;      ///< False until the holder has listed a store.
    std::uint64_t term = 0;  ///< Token of the holder of the duty.
    std::uint64_t place = 0; ///< Position from which the next update continues.
    bool is_snapshot = false; ///< Has all entries; others are removed.
    RunnerMillis clock = 0;   ///< The runners' clock as the holder reported it.
    Micros age{0};            ///< Of `clock`, where other instances relayed it.
    std::vector<KeptEntry> entries;
};

/// A copy of the directory's stored parts, in each instance. Its answers are
/// valid until kept_answer_time after the update, on the runners' clock, as
/// those of the directory itself.
class KeptReplica
{
public:
    /// Applies an update that was requested at `asked`. An update of an earlier
    /// holder than the last one is ignored.
    void take(const KeptUpdate& update, TimePoint asked);
    /// Returns the changes since the position `place` of the holder with
    /// `term`, as of `now`, for an instance that gets its updates from this
    /// one.
    KeptUpdate update_since(std::uint64_t term, std::uint64_t place,
                            TimePoint now) const;
    /// Returns the term and the place from which the next update continues.
    std::pair<std::uint64_t, std::uint64_t> position() const
    {
        return {m_term, m_place};
    }
    /// Returns the places of `parts` of a prompt where all of them are known;
    /// nothing where the holder of the duty is to be asked. With `best_effort`,
    /// parts that are not known are to be computed.
    std::optional<KeptAnswer> find(const KeptSpace& space,
                                   std::span<const PromptPart> parts,
                                   bool best_effort, TimePoint now) const;

private:
    /// A change with the position of the update that contained it.
    struct Change {
        std::uint64_t place = 0;
        KeptEntry entry;
    };

    void apply(const KeptEntry& entry);
    void retain(std::uint64_t place, const KeptEntry& entry);
    std::vector<KeptEntry> all_entries() const;

    std::uint64_t m_term = 0;
    std::uint64_t m_place = 0;
    /// Changes after this position are retained.
    std::uint64_t m_history_start = 0;
    std::deque<Change> m_changes; ///< Oldest first.
    RunnerClock m_clock;
    std::map<KeptKey, std::string> m_stores; ///< Store addresses.
    std::set<std::uint64_t> m_terms;         ///< Of all spaces.
};

} // namespace crosslink
