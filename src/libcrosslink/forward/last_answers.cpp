// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/last_answers.h>

#include <algorithm>
#include <utility>

namespace crosslink
{

void
LastAnswers::answered(std::string_view key, TimePoint at)
{
    const auto found = m_answers.find(key);
    if (found != m_answers.end()) {
        found->second.at = std::max(found->second.at, at);
        found->second.repeated = true;
        return;
    }
    if (m_answers.size() >= m_most_keys)
        forget_one();
    m_answers.emplace(key, Answer{at, false});
    m_order.emplace_back(key);
}

std::optional<TimePoint>
LastAnswers::last(std::string_view key) const
{
    const auto found = m_answers.find(key);
    if (found == m_answers.end())
        return std::nullopt;
    return found->second.at;
}

/// Forgets the oldest key, sparing each once for the answers it had since.
void
LastAnswers::forget_one()
{
    for (;;) {
        std::string key = std::move(m_order.front());
        m_order.pop_front();
        const auto found = m_answers.find(key);
        if (!found->second.repeated) {
            m_answers.erase(found);
            return;
        }
        found->second.repeated = false;
        m_order.push_back(std::move(key));
    }
}

} // namespace crosslink
