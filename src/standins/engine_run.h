// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/ports/engine.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace crosslink::standins
{

/// One run, kept for a while after its end so that it can be resumed.
struct Run {
    EngineRun order;
    std::atomic<bool> canceled{false};
};

using RunPointer = std::shared_ptr<Run>;

/// Blocks that were imported and are not in use yet.
struct Staged {
    std::vector<Digest> keys;
    bool sound = false; ///< Whether the bytes really are those of the keys.
};

/// Returns the KV bytes of a block: different for every key.
std::string kv_of(const Digest& key);
/// Returns the tokens of the prompt, with what it continues from.
std::uint64_t prompt_tokens(const EngineRun& run);
/// Returns token `index` of the answer to a prompt: the same at every engine
/// that has the same weights. `cached` blocks were not computed.
EngineFrame frame_of(const EngineRun& run, std::uint32_t index,
                     std::size_t cached);

} // namespace crosslink::standins
