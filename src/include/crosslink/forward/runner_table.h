// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/ended_processes.h>
#include <crosslink/forward/holding_time.h>
#include <crosslink/forward/prefill_rate.h>
#include <crosslink/forward/runner_entry.h>
#include <crosslink/forward/runner_index.h>
#include <crosslink/forward/runner_query.h>
#include <crosslink/forward/software_history.h>
#include <crosslink/forward/unlisted_notices.h>
#include <crosslink/membership/settled_members.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

class HomeRunners;
class ShareLoans;
struct FleetLoad;
struct RateShare;
struct SpeedReport;

/// The runners of all services, and the choice among them.
class RunnerTable
{
public:
    using Entries = std::map<std::string, RunnerEntry, std::less<>>;

    RunnerTable();

    /// Replaces the whole list; what is known of the runners that remain is
    /// kept.
    void sync(std::span<const ListedRunner> listed, TimePoint now);
    /// Applies one entry of the list that was learned at `now`. Returns whether
    /// it describes a new incarnation of a listed runner; what was known of the
    /// earlier one is then discarded. An entry of an earlier incarnation than
    /// the known one is ignored.
    bool put(const ListedRunner& listed, TimePoint now);
    /// As put(), for an entry of a copy from which the platform's list was
    /// restored. A process that the list lately reported as leaving or gone
    /// does not become ready by it, and no weights become older.
    bool put_restored(const ListedRunner& listed, TimePoint now);
    /// Returns whether `listed` describes a process that the list lately
    /// reported as leaving or gone, or one before the known one.
    bool is_outdated(const ListedRunner& listed) const;
    /// Removes a runner that is no longer listed and is known to be gone.
    void remove(std::string_view id);
    /// Records that a runner is no longer listed. Its entry may have expired by
    /// itself, so that the runner counts as gone only from `gone_at` on.
    void lapsed(std::string_view id, TimePoint gone_at);
    /// As sync(); runners that are not listed count as gone from `gone_at` on.
    void sync_lapsed(std::span<const ListedRunner> listed, TimePoint gone_at,
                     TimePoint now);
    /// Drops the runners that count as gone at `now`.
    void expire(TimePoint now);

    /// Sets whether `zone` is evacuated: no new calls are sent to the runners
    /// of an evacuated zone. Once the evacuation ends, they count as warming up
    /// from then on: they may have become cold, and their own reports of that
    /// arrive later.
    void evacuate(std::string_view zone, bool evacuated, TimePoint now);
    /// Replaces the set of evacuated zones by `zones`.
    void evacuate_only(const std::set<std::string>& zones, TimePoint now);
    const std::set<std::string, std::less<>>& evacuated() const
    {
        return m_evacuated;
    }
    /// The instances that share the capacity of runners that warm up.
    SettledMembers& members() { return m_members; }
    /// Drops the runners of all services but `services`.
    void keep_services(const std::set<std::string_view, std::less<>>& services);

