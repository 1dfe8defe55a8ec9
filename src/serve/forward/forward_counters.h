// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <serve/metrics.h>

#include <crosslink/forward/hedge_policy.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace crosslink
{

/// Counters of forwarded calls.
struct ForwardCounters {
    using Counter = std::atomic<std::uint64_t>;

    Counter calls{0};
    Counter answered{0};
    Counter refused{0};
    Counter failed{0};
    Counter callers_gone{0};
    Counter sends{0};
    Counter hedges{0};     ///< Second copies that were sent to runners.
    Counter hedges_won{0}; ///< Of them, those whose answers were delivered.
    /// Late calls that were not hedged, by HedgeDenial. Without observations,
    /// no call counts as late: FewObservations counts sends.
    std::array<Counter, static_cast<std::size_t>(HedgeDenial::Count_)>
        hedges_denied{};
    Counter repeats{0};
    Counter runner_ends{0}; ///< Calls in progress at runners that exited.
    Counter requests_blocked{0};
    Counter calls_blocked{0};
    Counter limits_changed{0};  ///< Changes of runners' limits seen here.
    Counter runners_leaving{0}; ///< Runners that reported that they will exit.
    Counter runner_backoffs{0}; ///< Backoffs that runners asked for.
    Counter calls_limited{0};   ///< Refused because of runners' limits.
    Counter queue_too_long{0};  ///< Refused for the wait, whoever calls.
    Counter less_urgent{0};     ///< Refused for more urgent calls.
    Counter above_share{0};     ///< Refused for accounts within their share.
    Counter parts_fetched{0};   ///< Prompt parts fetched from a store.
    Counter parts_saved{0};     ///< Prompt parts read and saved to a store.
    Counter parts_read{0};      ///< Prompt parts read and not saved.
    Counter polls_refused{0};   ///< Polls of too many other instances.
    Counter paths_cut{0};       ///< Runners that only other instances reach.
    Counter calls_relayed{0};   ///< Sent to runners by other instances.
    Counter relays_vain{0};     ///< Instances that did not send a call on.
    Counter relays_served{0};   ///< Calls sent to runners for others.
    Counter relays_refused{0};  ///< Calls not sent on for others.
    Counter shares_borrowed{0}; ///< Calls sent on the shares of others.
    Counter shares_lent{0};     ///< Calls of others sent on an own share.
    Counter shares_denied{0};   ///< Calls of others for which none was left.
    Counter streams_refused{0}; ///< Taken up, and can't go on.
    Counter relays_open{0};     ///< Gauge: calls in progress for others.
    Counter runners_limited{0}; ///< Gauge: runners with a limit in force.
    TimeSummary first_event;
    TimeSummary whole_answer;
    TimeSummary kept_question; ///< Time of a lookup of prompt parts.
    TimeSummary load_age;      ///< Age of other instances' load on arrival.
    TimeSummary news_age;      ///< Age of the platform's changes on arrival.

    /// Returns all counters in the Prometheus text format.
    std::string text() const;
};

} // namespace crosslink
