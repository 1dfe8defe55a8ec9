// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// A call that was in flight at a runner when the runner's process ended.
struct InterruptedCall {
    std::string request; ///< See request_digest().
    std::string runner;
    std::uint64_t start_ms = 0; ///< See ListedRunner.
    /// True if the call was sent although the instance already knew that
    /// another runner had ended under the request, with no answer since.
    bool again = false;
    TimePoint ended_at{}; ///< When the end was detected.
};

/// What instances report to each other about requests under which runners
/// ended. Durations count back from the time of the report.
struct CrashUpdate {
    /// See InterruptedCall.
    struct Broken {
        std::string request;
        std::string runner;
        std::uint64_t start_ms = 0;
        bool again = false;
        Micros since_end{0};
    };
    /// A request that a runner answered completely.
    struct Answered {
        std::string request;
        Micros since{0};
    };

    /// A request that failed at one more runner, for which it is not yet known
    /// whether the runner's process ended.
    struct Held {
        std::string request;
        Micros since{0};
    };

    std::vector<Broken> broken;
    std::vector<Answered> answered;
    std::vector<Held> held;

    bool empty() const
    {
        return broken.empty() && answered.empty() && held.empty();
    }
};

/// The requests under which runners ended, as far as this instance knows. A
/// request is blocked, that is, sent to no runner any more, once `most_ends`
/// runners ended under it since its last complete answer.
///
/// A process that ends takes all its calls with it. A harmless request that
/// many callers send may therefore be in flight at several runners that are
/// lost at the same moment. This counts as a single loss: to block a request,
/// at least one of the calls must have been sent when the end of another runner
/// was already known. Timestamps can't decide this, since those reported by
/// other instances are off by up to 0.15 s. An answer to the request from any
/// runner proves that the request is harmless.
///
/// Instances report what they see to each other only for a short time. A
/// blocked request is also recorded at the platform, where instances that start
/// read it. All of this expires: ten minutes after the last runner ended, or
/// when the record is removed.
class CrashHistory
{
public:
    /// Number of runners that end under a request before it is blocked. Two
    /// would block a harmless request that lost one runner by chance and was
    /// then repeated on a runner that another request ended.
    static constexpr std::size_t most_ends = 3;
    /// Time after which a request is forgotten. The cause may have been fixed
    /// by then, and losing another three runners in ten minutes is acceptable.
    static constexpr Micros remembered = std::chrono::minutes(10);
    /// Maximum number of requests that are remembered. Each end of a runner
    /// adds the calls that this instance had there, some tens at most.
    static constexpr std::size_t most_requests = 1024;
    /// Maximum number of answered requests without a known end that are
    /// remembered, in case another instance later reports an earlier end. This
    /// covers one second of an instance that has 200 calls a second.
    static constexpr std::size_t most_answers = 256;

    /// Records that a runner ended under a request. Returns whether this is
    /// new: several instances may report the same end.
    bool ended(const InterruptedCall& call, TimePoint now);
    /// Records that a runner answered a request completely at `at`.
    void answered(std::string_view request, TimePoint at, TimePoint now);
    /// Records that a request failed at one more runner at `at`, for which it
    /// is not yet known whether it ended. If as many ends are known as block a
    /// request, the request is held back until this is decided; otherwise each
    /// instance would keep sending it for that long.
    void hold(std::string_view request, TimePoint at, TimePoint now);
    /// Returns whether a request must not be sent to any runner.
    bool blocked(std::string_view request, TimePoint now) const;
    /// Returns how many runners ended under a request since its last answer.
    std::size_t ends(std::string_view request) const;
    /// Returns the requests that became blocked since the previous call.
    std::vector<std::string> take_newly_blocked(TimePoint now);
    /// Returns whether nothing is known of any request.
    bool empty() const { return m_requests.empty(); }

    /// Returns what was learned recently, to be reported to other instances.
    CrashUpdate update(TimePoint now) const;
    /// Merges what another instance reported as of `as_of`.
    void merge(const CrashUpdate& update, TimePoint as_of, TimePoint now);

    /// Records that the platform has a record of a request as blocked.
    void recorded(std::string_view request, TimePoint now);
    /// Records that the platform's record is gone: its lease expired, or an
    /// operator removed it. Everything known of the request is dropped.
    void unrecorded(std::string_view request);
    /// Records that a copy, from which the platform's store was restored, has a
    /// record of a request. An answer that is known came after it.
    void record_restored(std::string_view request, TimePoint now);
    /// Records that such a copy lacks a record: it holds, and is to be made
    /// again.
    void record_lost(std::string_view request);
    /// Drops the recorded requests that are not in `requests`, the complete set
    /// of the platform's records.
    void recorded_only(const std::set<std::string>& requests);
    /// Returns the blocked requests that the platform has no record of yet.
    std::vector<std::string> to_record(TimePoint now) const;
    /// Returns the recorded requests that were answered since. Their records
    /// are to be removed.
    std::vector<std::string> to_unrecord() const;

private:
    struct End {
        std::string runner;
        std::uint64_t start_ms = 0;
        bool again = false;
        TimePoint ended_at{};
        TimePoint learned_at{};
    };
    struct Request {
        /// The newest ones, in the order in which they were learned.
        std::vector<End> ends;
        std::optional<TimePoint> answered_at;
        TimePoint answer_learned_at{};
        std::optional<TimePoint> recorded_at;
        bool is_record_lost = false;      ///< See record_lost().
        std::optional<TimePoint> held_at; ///< See hold().
        TimePoint report_until{};         ///< It is reported to others before.
        TimePoint last_at{}; ///< Time of the last end, or of its record.
        bool reported_blocked = false; ///< See take_newly_blocked().

        bool counts(const End& end) const;
        std::size_t end_count() const;
        bool has_repeated_end() const;
        Micros report_span() const;
        bool has_valid_record() const;
        bool is_blocked() const;
        bool is_held(TimePoint now) const;
    };
    static bool is_same_end(const End& known, const InterruptedCall& call);

    using Requests = std::map<std::string, Request, std::less<>>;

    static void add_to_update(const std::string& digest, const Request& request,
                              TimePoint now, CrashUpdate& update);
    Request& find_or_add(std::string_view request, TimePoint now);
    void mark_changed(Request& request, TimePoint now);
    void expire(TimePoint now);
    void evict_least_suspect();
    const Request* find(std::string_view request, TimePoint now) const;

    void remember_answer(std::string_view request, TimePoint at);

    Requests m_requests; ///< By digest.
    /// Answer times of the requests that are not in m_requests, by digest, and
    /// these digests in order of insertion.
    std::map<std::string, TimePoint, std::less<>> m_answers;
    std::deque<std::string> m_answer_order;
    /// Time until which there may be something to report. Usually there is
    /// nothing, and update() is called up to 200 times a second.
    TimePoint m_report_until{};
};

} // namespace crosslink
