// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/digest.h>
#include <crosslink/base/time.h>
#include <crosslink/ports/store.h>
#include <crosslink/route/engine_table.h>
#include <crosslink/route/link_table.h>

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace crosslink
{

/// How an engine is chosen. The first three are simple baselines for
/// comparison; the terms of the last can be disabled individually.
enum class RoutePolicy {
    RoundRobin,     ///< Engines in turn.
    LeastLoad,      ///< The least load, as reported and from own runs.
    PrefixAffinity, ///< Rendezvous hashing of the prompt's first block.
    Priced,         ///< The shortest expected time to first token.
};

/// The terms of the expected time, for ablation. All are enabled by default.
struct RouteTerms {
    bool queue = true;     ///< Count waiting work as reported.
    bool own_sent = true;  ///< Count own work sent since the report.
    bool cache = true;     ///< Count the savings of the engine's prefix cache.
    bool fetch = true;     ///< Consider fetching kept blocks.
    bool near_ties = true; ///< Choose among near ties by two random picks.
};

/// The input of the choice for one request.
struct RouteRequest {
    std::string_view model;
    std::string_view version;
    std::string_view adapter;
    std::span<const Digest> keys; ///< Keys of the prompt's complete blocks.
    std::uint64_t prompt_tokens = 0;
    std::string_view zone;             ///< Availability zone of the instance.
    std::string_view store;            ///< Store that has kept blocks.
    std::span<const SealedBlock> kept; ///< Prefix that it has sealed.
    const std::set<std::string>* avoid = nullptr; ///< Engines tried already.
    std::uint64_t random = 0;                     ///< Random bits.
};

/// The engine for a request, and the kept blocks to fetch to it.
struct RouteChoice {
    std::string engine;            ///< Address.
    std::size_t cached_blocks = 0; ///< Expected in the engine's own cache.
    std::size_t fetch_end = 0; ///< Blocks cached_blocks..fetch_end are fetched.
    Micros expected{0};        ///< Expected time to first token.
    std::uint64_t compute_tokens = 0; ///< Tokens that must be computed.
};

/// Chooses the engine for a request.
class Router
{
public:
    Router(RoutePolicy policy, RouteTerms terms);

    /// Returns the choice at `now`, or nothing where no engine accepts the
    /// request.
    std::optional<RouteChoice> choose(const EngineTable& engines,
                                      const LinkTable& links,
                                      const RouteRequest& request,
                                      TimePoint now);

private:
    RouteChoice estimate(const EngineEntry& engine, const LinkTable& links,
                         const RouteRequest& request) const;
    Micros queue_time(const EngineEntry& engine) const;

    const RoutePolicy m_policy;
    const RouteTerms m_terms;
    std::uint64_t m_next = 0;
};

} // namespace crosslink
