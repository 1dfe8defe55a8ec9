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
/// can't be reached counts as empty: the prompt is then recomputed.
KeptBlocks lookup_kept_blocks(InstanceState& state, const CompletionCall& call);

/// Lets `engine` fetch the kept blocks that `choice` names. Returns the id of
/// the staged import, or an empty text where it is to be recomputed: the fetch
/// failed, fell behind, or the check after the read found it unsound.
std::string fetch_kept_blocks(InstanceState& state, const CompletionCall& call,
                              const KeptBlocks& kept,
                              const RouteChoice& choice);

} // namespace crosslink
