// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "fleet_view.h"
#include "forward_counters.h"
#include "forward_ports.h"
#include "forward_settings.h"
#include "stream_records.h"

#include <adapters/call_connections.h>
#include <adapters/connection_times.h>
#include <adapters/single_fields.h>
#include <serve/duty_waker.h>
#include <serve/fleet/exchange.h>
#include <serve/guarded.h>
#include <serve/learned_signal.h>
#include <serve/metrics.h>

#include <crosslink/base/time.h>
#include <crosslink/forward/admission_counts.h>
#include <crosslink/forward/body_budget.h>
#include <crosslink/forward/crash_history.h>
#include <crosslink/forward/fair_share_tracker.h>
#include <crosslink/forward/hedge_policy.h>
#include <crosslink/forward/relay_selector.h>
#include <crosslink/forward/response_times.h>
#include <crosslink/forward/retry_window.h>
#include <crosslink/forward/route_history.h>
#include <crosslink/forward/runner_paths.h>
#include <crosslink/forward/runner_table.h>
#include <crosslink/forward/segment_demand.h>
#include <crosslink/forward/service_map.h>
#include <crosslink/forward/share_loans.h>
#include <crosslink/forward/software_history.h>
#include <crosslink/forward/stream_origins.h>
#include <crosslink/forward/unresolved_failures.h>
#include <crosslink/forward/urgency_tracker.h>
#include <crosslink/kept/fetch_delay_tracker.h>
#include <crosslink/kept/kept_replica.h>
#include <crosslink/membership/duty_lease.h>
#include <crosslink/membership/fleet_tree.h>
#include <crosslink/membership/holder_history.h>
#include <crosslink/membership/platform_availability.h>
#include <crosslink/membership/starter_tree.h>
#include <crosslink/ports/fleet_feed.h>
#include <crosslink/weights/rollout_record.h>
#include <crosslink/weights/weights_history.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// The position of an instance in the fleet's tree.
struct TreePosition {
    /// Other instances ask this one, although it does not hold the coordinator
    /// duty.
    bool is_parent = false;
    std::vector<std::string> parents; ///< See FleetTree::parents().
};

/// The versions of a model's weights that a call may begin on.
struct WeightsChoice {
    std::uint64_t newest = 0; ///< Newest version that was named; 0 for none.
    std::uint64_t least = 0;  ///< Older versions are forbidden.
};

/// The state that the threads of one instance share. It is held in memory
/// only and may be lost at any time.
struct ForwardState {
    ForwardState(const ForwardSettings& settings_in, ForwardPorts ports_in);

    const ForwardSettings settings;
    const ForwardPorts ports;
    /// Of calls, relayed calls and their answers.
    const SingleFields single_fields;
    Guarded<FleetView> fleet;
    Guarded<RunnerTable> runners;
    Guarded<RetryWindow> retries;
    /// Which calls may be sent to a second runner; none by default.
    const HedgePolicy hedge_policy;
    /// Of the calls that this instance sent itself; empty if none is hedged.
    Guarded<ResponseTimes> response_times;
    /// Shares of client accounts at model engines and runners with limits.
    Guarded<FairShareTracker> fair_shares;
    Guarded<UrgencyTracker> urgencies;
    Guarded<SegmentDemand> segment_demand;
    Guarded<AdmissionCounts> admissions;
    Guarded<CrashHistory> crashes;
    Guarded<UnresolvedFailures> unresolved_failures;
    /// Wakes the thread that checks ports, if it runs.
    DutyWaker unresolved_failure_added;
    Guarded<FetchDelayTracker> fetches;
    Guarded<KeptReplica> kept;
    Guarded<DutyLease> coordinator_lease;
    /// Which software began the streams of the last seconds.
    Guarded<StreamOrigins> origins;
    /// Wakes the thread that tells other instances of them.
    DutyWaker origin_noted;
    /// Wakes the thread that records streams at the platform.
    DutyWaker stream_began;
    /// Which software versions served lately.
    Guarded<SoftwareHistory> software;
    /// Which runners this instance reaches by itself.
    Guarded<RunnerPaths> paths;
    /// Wakes the thread that probes paths, if it runs.
    DutyWaker path_changed;
    Guarded<RelaySelector> relays;
    /// Which instances have no share of a runner's capacity left to lend.
    Guarded<ShareLoans> loans;
    CallConnections connections;       ///< To runners.
    Guarded<RouteHistory> routes;      ///< Of the maps that were in force.
    CallConnections relay_connections; ///< To instances that pass calls on.
    BodyBudget bodies; ///< Of requests and answers held in memory.
    /// Timeouts for the connections of callers, from the map in force.
    const std::shared_ptr<ConnectionTimes> caller_times =
        std::make_shared<ConnectionTimes>();
    ForwardCounters counters;
    std::atomic<bool> stopping{false}; ///< A planned stop has begun.
    std::atomic<bool> refusing{false}; ///< New calls are refused.
    /// Addresses to poll while this instance starts in a large fleet and does
    /// not know the other instances; nothing otherwise.
    Guarded<std::optional<std::vector<std::string>>> start_parents;
    /// Notified when the configuration and the runners have been read.
    LearnedSignal learned;
    /// Notified when changes of the platform have been applied, or are
    /// confirmed to be complete.
    LearnedSignal platform_changed;
    const TimePoint started_at;

