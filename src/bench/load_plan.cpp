// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "load_plan.h"

#include <crosslink/base/digest.h>

#include <algorithm>
#include <random>

namespace crosslink::bench
{

namespace
{

constexpr std::uint32_t burst = 8;
/// Time between two requests of the warm-up.
constexpr Micros warm_gap = std::chrono::milliseconds(150);

/// Returns text that is the same for the same name.
std::string
text_of(const std::string& name, std::size_t bytes)
{
    std::string text;
    for (std::uint64_t i = 0; text.size() < bytes; ++i)
        text += sha256(name + std::to_string(i)).hex() + " ";
    text.resize(bytes);
    return text;
}

class Planner
{
public:
    explicit Planner(const LoadRules& rules)
        : m_rules(rules), m_random(rules.seed)
    {
        std::lognormal_distribution<double> spread(0, 0.5);
        for (std::uint32_t i = 0; i < rules.prompts; ++i) {
            const double bytes = rules.prompt_bytes * spread(m_random);
            m_prompts.push_back(text_of("prompt" + std::to_string(rules.seed) +
                                            "/" + std::to_string(i),
                                        static_cast<std::size_t>(bytes) + 1));
        }
        m_seen.resize(rules.prompts);
    }

    std::vector<PlannedRequest> plan()
    {
        std::vector<PlannedRequest> requests;
        Micros at{0};
        for (std::uint32_t round = 0; round < m_rules.warm_rounds; ++round) {
            for (std::uint32_t i = 0; i < m_rules.prompts; ++i) {
                requests.push_back(returning(at, i));
                requests.back().measured = false;
                at += warm_gap;
            }
        }
        const Micros end = at + from_seconds(m_rules.seconds);
        const std::uint32_t group = m_rules.bursty ? burst : 1;
        std::exponential_distribution<double> gap(m_rules.requests_per_second /
                                                  group);
        while ((at += from_seconds(gap(m_random))) < end)
            for (std::uint32_t i = 0; i < group; ++i)
                requests.push_back(next(at));
        return requests;
    }

private:
    PlannedRequest next(Micros at)
    {
        if (uniform() < m_rules.new_share) {
            PlannedRequest request = base(at, m_random() % m_rules.accounts);
            request.prompt = text_of("new" + std::to_string(m_random()),
                                     m_rules.prompt_bytes);
            return request;
        }
        // Half of the returns go to a fifth of the prompts.
        const std::uint32_t few = std::max(m_rules.prompts / 5, 1U);
        const std::uint32_t most = uniform() < 0.5 ? few : m_rules.prompts;
        return returning(at, static_cast<std::uint32_t>(m_random() % most));
    }

    PlannedRequest returning(Micros at, std::uint32_t number)
    {
        // A prompt belongs to one account; the first three accounts are large.
        const std::uint32_t account =
            number % 2 == 0 ? number % 3 : number % m_rules.accounts;
        PlannedRequest request = base(at, account % m_rules.accounts);
        request.prompt =
            m_prompts[number] + " question " + std::to_string(m_seen[number]);
        request.returning = m_seen[number] > 0;
        ++m_seen[number];
        return request;
    }

    PlannedRequest base(Micros at, std::uint64_t account)
    {
        PlannedRequest request;
        request.due = at;
        request.account = static_cast<std::uint32_t>(account);
        request.target = static_cast<std::uint32_t>(m_random());
        return request;
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    const LoadRules& m_rules;
    std::mt19937_64 m_random;
    std::vector<std::string> m_prompts;
    std::vector<std::uint32_t> m_seen;
};

} // namespace

std::vector<PlannedRequest>
plan_load(const LoadRules& rules)
{
    return Planner(rules).plan();
}

} // namespace crosslink::bench
