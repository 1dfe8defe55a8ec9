// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/ports/engine.h>
#include <crosslink/ports/store.h>

#include <span>
#include <vector>

namespace crosslink
{

/// Returns whether an import may be used: the engine read every block, each
/// block has the bytes that were sealed, and after the read the store still had
/// each one sealed in the same slot, generation and incarnation. Otherwise the
/// import is to be discarded and the prompt recomputed.
bool import_is_sound(std::span<const SealedBlock> asked,
                     const ImportResult& read,
                     const std::vector<bool>& still_sealed);

/// Checks that the blocks that a store found are a prefix of those asked for.
/// Throws through check_invariant(Invariant::BlockIdentity) where they are not.
void check_lookup(std::span<const Digest> asked,
                  std::span<const SealedBlock> found);

} // namespace crosslink