    /// Returns how long this process has been running.
    Micros since_start() const;
    /// Returns the configuration in force; null before the first one.
    std::shared_ptr<const ServiceMap> map();
    /// Returns which weights of `model` a call may begin on at `now`.
    WeightsChoice weights_choice(std::string_view model, TimePoint now);
    /// Returns how long before `now` the first version above `version` of
    /// `model` was named, without the time during which the platform was
    /// unreachable for the fleet; nothing if no newer version was named.
    std::optional<Micros> replaced_for(std::string_view model,
                                       std::uint64_t version, TimePoint now);
    /// Returns whether this instance gets answers from the platform.
    bool reaches_platform();
    /// Returns how long ago this instance learned of the newest versions of
    /// each model: those that calls may still run on.
    std::vector<WeightsAge> weights_ages(TimePoint now);
    /// Merges the times at which another instance learned of weights. Their
    /// ages count back from `now`.
    void merge_peer_report(const std::vector<WeightsAge>& weights,
                           TimePoint now);
    /// Returns the runners that may have restarted recently: they did not
    /// accept a connection, or broke one.
    std::vector<ConnectionFailure> lost_contacts(TimePoint now);
    /// Merges another instance's lost_contacts(). Their ages count back from
    /// `now`.
    void merge_peer_report(const std::vector<ConnectionFailure>& lost,
                           TimePoint now);
    /// Records that `runner` refused or broke a connection at `at`, and logs
    /// it if that was not known. `source` is who saw it, for the log.
    void note_connection_failed(std::string_view runner, TimePoint at,
                                const char* source);
    /// Records that another instance reaches the runner at `place`, which this
    /// one does not reach, and logs it if that is new.
    void note_path_cut(const RunnerPlace& place);
    /// Asks for a probe of the path to a runner from which nothing comes.
    /// Returns whether one is due; see RunnerPaths::suspect().
    bool suspect_path(const RunnerPlace& place);
    /// Records that the runner at `place` answered on a direct connection that
    /// was made at `opened_at`.
    void note_runner_answered(const RunnerPlace& place, TimePoint opened_at);
    /// Records that bytes of the runner at `place` arrived on a direct
    /// connection.
    void note_runner_heard(const RunnerPlace& place);
    /// Returns how calls to the runner at `place` are to be sent.
    RunnerPaths::Path path_to(const RunnerPlace& place);
    /// Returns an instance to pass a call on to the runner at `place`, not of
    /// `failed_zones` if there is another one; nothing if there is none.
    std::optional<InstanceInfo> choose_relay(const RunnerPlace& place,
                                             const FailedZones& failed_zones);
    /// Records that the instance whose share `pick` needs has no place there
    /// for `pause`.
    void note_loan_refused(const RunnerPick& pick, Micros pause);
    /// Returns the instance `name`; nothing if it is not listed.
    std::optional<InstanceInfo> instance(std::string_view name);
    /// Returns a query for runners of `service`, which it refers to, from this
    /// instance at this time, without what depends on a call.
    RunnerQuery runner_query(const std::string& service);
    /// Returns how runners of `service` are protected while they warm up.
    WarmUpTerms warm_up_terms(const std::string& service);
    /// Records that the instance at `address` passed a call on.
    void relay_helped(std::string_view address);
    /// Records that it could not; see RelaySelector::failed().
    void relay_failed(std::string_view address, const RunnerPlace& place);
    /// Returns whether a stream that a caller takes up at `service` may have
    /// begun at other software: several versions of the service served within
    /// StreamOrigins::lifetime, or its routes have or had other services.
    bool is_mixed(std::string_view service);
    /// Returns the services of which that is so.
    std::set<std::string, std::less<>> mixed_services();
    /// Records which software versions are listed. To be called before and
    /// after each change of the list.
    void note_software();
    /// Records that all changes of the platform are known here that were made
    /// until `at`, and applied.
    void note_confirmed(TimePoint at);
    /// Returns how long before `now` that was; a large time before the first
    /// confirmation.
    Micros changes_age(TimePoint now) const;
    /// Waits, until `latest` at most, for the changes that were made until `at`
    /// to be known here, or for those that make `is_enough` true. Returns
    /// whether all that were made until `at` are known.
    bool knows_changes_until(TimePoint at, TimePoint latest,
                             const std::function<bool()>& is_enough);
    /// Returns whether this instance may have missed changes that others know:
    /// it hears too late or not at all of the platform's.
    bool is_out_of_step();
    /// Returns whether other instances are to be told of streams of `service`:
    /// it is mixed, or would be so to the others.
    bool tells_origins(std::string_view service);
    /// Returns whether a runner of `service` with `software` is listed.
    bool serves(std::string_view service, std::string_view software);
    /// Returns the only software that runners of `service` have or had within
    /// StreamOrigins::lifetime; nothing if there are none, or several.
    std::optional<std::string> only_software(std::string_view service);
    /// Returns the other instances among the homes of `stream`; see
    /// crosslink::stream_homes().
    std::vector<InstanceInfo> stream_homes(std::string_view stream);
    /// Returns the known origins of streams whose home the instance `name` is.
    std::vector<StreamOrigin> streams_of(const std::string& name);
    /// Learns the streams that the platform has recorded, unless a reading did
    /// that began after `asked`. Throws Error if the platform doesn't answer,
    /// and at once if the reading can't begin by `latest`.
    void read_stream_records(TimePoint asked, TimePoint latest);
    /// Returns the origin of `stream` as the last reading brought it; nothing
    /// if it is in no record.
    std::optional<StreamOrigin> recorded_stream(std::string_view stream);
    /// Returns what the platform lists of `runner`; nothing if it does not.
    std::optional<ListedRunner> listed_runner(std::string_view runner);
    /// Returns a random listed runner of `group` other than `except` that does
    /// not leave; nothing if there is none. Runners that only other instances
    /// reach are drawn last: they show nothing of the rest of their group.
    std::optional<ListedRunner> draw_runner(const RunnerGroup& group,
                                            std::string_view except);
    /// Logs and counts the requests that were blocked since the last call.
    void log_newly_blocked();
    /// Records that a runner's process exited; `evidence` is how this was
    /// found out, for the log. Broken calls there count against their requests,
    /// unless the runner announced that it would exit.
    void note_runner_exit(const RunnerIncarnation& runner,
                          const char* evidence);
    /// Records that `runner` is listed, which shows that other processes at its
    /// address have exited. Their broken calls count, unless the process
    /// announced its exit.
    void note_runner_replaced(const ListedRunner& runner);
    /// Counts the broken calls at runners that recently disappeared from the
    /// platform's list without having announced it.
    void note_gone_runners();
    /// Merges another instance's crash_updates(), which it sent at `as_of`.
    void merge_peer_report(const CrashUpdate& update, TimePoint as_of);
    /// Returns what was learned recently about requests under which runners
    /// exited, for other instances.
    CrashUpdate crash_updates(TimePoint now);
    /// Records the rate limit in an answer of a runner, and logs a change. The
    /// call was sent when `known` changes of the limit were known.
    void note_runner_limit(const RunnerIncarnation& runner, double per_second,
                           std::uint64_t known);
    /// Merges the limits of runners that another instance reported.
    void merge_peer_report(const std::vector<LimitUpdate>& limits);
    /// Returns the limits of runners, for other instances.
    std::vector<LimitUpdate> limit_updates(TimePoint now);
    /// Records that a runner announced that it will exit, and logs it if that
    /// was not known. `source` is who reported it, for the log.
    void note_runner_leaving(const RunnerIncarnation& runner,
                             const char* source);
    /// Merges the runners that announced to other instances that they will
    /// exit.
    void merge_peer_report(const std::vector<LeavingUpdate>& leaving);
    /// Returns the runners that announced their exit, for other instances.
    std::vector<LeavingUpdate> leaving_updates();
    /// Records how many refusals a second a process states that it bears; 0 if
    /// it is not brittle.
    void note_bearable_refusals(const RunnerIncarnation& runner,
                                std::uint32_t refusals);
    /// Records that a runner asked this instance to send nothing for `backoff`.
    void note_runner_backoff(const RunnerIncarnation& runner, Micros backoff);
    /// Records whether the platform has a record that blocks the request.
    void note_block_record(const std::string& key, bool is_blocked);
    /// Records the same of a copy from which the platform's store was restored.
    void note_restored_block_record(const std::string& request,
                                    bool is_blocked);
    /// Records that a runner has loaded `version` of `model`, and logs it if
    /// that was not known. `source` is who reported it, for the log.
    void note_runner_weights(const RunnerIncarnation& runner,
                             std::string_view model, std::uint64_t version,
                             const char* source);
    /// Returns the number of instances of the fleet, at least 1.
    std::size_t instance_count();
    /// Returns whether this instance holds the coordinator duty now.
    bool has_duty();
    /// Returns whether this instance may answer at `now` where prompt parts are
    /// stored: it holds the duty, or held it less than kept_grace_time ago.
    bool may_answer_kept(TimePoint now);
    /// Returns how long this instance may still act under the duty; 0 if it may
    /// not.
    Micros duty_time_left();
    /// Returns whether the lease lasts long enough for an action under the
    /// duty.
    bool may_act();
    /// Returns the fencing token for an action that begins now; nothing if the
    /// lease does not last long enough for it. To be called for each action,
    /// since the lease may be lost between two calls.
    std::optional<std::uint64_t> acting_token();
    /// Returns whether the configuration and the runners have been read.
    bool knows_fleet();
    /// Returns whether this instance can serve calls.
    bool ready();
    /// Applies changes that were read from the platform. With `lapsed_until`,
    /// the platform was unreachable until a moment ago: runners that are no
    /// longer listed may be healthy, and count as gone only from that time on.
    void apply_changes(const std::vector<FleetChange>& changes,
                       ChangesKind kind, std::optional<TimePoint> lapsed_until);
    /// Returns the current position of this instance in the tree in which
    /// instances ask each other for load and for the platform's changes.
    TreePosition tree_position();
    /// Returns the addresses that `instance` may poll, for an instance that
    /// starts; empty while this one does not know the fleet.
    std::vector<std::string> parents_of(const InstanceInfo& instance);
    /// Returns whether other instances are to ask this one for load and for the
    /// platform's changes, although it does not hold the duty.
    bool is_parent() { return tree_position().is_parent; }

private:
    /// The last result of tree_position(), with the values that it depends on.
    /// Working it out takes a sort of all instances by hashes, and it is asked
    /// for 30 times a second.
    struct CachedPosition {
        std::optional<std::uint64_t> instances_version;
        std::string holder;
        TreePosition position;
    };

    void observe_software();
    void count_ends(const std::vector<InterruptedCall>& calls,
                    const char* evidence);
    void log_limit_change(std::string_view runner, double per_second,
                          const char* source);

    Guarded<CachedPosition> m_position;
    std::atomic<TimePoint> m_confirmed_at{}; ///< See note_confirmed().
    StreamRecords m_stream_records;
    Guarded<StarterTree> m_starter_tree;
};

} // namespace crosslink
