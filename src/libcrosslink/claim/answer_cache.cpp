// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/claim/answer_cache.h>

namespace crosslink
{

namespace
{

/// Bytes counted for each kept answer in addition to its body.
constexpr std::uint64_t entry_overhead = 256;

std::uint64_t
cost_of(const HeldAnswer& held)
{
    return held.answer.body.size() + entry_overhead;
}

} // namespace

AnswerCache::AnswerCache(std::uint64_t max_bytes) : m_max_bytes(max_bytes)
{
}

void
AnswerCache::begin(const Digest& key, const Digest& fingerprint)
{
    HeldAnswer& held = m_answers[key];
    held.state = HeldAnswer::State::Running;
    held.fingerprint = fingerprint;
}

void
AnswerCache::finish(const Digest& key, PlainAnswer answer)
{
    HeldAnswer& held = m_answers[key];
    held.state = HeldAnswer::State::Finished;
    held.answer = std::move(answer);
    m_bytes += cost_of(held);
    m_order.push_back(key);
    while (m_bytes > m_max_bytes && !m_order.empty())
        evict_oldest();
}

void
AnswerCache::evict_oldest()
{
    const auto found = m_answers.find(m_order.front());
    m_order.pop_front();
    if (found == m_answers.end())
        return;
    m_bytes -= cost_of(found->second);
    m_answers.erase(found);
}

void
AnswerCache::forget(const Digest& key)
{
    const auto found = m_answers.find(key);
    if (found == m_answers.end() ||
        found->second.state == HeldAnswer::State::Finished)
        return;
    m_answers.erase(found);
}

HeldAnswer
AnswerCache::find(const Digest& key) const
{
    const auto found = m_answers.find(key);
    return found == m_answers.end() ? HeldAnswer{} : found->second;
}

} // namespace crosslink
