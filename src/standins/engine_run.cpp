// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "engine_run.h"

#include <crosslink/kept/block_key.h>

#include <algorithm>

namespace crosslink::standins
{

namespace
{

constexpr std::size_t token_digits = 5;

std::string
token_of(const EngineRun& run, std::uint32_t index)
{
    const std::string seed = run.model + "\n" + run.version + "\n" +
                             run.adapter + "\n" + run.prompt + "\n" +
                             std::to_string(index);
    return " w" + sha256(seed).hex().substr(0, token_digits);
}

} // namespace

std::string
kv_of(const Digest& key)
{
    return "kv:" + key.hex();
}

std::uint64_t
prompt_tokens(const EngineRun& run)
{
    return token_estimate(run.prompt) + run.continued_tokens;
}

EngineFrame
frame_of(const EngineRun& run, std::uint32_t index, std::size_t cached)
{
    EngineFrame frame;
    frame.run_id = run.run_id;
    frame.index = index;
    frame.text = token_of(run, index);
    frame.version = run.version;
    frame.last = index + 1 == run.max_tokens;
    const std::uint64_t prompt = prompt_tokens(run);
    frame.prompt_tokens = static_cast<std::uint32_t>(prompt);
    frame.cached_tokens = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(prompt, cached * block_tokens));
    return frame;
}

} // namespace crosslink::standins
