// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/admit/admission.h>
#include <crosslink/base/error.h>

#include <algorithm>
#include <cmath>

namespace crosslink
{

namespace
{

/// Burst that is allowed to an account, in seconds of its rate.
constexpr double burst_seconds = 2;
constexpr Micros retry_after = std::chrono::milliseconds(500);

} // namespace

Admission::Admission(AdmissionRules rules) : m_rules(rules)
{
}

void
Admission::check_limits(AccountState& state, const ClientAccount& account,
                        std::uint64_t tokens, double share, TimePoint now) const
{
    const double most_open =
        std::max(1.0, std::ceil(account.policy->limits.concurrent * share));
    if (state.open >= most_open)
        throw Error(ErrorCode::ConcurrencyLimited,
                    "too many requests of this account at once",
                    RunState::NotDispatched, retry_after);
    const double request_rate =
        account.policy->limits.requests_per_second * share;
    const double request_burst = std::max(1.0, request_rate * burst_seconds);
    if (!state.requests.take(1, request_rate, request_burst, now))
        throw Error(ErrorCode::RateLimited,
                    "more requests a second than the account's limit",
                    RunState::NotDispatched,
                    state.requests.wait_for(1, request_rate, request_burst));
    const auto cost = static_cast<double>(tokens);
    const double token_rate = account.policy->limits.tokens_per_second * share;
    const double token_burst = token_rate * burst_seconds;
    if (!state.tokens.take(cost, token_rate, token_burst, now)) {
        state.requests.give_back(1);
        throw Error(ErrorCode::RateLimited,
                    "more tokens a second than the account's limit",
                    RunState::NotDispatched,
                    state.tokens.wait_for(cost, token_rate, token_burst));
    }
}

AdmissionTicket
Admission::ask(const ClientAccount& account, std::uint64_t tokens, double share,
               TimePoint now)
{
    AccountState& state = m_accounts[account.name];
    const bool must_wait =
        m_running.size() >= m_rules.most_running || m_waiting > 0;
    if (must_wait && m_waiting >= m_rules.most_waiting)
        throw Error(ErrorCode::QueueFull, "this instance is full",
                    RunState::NotDispatched, retry_after);
    check_limits(state, account, tokens, share, now);
    const std::uint64_t ticket = m_next_ticket++;
    const double start = std::max(m_virtual_time, state.last_finish);
    state.last_finish =
        start + static_cast<double>(std::max<std::uint64_t>(tokens, 1)) /
                    account.policy->weight;
    ++state.open;
    if (!must_wait) {
        m_running.emplace(ticket, account.name);
        return {ticket, true};
    }
    state.queue.push_back({ticket, state.last_finish});
    ++m_waiting;
    return {ticket, false};
}

bool
Admission::withdraw(std::uint64_t ticket)
{
    for (auto& [name, state] : m_accounts) {
        const auto removed =
            std::erase_if(state.queue, [ticket](const Waiting& waiting) {
                return waiting.ticket == ticket;
            });
        if (removed == 0)
            continue;
        --m_waiting;
        --state.open;
        return true;
    }
    return false;
}

std::optional<std::uint64_t>
Admission::admit_next()
{
    std::map<std::string, AccountState, std::less<>>::iterator next =
        m_accounts.end();
    for (auto at = m_accounts.begin(); at != m_accounts.end(); ++at) {
        if (at->second.queue.empty())
            continue;
        if (next == m_accounts.end() ||
            at->second.queue.front().finish < next->second.queue.front().finish)
            next = at;
    }
    if (next == m_accounts.end())
        return std::nullopt;
    const Waiting first = next->second.queue.front();
    next->second.queue.pop_front();
    --m_waiting;
    m_virtual_time = std::max(m_virtual_time, first.finish);
    m_running.emplace(first.ticket, next->first);
    return first.ticket;
}

std::vector<std::uint64_t>
Admission::release(std::uint64_t ticket)
{
    std::vector<std::uint64_t> admitted;
    const auto found = m_running.find(ticket);
    if (found == m_running.end())
        return admitted;
    --m_accounts.at(found->second).open;
    m_running.erase(found);
    while (m_running.size() < m_rules.most_running) {
        const auto next = admit_next();
        if (!next)
            break;
        admitted.push_back(*next);
    }
    return admitted;
}

std::vector<AccountUse>
Admission::in_use() const
{
    std::vector<AccountUse> result;
    for (const auto& [name, state] : m_accounts)
        if (state.open > 0)
            result.push_back({name, state.open});
    return result;
}

} // namespace crosslink
