// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/crash_update.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

struct RunnerIncarnation;

/// A key of a failed call.
struct FailedKey {
    std::string key;    ///< See InterruptedCall.
    bool again = false; ///< See InterruptedCall.
};

/// A call that its runner broke off or failed, for which it is not yet known
/// whether the runner's process ended.
struct UnresolvedFailure {
    std::vector<FailedKey> keys;
    std::string runner;
    std::uint64_t start_ms = 0; ///< See ListedRunner.
    std::string address;        ///< "ip:port".
    TimePoint failed_at{};
    /// Whether the runner's port is probed: only if the connection broke. A
    /// runner that answered with a failure is not probed, since some services
    /// often do so.
    bool probes_port = false;
};

/// A process whose port is to be probed.
struct ProbeTarget {
    std::string runner;
    std::uint64_t start_ms = 0;
    std::string address;
};

/// Failed calls for which it is undecided whether the runner's process ended. A
/// process that shuts down in steps breaks its calls first and closes its port
/// up to seconds later. On a machine that lost power, the port never refuses a
/// connection, and a process that a supervisor restarts is back on its port
/// within milliseconds. Later observations decide: the port refuses a
/// connection, a new process is listed under the id or at the address, or the
/// runner is no longer listed although it did not announce that it leaves. No
/// caller waits for the decision.
///
/// A failure without any such observation does not count as the end of a
/// process, since connections break for other reasons too.
class UnresolvedFailures
{
public:
    /// Time after a failure within which it is decided. A runner's entry
    /// expires three heartbeats after the last one, and a new entry appears
    /// with the first heartbeat of the new process.
    static constexpr Micros decision_time = std::chrono::seconds(6);
    /// Maximum number of failures that are kept; the oldest are dropped.
    static constexpr std::size_t max_open = 512;
    /// Minimum interval between probes of a port, however many calls fail
    /// there.
    static constexpr Micros min_probe_interval = std::chrono::milliseconds(500);
    /// Runners that disappear within this time of each other may have been cut
    /// off together.
    static constexpr Micros cutoff_window = std::chrono::milliseconds(1500);

    /// Adds a broken or failed call. Returns whether its process is known to
    /// have ended; ended() must then be called for the calls concerned.
    bool add(UnresolvedFailure call, TimePoint now);
    /// Returns whether a failure of a call with `key` is undecided.
    bool has(std::string_view key, TimePoint now) const;
    /// Records that a process ended, as learned at `now`. Returns the keys of
    /// the calls that count as in flight at its end, each once.
    std::vector<InterruptedCall> ended(const RunnerIncarnation& runner,
                                       TimePoint now);
    /// As ended(), for all other processes that were at `address`, where
    /// `runner` is listed now.
    std::vector<InterruptedCall> replaced_at(std::string_view address,
                                             const RunnerIncarnation& runner,
                                             TimePoint now);
    /// Records that a process leaves as planned. Its failed calls are dropped.
    void leaves(const RunnerIncarnation& runner);
    /// Records that a process answered a call that was sent at `sent_at`. The
    /// process is alive, so that its earlier failures are dropped.
    void lives(const RunnerIncarnation& runner, TimePoint sent_at);
    /// Records that a runner, one of `of_zone` in its zone, is no longer
    /// listed. take_gone() decides later: if more than a third of a zone
    /// disappears at a time, the zone was cut off and its runners are still
    /// alive.
    void gone(const RunnerIncarnation& runner, std::string_view zone,
              std::size_t of_zone, TimePoint now);
    /// Returns the calls in flight at runners that disappeared on their own.
    std::vector<InterruptedCall> take_gone(TimePoint now);

    /// Returns the processes whose ports are to be probed now, and counts them
    /// as probed.
    std::vector<ProbeTarget> take_due(TimePoint now);
    /// Returns when the next probe or decision is due, or nothing if none is.
    std::optional<TimePoint> next_due() const;
    bool empty() const { return m_failures.empty(); }

private:
    struct Open {
        UnresolvedFailure call;
        std::size_t probes = 0; ///< Probes made so far.
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

    static std::optional<TimePoint> next_probe(const Open& open);
    bool disappeared_alone(const Gone& gone) const;
    bool has_ended(const RunnerIncarnation& runner) const;
    void expire(TimePoint now);

    std::vector<Open> m_failures; ///< In order of arrival.
    std::vector<Gone> m_gone;     ///< Of the last seconds.
    std::vector<Gone> m_undecided;
    /// Processes that ended recently. A failed call may be reported later.
    std::vector<Ended> m_ended;
};

} // namespace crosslink
