// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/ports/engine.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace crosslink
{

/// What is to be done with a frame.
enum class RelayAction {
    Forward, ///< It is the next token of the answer: send it to the caller.
    Finish,  ///< As Forward, and the answer is whole.
    Drop,    ///< Of another attempt, or already relayed.
    Gap,     ///< Tokens before it are missing: take the stream up again.
    WrongWeights, ///< Made by another weight version: end this attempt.
};

/// Follows one answer over its attempts and lets through each token once, in
/// order, from the attempt that is current.
class Relay
{
public:
    /// `version` is the weight version that every token must come from.
    explicit Relay(std::string version);

    /// Makes `run_id` the current attempt; frames of older ones are dropped.
    void begin_attempt(std::string_view run_id);
    /// Decides on `frame`; on Forward and Finish its text joins text().
    RelayAction take(const EngineFrame& frame);

    /// Returns the number of tokens relayed so far.
    std::uint32_t next_index() const { return m_next_index; }
    /// Returns the text relayed so far.
    const std::string& text() const { return m_text; }
    bool finished() const { return m_finished; }
    /// Returns the prompt tokens and those not computed, once finished. What
    /// an attempt continued from counts as output, not as prompt.
    std::uint32_t prompt_tokens() const { return m_prompt_tokens; }
    std::uint32_t cached_tokens() const { return m_cached_tokens; }

private:
    std::string m_version;
    std::string m_run_id;
    std::uint32_t m_next_index = 0;
    std::uint32_t m_continued_from = 0; ///< Where this attempt began.
    std::string m_text;
    bool m_finished = false;
    std::uint32_t m_prompt_tokens = 0;
    std::uint32_t m_cached_tokens = 0;
};

} // namespace crosslink