    /// Returns how many listed runners each software version has.
    const SoftwareCounts& software() const { return m_software; }
    /// Returns the runner for a call, or nothing if none accepts work.
    std::optional<RunnerPick> choose(const RunnerQuery& query) const;
    /// Returns the runner for a call that waited at the runner of
    /// `reservation`, which is released. Other calls that wait there come after
    /// it.
    std::optional<RunnerPick>
    choose_reserved(const RunnerQuery& query,
                    const RunnerIncarnation& reservation);
    /// Returns a runner with little capacity, and another instance that has a
    /// share of it, for a call that this instance has no share for; nothing if
    /// there is none from which `loans` lets it borrow. Instances whose callers
    /// send more than their shares cover use what others leave.
    std::optional<RunnerPick> choose_borrowed(const RunnerQuery& query,
                                              const ShareLoans& loans) const;
    /// Returns when choose_borrowed() may find one; nothing if no other
    /// instance has a share. A call that waits for this is served although this
    /// instance has no share at any runner.
    std::optional<TimePoint> next_loan(const RunnerQuery& query,
                                       const ShareLoans& loans) const;
    /// Takes a place of this instance's share of a runner for a call of another
    /// instance, which is sent at once. Returns nothing if there is one, and
    /// else when there may be. loan_ended() must follow a place.
    std::optional<TimePoint> lend(const RunnerIncarnation& runner,
                                  const RunnerQuery& query);
    /// Records the end of a call for which lend() gave a place.
    void loan_ended(const RunnerIncarnation& runner);
    /// Returns when a runner accepts work again.
    NextAvailability next_available(const RunnerQuery& query) const;
    /// Counts a call as about to be sent, so that other choices made at the
    /// same time take it into account. sent(), release() or choose_reserved()
    /// must follow.
    void reserve(const RunnerIncarnation& runner);
    /// Releases the reservation of a call that is not sent after all.
    void release(const RunnerIncarnation& runner);
    /// Records a call that is sent at `now`, with the tokens to prefill and the
    /// tokens of KV memory that it holds.
    void sent(const RunnerIncarnation& runner, std::uint64_t tokens,
              std::uint64_t resident, TimePoint now);
    /// As sent(), for a call on the share of another instance, which counts it
    /// against the share.
    void sent_on_loan(const RunnerIncarnation& runner, std::uint64_t tokens,
                      std::uint64_t resident);
    /// Records the end of such a call, with the KV memory that it held.
    void ended_on_loan(const RunnerIncarnation& runner, std::uint64_t resident);
    /// Records that a call's prompt was prefilled.
    void prompt_read(const RunnerIncarnation& runner, std::uint64_t tokens);
    /// Records the end of a call, with the KV memory that it held.
    void ended(const RunnerIncarnation& runner, std::uint64_t resident = 0);
    /// Records how long a call that ran to its end was in flight, with the KV
    /// memory that it held.
    void ran(std::string_view id, std::uint64_t resident, Micros span);
    /// Records that a call's first event, or its answer, came after `taken`,
    /// and was expected after `expected`.
    void answered(const RunnerIncarnation& runner, Micros expected,
                  Micros taken, TimePoint now);
    /// Returns how much later a runner answers than the mean of its service.
    Micros slowness_of(const RunnerEntry& entry, TimePoint now) const;
    /// Records a call sent at `now` whose first event, or answer, is expected
    /// after `expected`, and may take `allowance` longer. Returns when it is
    /// due; await_ended() must follow.
    TimePoint await(const RunnerIncarnation& runner, Micros expected,
                    Micros allowance, TimePoint now);
    /// Records that a call for which await() returned `due` was answered, or
    /// ended without an answer.
    void await_ended(const RunnerIncarnation& runner, TimePoint due,
                     bool is_answered, TimePoint now);
    /// Returns for how long a process has been stalled, by the calls of this
    /// instance; see AwaitedAnswers.
    Micros stalled_for(const RunnerEntry& entry, TimePoint now) const;
    /// Records the first event of a prompt; see PrefillRate::prefilled(). It
    /// counts if the runner has no other calls, as far as known.
    void prefilled(const RunnerIncarnation& runner, std::uint64_t tokens,
                   Micros wait, Micros taken, TimePoint now);
    /// Returns the prompt tokens that a typical engine of `service` prefills in
    /// a millisecond.
    double prefill_rate(std::string_view service, TimePoint now) const;
    /// Returns `load`, reported `age` ago, without the prompt tokens that have
    /// been prefilled since.
    std::map<std::string, RunnerLoad>
    aged_load(std::map<std::string, RunnerLoad> load, Micros age,
              TimePoint now) const;
    /// Returns what this instance knows of the speed of runners.
    SpeedReport speed_report(TimePoint now);
    /// Applies what all other instances know of it, as of `as_of`.
    void apply_speed_report(const SpeedReport& report, TimePoint as_of);
    /// Records a refusal: no calls are sent to the runner for `hold`.
    void refused(const RunnerIncarnation& runner, TimePoint now, Micros hold);
    /// Records how many refusals a second a runner states that it bears; 0 if
    /// it is not brittle. That holds for all runners of its service, also for
    /// processes that have not answered yet.
    void set_bearable_refusals(const RunnerIncarnation& runner,
                               std::uint32_t refusals);
    /// Returns how many refusals each runner of `service` bears in a second; 0
    /// for any number.
    std::uint32_t bearable_refusals(std::string_view service) const;
    /// Records that a runner refused a call. If it is brittle, it gets no more
    /// calls at a time than now from here on. `random` bits spread the
    /// instances.
    void found_no_room(const RunnerIncarnation& runner, TimePoint now,
                       std::uint64_t random);
    /// Records that a runner loads weights: no calls are sent to it for `hold`.
    void loads(std::string_view id, TimePoint now, Micros hold);
    /// Records a failure: no calls are sent to the runner for a time that
    /// doubles with each further one.
    void failed(const RunnerIncarnation& runner, TimePoint now);
    void succeeded(const RunnerIncarnation& runner);
    /// Records that a runner refused or broke a connection at `at`. It may be
    /// restarting, and counts as warming up from then on. Its own report of
    /// that arrives up to 2 s after the start. Returns whether no failure of
    /// the last seconds was known.
    bool connection_failed(std::string_view id, TimePoint at);
    /// Returns the runners with a connection failure after `since`, and when it
    /// was.
    std::map<std::string, TimePoint> connection_failures(TimePoint since) const;
    /// Records that a runner does not respond at all. Its zone may be cut off,
    /// and is avoided for a while, or until one of its runners answers.
    void silent(std::string_view id, TimePoint now);
    /// Records the weights that a runner reports. Returns whether they were not
    /// known yet. Between two starts a runner's weights only get newer, so that
    /// older versions are late reports, which are ignored.
    bool record_version(const RunnerIncarnation& runner, std::string_view model,
                        std::uint64_t version);
    /// Records that a runner has other weights than `version`, which a call
    /// requested: the recorded version is discarded, and that of the list
    /// counts again. Without this, one wrong version would keep calls and
    /// orders from a runner until it ends.
    void discard_version(const RunnerIncarnation& runner,
                         std::string_view model, std::uint64_t version);

