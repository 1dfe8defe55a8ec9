// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/holding_time.h>
#include <crosslink/forward/runner_entry.h>
#include <crosslink/forward/runner_query.h>
#include <crosslink/forward/unlisted_notices.h>
#include <crosslink/membership/settled_members.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

struct FleetLoad;
struct RateShare;

/// The runners of all services, and the choice among them.
class RunnerTable
{
public:
    using Entries = std::map<std::string, RunnerEntry, std::less<>>;

    RunnerTable();

    /// Replaces the whole list; what is known of those that stay is kept.
    void sync(std::span<const ListedRunner> listed, TimePoint now);
    /// Takes over one entry of the list that was learned at `now`. Returns
    /// whether it is of a new incarnation of a runner that was listed: then all
    /// that was known of the earlier one is forgotten. An entry of an earlier
    /// incarnation than the known one is passed over.
    bool put(const ListedRunner& listed, TimePoint now);
    /// Takes note that a runner is no longer listed, and that it is gone.
    void remove(std::string_view id);
    /// Takes note that a runner is no longer listed. Its entry may have lapsed
    /// by itself, so that it counts as gone only from `gone_at` on.
    void lapsed(std::string_view id, TimePoint gone_at);
    /// As sync(); those that are not listed count as gone from `gone_at` on.
    void sync_lapsed(std::span<const ListedRunner> listed, TimePoint gone_at,
                     TimePoint now);
    /// Drops the runners that count as gone at `now`.
    void expire(TimePoint now);

    /// Takes note that nothing new may be sent to the runners of `zone`, or
    /// that it may again. They may have become cold meanwhile, and their own
    /// word of that comes later: they count as warming up from then on.
    void evacuate(std::string_view zone, bool evacuated, TimePoint now);
    /// Lets only `zones` be evacuated.
    void evacuate_only(const std::set<std::string>& zones, TimePoint now);
    const std::set<std::string, std::less<>>& evacuated() const
    {
        return m_evacuated;
    }
    /// The instances that share what runners bear while they warm up.
    SettledMembers& members() { return m_members; }
    /// Drops the runners of all services but `services`.
    void keep_services(const std::set<std::string_view, std::less<>>& services);

    /// Returns the runner for a call, or nothing where none takes work.
    std::optional<RunnerPick> choose(const RunnerQuery& query) const;
    /// Returns the runner for a call that waited with a reservation at
    /// `booked`, which is given back; others that wait there come after it.
    std::optional<RunnerPick> choose_reserved(const RunnerQuery& query,
                                              const RunnerIncarnation& booked);
    /// Returns when a runner takes work again.
    NextAvailability next_available(const RunnerQuery& query) const;
    /// Counts a call as about to be sent, so that others that are chosen for at
    /// the same time know of it. sent(), release() or choose_reserved() must
    /// follow.
    void reserve(const RunnerIncarnation& runner);
    /// Takes note that such a call is not sent after all.
    void release(const RunnerIncarnation& runner);
    /// Takes note of a call that is sent at `now`, with the tokens that are to
    /// be read and the tokens of KV memory that it takes.
    void sent(const RunnerIncarnation& runner, std::uint64_t tokens,
              std::uint64_t resident, TimePoint now);
    /// Takes note that a call's prompt was read.
    void prompt_read(const RunnerIncarnation& runner, std::uint64_t tokens);
    /// Takes note of a call's end, with the memory that it took.
    void ended(const RunnerIncarnation& runner, std::uint64_t resident = 0);
    /// Takes note of how long a call that ran to its end was under way, with
    /// the memory that it took.
    void ran(std::string_view id, std::uint64_t resident, Micros span);
    /// Takes note of a refusal: nothing goes there for `hold`.
    void refused(const RunnerIncarnation& runner, TimePoint now, Micros hold);
    /// Takes note that a runner loads weights: nothing goes there for `hold`.
    void loads(std::string_view id, TimePoint now, Micros hold);
    /// Takes note of a failure: it gets nothing for a time that doubles.
    void failed(const RunnerIncarnation& runner, TimePoint now);
    void succeeded(const RunnerIncarnation& runner);
    /// Takes note that a runner took no connection at `at`, or broke one off:
    /// it may have ended and start again, and counts as warming up from then
    /// on. Its own word of that comes up to 2 s after the start.
    void connection_failed(std::string_view id, TimePoint at);
    /// Returns the runners of which that was noted after `since`, and when.
    std::map<std::string, TimePoint> connection_failures(TimePoint since) const;
    /// Takes note that a runner says nothing at all: its zone may be cut off,
    /// and is passed over for a while, or until one of its runners answers.
    void silent(std::string_view id, TimePoint now);
    /// Takes note of the weights that a runner has by its own word. Returns
    /// whether that was not known yet. Between two starts a runner's weights
    /// only get newer: older ones were told late, and are passed over.
    bool record_version(const RunnerIncarnation& runner, std::string_view model,
                        std::uint64_t version);
    /// Takes note that a runner has other weights than `version`, which a call
    /// asked for: what was told does not hold, and the list counts again.
    /// Without this, one wrong word would keep a runner from calls and from
    /// orders until it ends: 1,100 calls turned away in 30 s were seen, where
    /// a guess stood for its word.
    void discard_version(const RunnerIncarnation& runner,
                         std::string_view model, std::uint64_t version);

