// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/error.h>
#include <crosslink/base/invariants.h>

#include <string>

namespace crosslink
{

std::string_view
invariant_name(Invariant invariant)
{
    switch (invariant) {
    case Invariant::ClaimBeforeDispatch:
        return "claim_before_dispatch";
    case Invariant::NotRunIsTrue:
        return "not_run_is_true";
    case Invariant::AnswerMatchesRequest:
        return "answer_matches_request";
    case Invariant::SealedBlocksOnly:
        return "sealed_blocks_only";
    case Invariant::BlockIdentity:
        return "block_identity";
    case Invariant::RevisionNeverReverts:
        return "revision_never_reverts";
    case Invariant::LeavingGetsNoWork:
        return "leaving_gets_no_work";
    case Invariant::Count_:
        break;
    }
    return "unknown";
}

InvariantCounters&
InvariantCounters::instance()
{
    static InvariantCounters counters;
    return counters;
}

void
InvariantCounters::add_violation(Invariant invariant)
{
    ++m_counts.at(static_cast<std::size_t>(invariant));
}

std::uint64_t
InvariantCounters::count(Invariant invariant) const
{
    return m_counts.at(static_cast<std::size_t>(invariant));
}

void
check_invariant(Invariant invariant, bool holds)
{
    if (holds)
        return;
    InvariantCounters::instance().add_violation(invariant);
    throw Error(ErrorCode::Internal,
                "invariant broken: " + std::string(invariant_name(invariant)),
                RunState::MayHaveRun);
}

} // namespace crosslink
