// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/crash_history.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

struct RunnerIncarnation;

/// A call that its runner broke off or failed, of which it is not known yet
/// whether the runner's process ended.
struct UnresolvedFailure {
    std::string request; ///< See request_digest().
    std::string runner;
    std::uint64_t start_ms = 0; ///< See ListedRunner.
    std::string address;        ///< "ip:port".
    bool again = false;         ///< See InterruptedCall.
    TimePoint broke_at{};
    /// Its port is looked at: the connection broke. One that answered that the
    /// call failed is not, since some services often do so.
    bool is_looked_at = false;
};

/// A process at whose port is to be looked.
struct ProbeTarget {
    std::string runner;
    std::uint64_t start_ms = 0;
    std::string address;
};

/// Calls that wait for a verdict on their runner's process. A process that ends
/// in steps breaks its calls first, and closes its port up to seconds later; on
/// a machine that lost power it never does, and one that a supervisor starts
/// again is back on its port in milliseconds. What comes later tells: the port
/// refuses, a new process is listed under the id or at the address, or the
/// runner is no longer listed though it did not say that it leaves. No caller
/// waits for that.
///
/// A break of which nothing more is learned is no end: connections break for
/// other reasons.
class UnresolvedFailures
{
public:
    /// A verdict may come so long after the break: a runner's entry goes three
    /// heartbeats after its last, and a new one comes with the first of the new
    /// process.
    static constexpr Micros open_for = std::chrono::seconds(6);
    /// Breaks that are kept; the oldest give way.
    static constexpr std::size_t most_open = 512;
    /// A port is looked at so often at most, whatever breaks there.
    static constexpr Micros look_pause = std::chrono::milliseconds(500);
    /// Runners that go within this time of each other may have been cut off
    /// together.
    static constexpr Micros gone_together = std::chrono::milliseconds(1500);

    /// Takes in a break, or a call that failed. Returns whether its process is
    /// known to have ended: ended() is to be asked for the verdict then.
    bool add(UnresolvedFailure call, TimePoint now);
    /// Returns whether one of a request is open.
    bool has(std::string_view request, TimePoint now) const;
    /// Takes in that a process ended, as was learned at `now`. Returns the
    /// calls that count as under way at its end.
    std::vector<InterruptedCall> ended(const RunnerIncarnation& runner,
                                       TimePoint now);
    /// As ended(), for all other processes that were at `address`, where
    /// `runner` is listed now.
    std::vector<InterruptedCall> replaced_at(std::string_view address,
                                             const RunnerIncarnation& runner,
                                             TimePoint now);
    /// Takes in that a process leaves as planned: what broke there is no end.
    void leaves(const RunnerIncarnation& runner);
    /// Takes in that a process answered a call that was sent at `sent_at`: it
    /// lives on, and what broke before is no end.
    void lives(const RunnerIncarnation& runner, TimePoint sent_at);
    /// Takes in that a runner is no longer listed, one of `of_zone` in its
    /// zone. The verdict comes with take_gone(): where more than a third of a
    /// zone goes at a time, the zone was cut off, and they live on.
    void gone(const RunnerIncarnation& runner, std::string_view zone,
              std::size_t of_zone, TimePoint now);
    /// Returns the calls under way at runners that went by themselves.
    std::vector<InterruptedCall> take_gone(TimePoint now);

    /// Returns the processes at whose ports to look now, and counts them as
    /// looked at.
    std::vector<ProbeTarget> take_due(TimePoint now);
    /// Returns when something is to be done next; nothing where nothing is.
    std::optional<TimePoint> next_due() const;
    bool empty() const { return m_breaks.empty(); }

private:
    struct Open {
        UnresolvedFailure call;
        std::size_t looks = 0; ///< That were made since.
    };
    struct Ended {
        std::string runner;
        std::uint64_t start_ms = 0;
        TimePoint at{};
    };
    struct Gone {
        std::string runner;
        std::uint64_t start_ms = 0;
        std::string zone;
        std::size_t of_zone = 0;
        TimePoint at{};
    };

    static std::optional<TimePoint> next_look(const Open& open);
    bool went_alone(const Gone& gone) const;
    bool has_ended(const RunnerIncarnation& runner) const;
    void expire(TimePoint now);

    std::vector<Open> m_breaks; ///< In the order of their coming.
    std::vector<Gone> m_gone;   ///< Of the last seconds.
    std::vector<Gone> m_undecided;
    /// Processes that ended a moment ago: a break may be seen later.
    std::vector<Ended> m_ended;
};

} // namespace crosslink
