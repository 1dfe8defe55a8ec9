// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/block_key.h>
#include <crosslink/membership/rendezvous.h>
#include <crosslink/route/router.h>

#include <algorithm>
#include <vector>

namespace crosslink
{

namespace
{

/// Expected times that exceed the shortest one by up to this fraction count as
/// equal.
constexpr double tie_share = 0.10;
/// Expected times that exceed the shortest one by up to this span count as
/// equal too: load reports are not precise enough to tell them apart.
constexpr Micros tie_span = std::chrono::milliseconds(2);
/// Added for an engine in another availability zone: the round trip of the
/// request and its first token.
constexpr Micros cross_zone = std::chrono::milliseconds(4);
/// Time of a fetch in addition to its transfer: import, verification and their
/// calls.
constexpr Micros fetch_overhead = std::chrono::milliseconds(3);
constexpr double min_prefill_rate = 1.0;

double
prefill_rate(const EngineEntry& engine)
{
    return std::max(engine.load.prefill_tokens_per_second, min_prefill_rate);
}

Micros
compute_time(const EngineEntry& engine, std::uint64_t tokens)
{
    return from_seconds(static_cast<double>(tokens) / prefill_rate(engine));
}

std::uint64_t
tokens_left(const RouteRequest& request, std::size_t blocks)
{
    const std::uint64_t saved = std::uint64_t{blocks} * block_tokens;
    return request.prompt_tokens - std::min(request.prompt_tokens, saved);
}

bool
is_near(const RouteChoice& choice, const RouteChoice& best)
{
    const double bound =
        static_cast<double>(best.expected.count()) * (1.0 + tie_share);
    return static_cast<double>(choice.expected.count()) <= bound ||
           choice.expected <= best.expected + tie_span;
}

std::uint64_t
load_of(const EngineTable& engines, const RouteChoice& choice)
{
    const EngineEntry& engine = engines.entries().at(choice.engine);
    return engine.own_waiting_tokens() + engine.own_running;
}

/// Keeps the near ties with the longest cached prefix, picks two of them at
/// random and returns the less loaded one: instances that decide on the same
/// stale reports do not all choose the same engine.
RouteChoice
pick_among_ties(const EngineTable& engines, std::vector<RouteChoice> ties,
                std::uint64_t random)
{
    const auto longest =
        std::max_element(ties.begin(), ties.end(),
                         [](const RouteChoice& one, const RouteChoice& other) {
                             return one.cached_blocks < other.cached_blocks;
                         });
    const std::size_t blocks = longest->cached_blocks;
    std::erase_if(ties, [blocks](const RouteChoice& choice) {
        return choice.cached_blocks < blocks;
    });
    const RouteChoice& one = ties[random % ties.size()];
    const RouteChoice& other = ties[(random >> 32U) % ties.size()];
    return load_of(engines, other) < load_of(engines, one) ? other : one;
}

std::vector<RouteChoice>::const_iterator
least_expected(const std::vector<RouteChoice>& choices)
{
    return std::min_element(
        choices.begin(), choices.end(),
        [](const RouteChoice& one, const RouteChoice& other) {
            return one.expected < other.expected;
        });
}

std::vector<RouteChoice>::const_iterator
least_loaded(const EngineTable& engines,
             const std::vector<RouteChoice>& choices)
{
    return std::min_element(
        choices.begin(), choices.end(),
        [&engines](const RouteChoice& one, const RouteChoice& other) {
            const auto& first = engines.entries().at(one.engine);
            const auto& second = engines.entries().at(other.engine);
            return first.load.running + first.load.waiting + first.own_running <
                   second.load.running + second.load.waiting +
                       second.own_running;
        });
}

std::vector<RouteChoice>::const_iterator
highest_affinity(const RouteRequest& request,
                 const std::vector<RouteChoice>& choices)
{
    const std::string key =
        request.keys.empty() ? std::string() : request.keys.front().hex();
    return std::max_element(
        choices.begin(), choices.end(),
        [&key](const RouteChoice& one, const RouteChoice& other) {
            return rendezvous_weight(key, one.engine) <
                   rendezvous_weight(key, other.engine);
        });
}

} // namespace

Router::Router(RoutePolicy policy, RouteTerms terms)
    : m_policy(policy), m_terms(terms)
{
}

Micros
Router::queue_time(const EngineEntry& engine) const
{
    std::uint64_t tokens = 0;
    if (m_terms.queue)
        tokens += engine.load.waiting_tokens;
    // A report includes own work only if it is newer than the sending of that
    // work; the larger of the two is the best estimate of the work ahead.
    if (m_terms.own_sent)
        tokens = std::max(tokens, engine.own_waiting_tokens());
    return compute_time(engine, tokens);
}

RouteChoice
Router::estimate(const EngineEntry& engine, const LinkTable& links,
                 const RouteRequest& request) const
{
    RouteChoice choice;
    choice.engine = engine.address;
    if (m_terms.cache)
        choice.cached_blocks = engine.cache.prefix(request.keys);
    choice.fetch_end = choice.cached_blocks;
    choice.compute_tokens = tokens_left(request, choice.cached_blocks);
    Micros work = compute_time(engine, choice.compute_tokens);
    if (m_terms.fetch && request.kept.size() > choice.cached_blocks) {
        const auto missing = request.kept.subspan(choice.cached_blocks);
        const std::uint64_t rest = tokens_left(request, request.kept.size());
        const Micros fetched =
            links.expected(request.store, total_bytes(missing)) +
            fetch_overhead + compute_time(engine, rest);
        if (fetched < work) {
            work = fetched;
            choice.fetch_end = request.kept.size();
            choice.compute_tokens = rest;
        }
    }
    const Micros zone = engine.zone == request.zone ? Micros(0) : cross_zone;
    choice.expected = queue_time(engine) + work + zone;
    return choice;
}

std::optional<RouteChoice>
Router::choose(const EngineTable& engines, const LinkTable& links,
               const RouteRequest& request, TimePoint now)
{
    std::vector<RouteChoice> choices;
    for (const auto& [address, engine] : engines.entries()) {
        const bool avoided = request.avoid && request.avoid->contains(address);
        if (avoided || !engine.takes_work(now))
            continue;
        if (!engine.has(request.model, request.version, request.adapter))
            continue;
        choices.push_back(estimate(engine, links, request));
    }
    if (choices.empty())
        return std::nullopt;
    switch (m_policy) {
    case RoutePolicy::RoundRobin:
        return choices[m_next++ % choices.size()];
    case RoutePolicy::LeastLoad:
        return *least_loaded(engines, choices);
    case RoutePolicy::PrefixAffinity:
        return *highest_affinity(request, choices);
    case RoutePolicy::Priced:
        break;
    }
    const RouteChoice best = *least_expected(choices);
    if (!m_terms.near_ties)
        return best;
    std::erase_if(choices, [&best](const RouteChoice& choice) {
        return !is_near(choice, best);
    });
    return pick_among_ties(engines, std::move(choices), request.random);
}

} // namespace crosslink
