// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace crosslink
{

/// Invariants that the running program checks, also in release builds.
/// `docs/PROMISES.md` has a row for each.
enum class Invariant {
    ClaimBeforeDispatch,  ///< No non-idempotent call is sent unclaimed.
    NotRunIsTrue,         ///< Only what did not run is reported as "not run".
    AnswerMatchesRequest, ///< No frame of another attempt is relayed.
    SealedBlocksOnly,     ///< No unsealed, freed or changed block is used.
    BlockIdentity, ///< No block is shared across accounts or weight versions.
    RevisionNeverReverts, ///< The revision in force never decreases.
    LeavingGetsNoWork,    ///< No new work for an upstream marked as leaving.
    Count_,               ///< Number of invariants.
};

/// Returns the name of `invariant` in metrics and logs.
std::string_view invariant_name(Invariant invariant);

/// Counts the violations of invariants in this process. Thread-safe.
class InvariantCounters
{
public:
    /// The counters of this process.
    static InvariantCounters& instance();
    /// Counts one violation.
    void add_violation(Invariant invariant);
    /// Returns how often `invariant` was violated since the start.
    std::uint64_t count(Invariant invariant) const;

private:
    std::array<std::atomic<std::uint64_t>,
               static_cast<std::size_t>(Invariant::Count_)>
        m_counts{};
};

/// Where `holds` is false, counts a violation and throws Error(Internal), so
/// that the caller does not take the step that would do harm.
void check_invariant(Invariant invariant, bool holds);

} // namespace crosslink
