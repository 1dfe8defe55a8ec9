// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "forward_ports.h"
#include "forward_settings.h"

#include <adapters/call_connections.h>
#include <adapters/connection_times.h>
#include <serve/duty_waker.h>
#include <serve/fleet/exchange.h>
#include <serve/guarded.h>
#include <serve/learned_signal.h>
#include <serve/metrics.h>

#include <crosslink/base/time.h>
#include <crosslink/forward/crash_history.h>
#include <crosslink/forward/fair_share_tracker.h>
#include <crosslink/forward/retry_window.h>
#include <crosslink/forward/runner_table.h>
#include <crosslink/forward/service_map.h>
#include <crosslink/forward/unresolved_failures.h>
#include <crosslink/kept/fetch_delay_tracker.h>
#include <crosslink/kept/kept_replica.h>
#include <crosslink/membership/duty_lease.h>
#include <crosslink/membership/fleet_tree.h>
#include <crosslink/membership/holder_history.h>
#include <crosslink/membership/platform_availability.h>
#include <crosslink/ports/fleet_feed.h>
#include <crosslink/weights/rollout_record.h>
#include <crosslink/weights/weights_history.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// What the platform told of the fleet.
struct FleetView {
    /// Orders are given again `settle` after the platform's return.
    explicit FleetView(Micros settle) : reach(settle) {}

    std::shared_ptr<const ServiceMap> map; ///< Null before the first one.
    bool runners_listed = false; ///< The runners were read at least once.
    std::map<std::string, WeightsHistory, std::less<>> weights; ///< By model.
    /// What the platform keeps of them, by model.
    std::map<std::string, RolloutRecord, std::less<>> rollouts;
    std::map<std::string, InstanceInfo, std::less<>> instances; ///< By name.
    std::uint64_t instances_version = 0; ///< Grows with each change of them.
    std::string coordinator; ///< Peer address of the duty's holder; or empty.
    HolderHistory holders;   ///< Of the duty.
    PlatformAvailability reach;
    /// As another instance told it since; empty for none.
    std::string peer_reported_coordinator;

    /// Returns where questions for the duty's holder go; empty for nowhere.
    const std::string& coordinator_address() const
    {
        return peer_reported_coordinator.empty() ? coordinator
                                                 : peer_reported_coordinator;
    }
};

/// Where an instance stands in the fleet's tree.
struct TreePosition {
    bool is_parent = false;           ///< Others ask it, though it has no duty.
    std::vector<std::string> parents; ///< See FleetTree::parents().
};

/// The weights of a model that a call may begin on.
struct WeightsChoice {
    std::uint64_t newest = 0; ///< Of those that were named; 0 for none.
    std::uint64_t least = 0;  ///< Older ones had to give way.
};

/// Counters of forwarded calls.
struct ForwardCounters {
    using Counter = std::atomic<std::uint64_t>;

    Counter calls{0};
    Counter answered{0};
    Counter refused{0};
    Counter failed{0};
    Counter callers_gone{0};
    Counter sends{0};
    Counter repeats{0};
    Counter runner_ends{0}; ///< Calls under which runners ended.
    Counter requests_blocked{0};
    Counter calls_blocked{0};
    Counter limits_changed{0};  ///< Of runners, as heard here.
    Counter runners_leaving{0}; ///< That said so in answers.
    Counter runner_backoffs{0}; ///< That runners asked for here.
    Counter calls_limited{0};   ///< Refused for limits of runners.
    Counter parts_fetched{0};
    Counter parts_saved{0};
    Counter parts_read{0};
    Counter runners_limited{0}; ///< With a limit in force now.
    TimeSummary first_event;
    TimeSummary whole_answer;
    TimeSummary kept_question;
    TimeSummary load_age; ///< Of others, when it was learned.
    TimeSummary news_age; ///< Of the platform's news, when they were learned.

    /// Returns all of them as Prometheus text.
    std::string text() const;
};

/// Everything that the threads of one instance share. All of it is in memory
/// and may be lost at any time.
struct ForwardState {
    ForwardState(const ForwardSettings& settings_in, ForwardPorts ports_in);

    const ForwardSettings settings;
    const ForwardPorts ports;
    Guarded<FleetView> fleet;
    Guarded<RunnerTable> runners;
    Guarded<RetryWindow> retries;
    Guarded<FairShareTracker> turns; ///< At runners that named limits.
    Guarded<CrashHistory> crashes;
    Guarded<UnresolvedFailures> breaks;
    DutyWaker unresolved_failure_added; ///< Reaches the looks at ports, while
                                        ///< they run.
    Guarded<FetchDelayTracker> fetches;
    Guarded<KeptReplica> kept;
    Guarded<DutyLease> coordinator_lease;
    CallConnections connections;
    /// What the map in force lets callers take.
    const std::shared_ptr<ConnectionTimes> caller_times =
        std::make_shared<ConnectionTimes>();
    ForwardCounters counters;
    std::atomic<bool> stopping{false}; ///< A planned stop has begun.
    std::atomic<bool> refusing{false}; ///< No further call is taken.
    LearnedSignal learned;             ///< The configuration and the runners.
    const TimePoint started_at;

