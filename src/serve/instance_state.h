// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "clients.h"
#include "duty_waker.h"
#include "guarded.h"
#include "metrics.h"
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

/// The state that routing decisions are based on.
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

/// The state shared by the duties and the requests of one entry instance. It is
/// kept in memory only and may be lost at any time.
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
    /// Prompts during which engine processes ended, as observed here.
    Guarded<CrashHistory> crashes;
    /// Not yet known if the engine ended.
    Guarded<UnresolvedFailures> unresolved_failures;
    DutyWaker unresolved_failure_added; ///< Wakes ProcessEndProbe, which probes
                                        ///< ports.
    Metrics metrics;
    DutyWaker configuration_pull;      ///< A peer has a newer revision.
    DutyWaker gossip_now;              ///< An update must spread at once.
    std::atomic<bool> ready{false};    ///< May serve requests.
    std::atomic<bool> stopping{false}; ///< A planned stop has begun.

    /// Records that an engine's process ended: each prompt whose call failed
    /// there is counted as having run during a crash.
    void engine_ended(const std::string& address);
    /// Returns the live members of this instance's zone, the preferred one for
    /// `duty` first, by rendezvous hashing. The order is the same at all
    /// members that know the same members; where their views differ, more or
    /// fewer of them than intended perform the duty.
    std::vector<Member> preferred_in_zone(std::string_view duty);
    /// Returns whether this instance is among the first `count` members of
    /// preferred_in_zone().
    bool is_preferred_in_zone(std::string_view duty, std::size_t count);
    /// Returns the peer address of this instance.
    const std::string& self_address() const { return settings.advertise; }
    /// Returns the share of the client accounts' limits that this instance may
    /// grant: 1 divided by the number of live members.
    double limit_share();
    /// Makes `candidate` the current configuration if it is newer, and gossips
    /// its revision at once. Returns whether it was newer.
    bool activate_if_newer(ConfigurationState::ConfigurationPtr candidate);
};

} // namespace crosslink
