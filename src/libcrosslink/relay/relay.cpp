// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/invariants.h>
#include <crosslink/relay/relay.h>

#include <algorithm>

namespace crosslink
{

Relay::Relay(std::string version) : m_version(std::move(version))
{
}

void
Relay::begin_attempt(std::string_view run_id)
{
    check_invariant(Invariant::AnswerMatchesRequest, !m_finished);
    m_run_id = run_id;
    m_first_index = m_next_index;
}

RelayAction
Relay::take(const EngineFrame& frame)
{
    if (m_finished || frame.run_id != m_run_id)
        return RelayAction::Drop;
    if (frame.index < m_next_index)
        return RelayAction::Drop;
    if (frame.index > m_next_index)
        return RelayAction::Gap;
    if (frame.version != m_version)
        return RelayAction::WrongWeights;
    ++m_next_index;
    m_text += frame.text;
    if (!frame.last)
        return RelayAction::Forward;
    m_finished = true;
    m_prompt_tokens =
        frame.prompt_tokens - std::min(frame.prompt_tokens, m_first_index);
    m_cached_tokens = std::min(frame.cached_tokens, m_prompt_tokens);
    return RelayAction::Finish;
}

} // namespace crosslink