    /// Returns for how long this process has run.
    Micros since_start() const;
    std::shared_ptr<const ServiceMap> map();
    /// Returns which weights of `model` a call may begin on at `now`.
    WeightsChoice weights_choice(std::string_view model, TimePoint now);
    /// Returns for how long `version` of `model` has been replaced at `now`,
    /// without the time that does not count; nothing where it is the newest.
    std::optional<Micros> replaced_for(std::string_view model,
                                       std::uint64_t version, TimePoint now);
    /// Returns whether this instance gets the platform's answers.
    bool reaches_platform();
    /// Returns how long ago this instance heard of the newest versions of
    /// each model, those that calls may still run on.
    std::vector<WeightsAge> weights_ages(TimePoint now);
    /// Takes in when another instance heard of weights, as of `now`.
    void merge_peer_report(const std::vector<WeightsAge>& weights,
                           TimePoint now);
    /// Returns the runners that may start anew, as far as is known lately.
    std::vector<ConnectionFailure> lost_contacts(TimePoint now);
    /// Takes in which runners may start anew, as others told at `now`.
    void merge_peer_report(const std::vector<ConnectionFailure>& lost,
                           TimePoint now);
    /// Logs and counts the requests that are blocked now and were not before.
    void note_blocked();
    /// Takes in that a runner's process ended, as `evidence` shows: the calls
    /// that broke there count. One that said that it leaves ends as planned.
    void note_runner_exit(const RunnerIncarnation& runner,
                          const char* evidence);
    /// Takes in that `runner` is listed: other processes that were at its
    /// address have ended. One that leaves ends as planned.
    void note_runner_replaced(const ListedRunner& runner);
    /// Takes in which runners of late went from the list by themselves.
    void settle_gone_runners();
    /// Takes in what another instance told at `as_of` of calls under which
    /// runners ended.
    void merge_peer_report(const CrashUpdate& news, TimePoint as_of);
    /// Returns what to tell other instances of such calls.
    CrashUpdate crash_updates(TimePoint now);
    /// Takes in what an answer of a runner names as its limit, where its call
    /// was sent when `known` changes of that were known, and logs a change.
    void note_runner_limit(const RunnerIncarnation& runner, double per_second,
                           std::uint64_t known);
    /// Takes in what another instance told of runners' limits.
    void merge_peer_report(const std::vector<LimitUpdate>& limits);
    /// Returns what to tell other instances of them.
    std::vector<LimitUpdate> limit_updates(TimePoint now);
    /// Takes in that a runner says that it leaves, as `source` told, and logs
    /// it where that was not known.
    void note_runner_leaving(const RunnerIncarnation& runner,
                             const char* source);
    /// Takes in which runners told other instances that they leave.
    void merge_peer_report(const std::vector<LeavingUpdate>& leaving);
    /// Returns what to tell other instances of them.
    std::vector<LeavingUpdate> leaving_updates();
    /// Takes in that a runner wants nothing from this instance for `backoff`.
    void note_runner_backoff(const RunnerIncarnation& runner, Micros backoff);
    /// Takes in that a request is recorded as blocked, or no longer.
    void note_block_record(const std::string& request, bool is_blocked);
    /// Takes in that a runner has `version` of `model`, as `source` told, and
    /// logs it where it was not known before.
    void note_runner_weights(const RunnerIncarnation& runner,
                             std::string_view model, std::uint64_t version,
                             const char* source);
    /// Returns the number of instances of the fleet, at least 1.
    std::size_t instance_count();
    /// True where this instance has the duty now.
    bool has_duty();
    /// True where this instance may tell at `now` where parts are kept: it has
    /// the duty, or had it until a moment ago.
    bool may_tell_kept(TimePoint now);
    /// Returns how long acts under the duty may still be done; 0 where they
    /// may not.
    Micros duty_time_left();
    /// True where there is time for an act under the duty.
    bool may_act();
    /// Returns the fencing token for an act that begins now; nothing where
    /// there is no time for it. The lease may be lost between two questions.
    std::optional<std::uint64_t> acting_token();
    /// True where the configuration and the runners are known.
    bool knows_fleet();
    /// True where calls can be served.
    bool ready();
    /// Takes in what the platform told; `whole` where what is not named is
    /// gone. With `lapsed_until`, the platform was
    /// away until a moment ago: runners that are not listed any more may be
    /// well, and count as gone only from then on.
    void apply_changes(const std::vector<FleetChange>& changes, bool whole,
                       std::optional<TimePoint> lapsed_until);
    /// Returns where this instance stands among those that ask each other for
    /// news and load now.
    TreePosition tree_position();
    /// Returns whether other instances are to ask this one for news and load,
    /// though it has no duty.
    bool is_parent() { return tree_position().is_parent; }

private:
    /// The last place, with what it was worked out from: that takes a sort of
    /// all instances by hashes, and is asked for 30 times a second.
    struct KnownPlace {
        std::optional<std::uint64_t> instances_version;
        std::string holder;
        TreePosition place;
    };

    void count_ends(const std::vector<InterruptedCall>& calls,
                    const char* evidence);
    void note_limit(std::string_view runner, double per_second,
                    const char* source);

    Guarded<KnownPlace> m_place;
};

} // namespace crosslink
