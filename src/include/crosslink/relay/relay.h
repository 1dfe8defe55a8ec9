// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/ports/engine.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace crosslink
{

/// What to do with a frame.
enum class RelayAction {
    Forward, ///< It is the next token of the answer: send it to the caller.
    Finish,  ///< As Forward, and the answer is complete.
    Drop,    ///< Of another attempt, or already relayed.
    Gap,     ///< Tokens before it are missing: resume the stream.
    WrongWeights, ///< Generated with another weight version: end this attempt.
};

/// Tracks one answer across its attempts. Passes each token on exactly once, in
/// order, from the current attempt only.
class Relay
{
public:
    /// `version` is the weight version that every token must come from.
    explicit Relay(std::string version);

    /// Makes `run_id` the current attempt; frames of older ones are dropped.
    void begin_attempt(std::string_view run_id);
    /// Returns what to do with `frame`. For Forward and Finish, its text is
    /// appended to text().
    RelayAction take(const EngineFrame& frame);

    /// Returns the number of tokens relayed so far.
    std::uint32_t next_index() const { return m_next_index; }
    /// Returns the text relayed so far.
    const std::string& text() const { return m_text; }
    bool finished() const { return m_finished; }
    /// Returns the number of prompt tokens, and of those among them that were
    /// not computed, once the answer is finished. Output that an attempt
    /// continued from does not count as prompt.
    std::uint32_t prompt_tokens() const { return m_prompt_tokens; }
    std::uint32_t cached_tokens() const { return m_cached_tokens; }

private:
    std::string m_version;
    std::string m_run_id;
    std::uint32_t m_next_index = 0;
    std::uint32_t m_first_index = 0; ///< First index of this attempt.
    std::string m_text;
    bool m_finished = false;
    std::uint32_t m_prompt_tokens = 0;
    std::uint32_t m_cached_tokens = 0;
};

} // namespace crosslink