    /// Applies the limit that a runner advertises in an answer to a call that
    /// was sent when `known` changes of it were known. Returns whether it
    /// changed.
    bool apply_limit_answer(const RunnerIncarnation& runner, double per_second,
                            std::uint64_t known, TimePoint now);
    /// Merges another instance's report of a runner's limit. Returns whether
    /// the limit changed.
    bool merge_limit(const LimitUpdate& update, TimePoint now);
    /// Returns the limits to report to other instances.
    std::vector<LimitUpdate> limit_updates(TimePoint now) const;
    /// Returns how many runners have a limit in force.
    std::size_t limited_count() const;

    /// Records that a process announced that it leaves. Returns whether that
    /// was not known. The process may be one that is not listed now.
    bool set_leaving(const RunnerIncarnation& runner, TimePoint now);
    /// Returns the leaving processes to report to other instances: those that
    /// the platform does not list as leaving yet.
    std::vector<LeavingUpdate> leaving_updates() const;
    /// Records that a process requests no calls from this instance before
    /// `until`. Returns whether this extends an earlier request; a shorter one
    /// has no effect.
    bool set_backoff(const RunnerIncarnation& runner, TimePoint until,
                     TimePoint now);

    /// Returns the load that this instance puts on each runner.
    std::map<std::string, RunnerLoad> own_load() const;
    /// Sets the load that all other instances put on each runner, as of
    /// `as_of`. With `known_zone`, it is the load on the runners of that zone
    /// only, and that on all others is not known.
    void set_remote_load(const std::map<std::string, RunnerLoad>& load,
                         TimePoint as_of, std::string_view known_zone = {});
    /// Removes the load on runners of other zones than `zone` from `load`.
    void keep_zone(std::map<std::string, RunnerLoad>& load,
                   std::string_view zone) const;

    const Entries& entries() const { return m_entries; }
    /// Returns what is known of a listed runner; null for another one.
    const RunnerEntry* entry(std::string_view id) const;
    /// Returns the number of listed runners in `zone`.
    std::size_t count_in_zone(std::string_view zone) const
    {
        return m_index.count_in_zone(zone);
    }
    /// Returns how many entries the queries and updates of this table have
    /// looked at: a measure of their cost.
    std::uint64_t entries_visited() const { return m_visited; }

private:
    /// Runners of a zone that are looked at for one with a share to borrow.
    static constexpr std::size_t max_lending_runners = 32;

