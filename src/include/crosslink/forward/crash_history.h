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

/// A call that was under way at a runner when its process ended.
struct InterruptedCall {
    std::string request; ///< See request_digest().
    std::string runner;
    std::uint64_t start_ms = 0; ///< See ListedRunner.
    /// It was sent although the instance knew of another runner's end under the
    /// request, with no answer since.
    bool again = false;
    TimePoint ended_at{}; ///< When the end was seen.
};

/// What instances tell each other of requests under which runners ended. Spans
/// count back from when it is told.
struct CrashUpdate {
    /// See InterruptedCall.
    struct Broken {
        std::string request;
        std::string runner;
        std::uint64_t start_ms = 0;
        bool again = false;
        Micros since_end{0};
    };
    /// A runner answered the request whole.
    struct Answered {
        std::string request;
        Micros since{0};
    };

    /// One more runner broke the request off, and the verdict on it is open.
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

/// Which requests runners ended under, as far as this instance knows, and
/// which of them are sent to no runner any more: those under which
/// `most_ends` runners ended since one answered them whole.
///
/// A process that ends takes all its calls with it, so that a harmless request
/// which many send may be under way at all runners that are lost at one moment.
/// That is one loss, not several: at least one of the calls must have been sent
/// when another runner's end was known. (Times can't tell: those that other
/// instances told are off by up to 0.15 s.) And the request's own answer, from
/// any runner, is the proof that it is harmless.
///
/// Instances tell each other what they see for a moment; a blocked request is
/// also recorded at the platform, which tells those that start. All of it
/// fades: ten minutes after the last runner ended, or when the record goes.
class CrashHistory
{
public:
    /// Runners that may end under a request before it is blocked. Two would
    /// block a request that was under way at a runner lost by chance, and
    /// repeated once beside the one that ends runners.
    static constexpr std::size_t most_ends = 3;
    /// After that nothing is known of a request: what ended runners may have
    /// been mended, and another three runners in ten minutes are little.
    static constexpr Micros remembered = std::chrono::minutes(10);
    /// Requests that are remembered at once. Each end of a runner adds the
    /// calls of this instance there, some tens at most.
    static constexpr std::size_t most_requests = 1024;
    /// Answered requests under which no runner ended that are remembered, in
    /// case that others tell of an end that came before: a second's, where one
    /// instance has 200 calls a second.
    static constexpr std::size_t most_answers = 256;

    /// Takes in that a runner ended under a request. Returns whether it was not
    /// known: several instances may tell of the same end.
    bool ended(const InterruptedCall& call, TimePoint now);
    /// Takes in that a runner answered a request whole at `at`.
    void answered(std::string_view request, TimePoint at, TimePoint now);
    /// Takes in that a request broke off at one more runner at `at`, of which
    /// it is not known yet whether it ended. Where as many ends are known as
    /// block a request, it is held until the verdict: else each instance would
    /// send it on for as long as that takes.
    void hold(std::string_view request, TimePoint at, TimePoint now);
    /// Returns whether a request is to be sent to no runner.
    bool blocked(std::string_view request, TimePoint now) const;
    /// Returns how many runners ended under a request since it was answered.
    std::size_t ends(std::string_view request) const;
    /// Returns the requests that were blocked since the last question.
    std::vector<std::string> take_newly_blocked(TimePoint now);
    /// True where nothing is known of any request.
    bool empty() const { return m_requests.empty(); }

    /// Returns what was learned lately, for other instances.
    CrashUpdate news(TimePoint now) const;
    /// Takes in what another instance told at `as_of`.
    void take(const CrashUpdate& news, TimePoint as_of, TimePoint now);

    /// Takes in that the platform records a request as blocked.
    void recorded(std::string_view request, TimePoint now);
    /// Takes in that it does so no longer: its lease is over, or an operator
    /// took it away. Then nothing is known of the request.
    void unrecorded(std::string_view request);
    /// Takes in all requests that the platform records.
    void recorded_only(const std::set<std::string>& requests);
    /// Returns the blocked requests that are not recorded.
    std::vector<std::string> to_record(TimePoint now) const;
    /// Returns the recorded requests that were answered since: their records
    /// are to go.
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
        std::vector<End> ends; ///< The newest ones, in order of learning.
        std::optional<TimePoint> answered_at;
        TimePoint answer_learned_at{};
        std::optional<TimePoint> recorded_at;
        std::optional<TimePoint> held_at; ///< See hold().
        TimePoint told_until{};           ///< There may be news of it before.
        TimePoint last_at{};       ///< Of the last end, or of its record.
        bool told_blocked = false; ///< See take_newly_blocked().

        bool counts(const End& end) const;
        std::size_t counted() const;
        bool ended_again() const;
        Micros told_span() const;
        bool record_holds() const;
        bool is_blocked() const;
        bool is_held(TimePoint now) const;
    };
    static bool is_same_end(const End& known, const InterruptedCall& call);

    using Requests = std::map<std::string, Request, std::less<>>;

    static void add_news(const std::string& digest, const Request& request,
                         TimePoint now, CrashUpdate& news);
    Request& touch(std::string_view request, TimePoint now);
    void learned(Request& request, TimePoint now);
    void expire(TimePoint now);
    void make_room();
    const Request* find(std::string_view request, TimePoint now) const;

    void note_answer(std::string_view request, TimePoint at);

    Requests m_requests; ///< By digest.
    /// When other requests were answered, by digest, and in order of that.
    std::map<std::string, TimePoint, std::less<>> m_answers;
    std::deque<std::string> m_answer_order;
    /// Until then there may be news to tell; most of the time there are none,
    /// and they are asked for up to 200 times a second.
    TimePoint m_news_until{};
};

} // namespace crosslink