    /// Takes in the limit that a runner names in an answer, where its call was
    /// sent when `known` changes of it were known. Returns whether it changed.
    bool limit_answered(const RunnerIncarnation& runner, double per_second,
                        std::uint64_t known, TimePoint now);
    /// Takes in what another instance told of a runner's limit. Returns whether
    /// it changed.
    bool limit_told(const LimitUpdate& news, TimePoint now);
    /// Returns what to tell other instances of limits.
    std::vector<LimitUpdate> limit_updates(TimePoint now) const;
    /// Returns how many runners have a limit in force.
    std::size_t limited_count() const;

    /// Takes in that a process says that it leaves. Returns whether that was
    /// not known. It may be one that is not listed now.
    bool set_leaving(const RunnerIncarnation& runner, TimePoint now);
    /// Returns what to tell other instances of such processes: of those that
    /// the platform does not call leaving yet.
    std::vector<LeavingUpdate> leaving_updates() const;
    /// Takes in that a process wants nothing from this instance before `until`.
    /// Returns whether that is later than it said before: what it asked for
    /// earlier stands.
    bool set_backoff(const RunnerIncarnation& runner, TimePoint until,
                     TimePoint now);

    /// Returns the load that this instance gives to each runner.
    std::map<std::string, RunnerLoad> own_load() const;
    /// Takes in the load that all other instances gave at `as_of`.
    void others_told(const std::map<std::string, RunnerLoad>& load,
                     TimePoint as_of);

    const Entries& entries() const { return m_entries; }

private:
    std::set<std::string_view> put_all(std::span<const ListedRunner> listed,
                                       TimePoint now);
    void note_send(RunnerEntry& entry, TimePoint now) const;
    RunnerEntry* find(std::string_view id);
    RunnerEntry* find(const RunnerIncarnation& runner);
    RunnerNotices* notices_of(const RunnerIncarnation& runner);
    void drop_if(const std::function<bool(const RunnerEntry&)>& condition);
    bool may_take_work(const RunnerEntry& entry,
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
    bool has_share(const RunnerEntry& entry, const RunnerQuery& query,
                   const RateShare& share) const;
    RunnerPick pick_of(const RunnerEntry& entry, const RunnerQuery& query,
                       const FleetLoad& fleet) const;
    bool is_silent(std::string_view zone, TimePoint now) const;
    const RunnerEntry* cheapest(const std::vector<const RunnerEntry*>& entries,
                                const RunnerQuery& query,
                                const FleetLoad& fleet) const;
    FleetLoad fleet_load(const RunnerQuery& query) const;
    Micros holding_time(std::string_view service) const;

    Entries m_entries;
    UnlistedNotices m_unlisted;
    /// Zones that may be cut off, and until when they are passed over.
    std::map<std::string, TimePoint, std::less<>> m_silent_zones;
    std::set<std::string, std::less<>> m_evacuated; ///< Zones.
    /// Zones that were evacuated, and until when.
    std::map<std::string, TimePoint, std::less<>> m_reopened;
    SettledMembers m_members;
    /// How long calls take their memory, by service.
    std::map<std::string, HoldingTime, std::less<>> m_holding;
    TimePoint m_others_at{}; ///< When the others' load was told last.
    bool m_others_known = false;
};

} // namespace crosslink