    std::set<std::string_view> put_all(std::span<const ListedRunner> listed,
                                       TimePoint now);
    bool apply_listed(const ListedRunner& listed, TimePoint now);
    void record_send(RunnerEntry& entry, TimePoint now) const;
    RunnerEntry* find(std::string_view id);
    RunnerEntry* find(const RunnerIncarnation& runner);
    RunnerNotices* notices_of(const RunnerIncarnation& runner);
    void drop_if(const std::function<bool(const RunnerEntry&)>& condition);
    void drop(Entries::iterator entry);
    void uncount_software(const ListedRunner& listed);
    const RunnerEntry* visit(std::string_view id) const;
    void prune_noticed(TimePoint now);
    bool may_accept_work(const RunnerEntry& entry,
                         const RunnerQuery& query) const;
    TimePoint warm_at(const RunnerEntry& entry, const RunnerQuery& query) const;
    TimePoint free_at(const RunnerEntry& entry, const RunnerQuery& query) const;
    TimePoint free_at(const RunnerEntry& entry, const RunnerQuery& query,
                      std::size_t reserved) const;
    TimePoint warm_up_free_at(const RunnerEntry& entry,
                              const RunnerQuery& query,
                              std::size_t reserved) const;
    TimePoint limit_free_at(const RunnerEntry& entry, const RunnerQuery& query,
                            std::size_t reserved) const;
    TimePoint shared_until(std::string_view service) const;
    TimePoint room_free_at(const RunnerEntry& entry, const RunnerQuery& query,
                           std::size_t reserved) const;
    bool has_share(const RunnerEntry& entry, const RunnerQuery& query,
                   const RateShare& share) const;
    void add_own(RunnerEntry& entry, std::uint64_t tokens,
                 std::uint64_t resident);
    std::optional<RunnerPick> draw_borrowed(const RunnerIndex::Group& group,
                                            const RunnerQuery& query,
                                            const ShareLoans& loans,
                                            std::mt19937_64& generator) const;
    /// A place of an instance's share of a runner.
    struct LoanOffer {
        std::string_view holder; ///< Name of the instance.
        TimePoint from{};        ///< When there may be one.
    };
    std::vector<LoanOffer> loan_offers(const RunnerEntry& entry,
                                       const RunnerQuery& query,
                                       const ShareLoans& loans) const;
    std::optional<std::size_t> share_count(const RunnerEntry& entry,
                                           const RunnerQuery& query) const;
    RunnerPick pick_of(const RunnerEntry& entry, const RunnerQuery& query,
                       const FleetLoad& fleet) const;
    bool is_silent(std::string_view zone, TimePoint now) const;
    double slowness_ms(const RunnerEntry& entry,
                       const RunnerQuery& query) const;
    HomeRunners home_runners(const RunnerQuery& query) const;
    ServiceSpeed service_speed(std::string_view service, TimePoint now) const;
    void forget_prefill_rate(const ListedRunner& ended);
    void report_process(const RunnerEntry& entry, SpeedReport& report,
                        TimePoint now) const;
    void report_services(SpeedReport& report, TimePoint now) const;
    std::size_t runners_of_own_zone(const RunnerQuery& query) const;
    void sample(std::vector<const RunnerEntry*>& candidates,
                const std::vector<const RunnerEntry*>& home,
                const RunnerQuery& query) const;
    const RunnerEntry* cheapest(const std::vector<const RunnerEntry*>& entries,
                                const std::vector<const RunnerEntry*>& home,
                                const RunnerQuery& query,
                                const FleetLoad& fleet) const;
    FleetLoad fleet_load(const RunnerQuery& query) const;
    bool accepts(const RunnerEntry& entry, const RunnerQuery& query) const;
    const RunnerEntry* due_probe(const RunnerQuery& query) const;
    std::vector<const RunnerEntry*>
    candidates(const RunnerQuery& query, const FleetLoad& fleet,
               std::vector<const RunnerEntry*>& home) const;
    void keep_zone_of(std::vector<const RunnerEntry*>& candidates,
                      const RunnerQuery& query, const FleetLoad& fleet) const;
    std::vector<const RunnerEntry*> walk(const RunnerIndex::Group& group,
                                         const RunnerQuery& query) const;
    std::vector<const RunnerEntry*> draw(const RunnerIndex::Group& group,
                                         std::size_t count,
                                         const RunnerQuery& query,
                                         std::mt19937_64& generator) const;
    Micros holding_time(std::string_view service) const;

    Entries m_entries;
    SoftwareCounts m_software;
    RunnerIndex m_index;
    mutable std::uint64_t m_visited = 0; ///< See entries_visited().
    UnlistedNotices m_unlisted;
    EndedProcesses m_ended;
    /// What the runners of a brittle service state and show.
    struct Brittleness {
        std::uint32_t bearable_refusals = 0; ///< Of each, in a second.
        /// Until when one instance sends to each; see room_free_at().
        TimePoint shared_until{};
    };
    std::map<std::string, Brittleness, std::less<>> m_brittle; ///< By service.
    /// Zones that may be cut off, and until when they are avoided.
    std::map<std::string, TimePoint, std::less<>> m_silent_zones;
    std::set<std::string, std::less<>> m_evacuated; ///< Zones.
    /// Zones that were evacuated, and until when.
    std::map<std::string, TimePoint, std::less<>> m_reopened;
    SettledMembers m_members;
    /// How long calls hold their KV memory, by service.
    std::map<std::string, HoldingTime, std::less<>> m_holding_times;
    /// Of all runners of a service.
    std::map<std::string, ResponseSpeed, std::less<>> m_speeds;
    /// The same, as other instances report it.
    struct ReportedSpeed {
        SpeedEvidence evidence;
        Micros time{0};
        TimePoint at{}; ///< Of the answers.
    };
    std::map<std::string, ReportedSpeed, std::less<>> m_reported_speeds;
    std::map<std::string, PrefillRate, std::less<>> m_prefill_rates;
    /// Runners with a call that is awaited, or a recent answer.
    RunnerIndex::Ids m_timed;
    TimePoint m_others_at{}; ///< Time of the others' latest load.
    bool m_others_known = false;
    std::string m_known_zone; ///< See set_remote_load().
};

} // namespace crosslink
