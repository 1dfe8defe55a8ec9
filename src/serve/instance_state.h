// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "clients.h"
#include "guarded.h"
#include "metrics.h"
#include "nudger.h"
#include "settings.h"
#include "upstream_directory.h"

#include <crosslink/admit/retry_budget.h>
#include <crosslink/claim/answer_cache.h>
#include <crosslink/configuration/configuration_state.h>
#include <crosslink/forward/crash_history.h>
#include <crosslink/forward/unresolved_failures.h>
#include <crosslink/membership/member_table.h>
#include <crosslink/report/burn_report.h>
#include <crosslink/route/engine_table.h>
#include <crosslink/route/link_table.h>
#include <crosslink/route/router.h>

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// What routing decides on.
struct Routing {
    explicit Routing(const Settings& settings)
        : router(settings.route_policy, settings.route_terms)
    {
    }

    EngineTable engines;
    LinkTable links;
    Router router;
};

/// Retry budgets by client account.
using RetryBudgets = std::map<std::string, RetryBudget, std::less<>>;

/// Everything that the duties and the requests of one entry instance share.
/// All of it is in memory and may be lost at any time.
struct InstanceState {
    InstanceState(Settings settings_in, Member self);

    const Settings settings;
    Clients clients;
    ConfigurationState configuration;
    Guarded<MemberTable> members;
    Guarded<Routing> routing;
    Guarded<UpstreamDirectory> directory;
    Guarded<AnswerCache> answers;
    Guarded<BurnReport> burn;
    Guarded<RetryBudgets> retry_budgets;
    /// Prompts under which engines ended, as this instance saw it.
    Guarded<CrashHistory> crashes;
    Guarded<UnresolvedFailures> breaks; ///< That wait for a verdict.
    Nudger unresolved_failure_added;    ///< Reaches the looks at ports.
    Metrics metrics;
    Nudger configuration_pull;         ///< A peer told a newer revision.
    Nudger gossip_now;                 ///< There is news to spread at once.
    std::atomic<bool> ready{false};    ///< It may serve.
    std::atomic<bool> stopping{false}; ///< A planned stop has begun.

    /// Takes in that an engine ended: the prompts that broke there count.
    void engine_ended(const std::string& address);
    /// Returns the live members of this instance's zone, the preferred one for
    /// `duty` first, by rendezvous hashing. All of them agree on it while they
    /// know the same members; where they do not, more or fewer do the duty.
    std::vector<Member> preferred_in_zone(std::string_view duty);
    /// True where this instance is among the first `count` of them.
    bool is_preferred_in_zone(std::string_view duty, std::size_t count);
    /// Returns the peer address of this instance.
    const std::string& self_address() const { return settings.advertise; }
    /// Returns the part of the accounts' limits that this instance gives out.
    double limit_share();
    /// Puts `candidate` in force where it is newer, and tells the others.
    /// Returns whether it was newer.
    bool activate_if_newer(ConfigurationState::ConfigurationPtr candidate);
};

} // namespace crosslink
