// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "instance_state.h"

#include <crosslink/ports/store.h>

#include <string>
#include <vector>

namespace crosslink
{

struct CompletionCall;

/// Kept blocks of a prompt that a store has sealed.
struct KeptBlocks {
    std::string store; ///< Address; empty where there are none.
    std::vector<SealedBlock> blocks;
};

/// Asks the preferred store which blocks of the prompt it has. A store that
/// can't be reached counts as empty; the prompt is then recomputed.
KeptBlocks lookup_kept_blocks(InstanceState& state, const CompletionCall& call);

/// Lets the engine of `choice` fetch the kept blocks that `choice` names.
/// Returns the id of the staged import. Returns an empty string where the
/// blocks must be recomputed: none were to be fetched, the fetch failed or took
/// too long, or the check after the read found that the blocks are not valid.
std::string fetch_kept_blocks(InstanceState& state, const CompletionCall& call,
                              const KeptBlocks& kept,
                              const RouteChoice& choice);

} // namespace crosslink
