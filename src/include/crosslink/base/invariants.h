// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace crosslink
{

/// The promises that the running program checks for itself, also in release
/// builds. `docs/PROMISES.md` has a row for each.
enum class Invariant {
    ClaimBeforeDispatch,  ///< No unrepeatable call leaves without its claim.
    NotRunIsTrue,         ///< "Not run" is only said of what did not run.
    AnswerMatchesRequest, ///< No frame of another attempt is relayed.
    SealedBlocksOnly,     ///< No unsealed, freed or changed block is used.
    BlockIdentity,        ///< No block crosses an account or weight version.
    RevisionNeverReverts, ///< The revision in force only grows.
    LeavingGetsNoWork,    ///< No new work for an upstream marked as leaving.
    Count_,               ///< Number of invariants.
};

/// Returns the name of `invariant` in metrics and logs.
std::string_view invariant_name(Invariant invariant);

/// Counts the broken invariants of this process. Safe for many threads.
class InvariantCounters
{
public:
    /// The counters of this process.
    static InvariantCounters& instance();
    /// Counts one breach.
    void breached(Invariant invariant);
    /// Returns how often `invariant` was breached since the start.
    std::uint64_t count(Invariant invariant) const;

private:
    std::array<std::atomic<std::uint64_t>,
               static_cast<std::size_t>(Invariant::Count_)>
        m_counts{};
};

/// Checks `holds`; a breach is counted and reported by throwing
/// Error(Internal), which stops the harm: the caller's step is not done.
void check_invariant(Invariant invariant, bool holds);

} // namespace crosslink
