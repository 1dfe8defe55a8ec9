// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/unresolved_failures.h>

#include <crosslink/forward/runner_entry.h>

#include <algorithm>
#include <array>
#include <utility>

namespace crosslink
{

namespace
{

/// Delays after a failure at which a port is probed, in addition to the probe
/// that the call itself makes: early for a port that closes at the same moment,
/// and as late as a process may take to end.
constexpr std::array probe_delays{
    Micros(std::chrono::milliseconds(250)), Micros(std::chrono::seconds(1)),
    Micros(std::chrono::milliseconds(2500)), Micros(std::chrono::seconds(5))};
/// One in this many runners of a zone may disappear at a time without the zone
/// counting as cut off.
constexpr std::size_t zone_divisor = 3;

bool
is_of(const UnresolvedFailure& call, const RunnerIncarnation& runner)
{
    return call.runner == runner.id && call.start_ms == runner.start_ms;
}

/// Adds a key under which a process ended. One that the process broke several
/// times while it ended in steps counts as one end, at the time of the first
/// failure. An answer after that counts against it, however late it is decided
/// that the process ended.
void
add_key(const FailedKey& failed, const UnresolvedFailure& call,
        std::vector<InterruptedCall>& calls)
{
    const auto found = std::find_if(calls.begin(), calls.end(),
                                    [&failed](const InterruptedCall& known) {
                                        return known.key == failed.key;
                                    });
    if (found == calls.end())
        calls.push_back({failed.key, call.runner, call.start_ms, failed.again,
                         call.failed_at});
    else
        found->again = found->again || failed.again;
}

bool
has_key(const UnresolvedFailure& call, std::string_view key)
{
    return std::any_of(
        call.keys.begin(), call.keys.end(),
        [key](const FailedKey& failed) { return failed.key == key; });
}

} // namespace

bool
UnresolvedFailures::add(UnresolvedFailure call, TimePoint now)
{
    expire(now);
    if (m_failures.size() >= max_open)
        m_failures.erase(m_failures.begin());
    m_failures.push_back({std::move(call)});
    const UnresolvedFailure& added = m_failures.back().call;
    return has_ended({added.runner, added.start_ms});
}

bool
UnresolvedFailures::has_ended(const RunnerIncarnation& runner) const
{
    return std::any_of(m_ended.begin(), m_ended.end(),
                       [&runner](const Ended& ended) {
                           return ended.runner == runner.id &&
                                  ended.start_ms == runner.start_ms;
                       });
}

bool
UnresolvedFailures::has(std::string_view key, TimePoint now) const
{
    return std::any_of(m_failures.begin(), m_failures.end(),
                       [&](const Open& open) {
                           return has_key(open.call, key) &&
                                  now < open.call.failed_at + decision_time;
                       });
}

std::vector<InterruptedCall>
UnresolvedFailures::ended(const RunnerIncarnation& runner, TimePoint now)
{
    expire(now);
    std::vector<InterruptedCall> calls;
    for (const Open& open : m_failures)
        if (is_of(open.call, runner))
            for (const FailedKey& key : open.call.keys)
                add_key(key, open.call, calls);
    std::erase_if(m_failures, [&runner](const Open& open) {
        return is_of(open.call, runner);
    });
    // Without its start time, a later process can't be told from this one.
    if (runner.start_ms != 0 && !has_ended(runner))
        m_ended.push_back({std::string(runner.id), runner.start_ms, now});
    return calls;
}

std::vector<InterruptedCall>
UnresolvedFailures::replaced_at(std::string_view address,
                                const RunnerIncarnation& runner, TimePoint now)
{
    std::vector<InterruptedCall> calls;
    const auto first_replaced = [&] {
        return std::find_if(m_failures.begin(), m_failures.end(),
                            [&](const Open& open) {
                                return open.call.address == address &&
                                       !is_of(open.call, runner);
                            });
    };
    expire(now);
    for (auto found = first_replaced(); found != m_failures.end();
         found = first_replaced()) {
        const UnresolvedFailure earlier = found->call;
        const auto under_it = ended({earlier.runner, earlier.start_ms}, now);
        calls.insert(calls.end(), under_it.begin(), under_it.end());
    }
    return calls;
}

void
UnresolvedFailures::leaves(const RunnerIncarnation& runner)
{
    std::erase_if(m_failures, [&runner](const Open& open) {
        return is_of(open.call, runner);
    });
}

void
UnresolvedFailures::lives(const RunnerIncarnation& runner, TimePoint sent_at)
{
    std::erase_if(m_failures, [&](const Open& open) {
        return is_of(open.call, runner) && open.call.failed_at < sent_at;
    });
}

void
UnresolvedFailures::gone(const RunnerIncarnation& runner, std::string_view zone,
                         std::size_t of_zone, TimePoint now)
{
    std::erase_if(m_gone, [now](const Gone& gone) {
        return gone.at + 2 * cutoff_window < now;
    });
    m_gone.push_back({std::string(runner.id), runner.start_ms,
                      std::string(zone), of_zone, now});
    const bool matters =
        std::any_of(m_failures.begin(), m_failures.end(),
                    [&](const Open& open) { return is_of(open.call, runner); });
    if (matters)
        m_undecided.push_back(m_gone.back());
}

std::vector<InterruptedCall>
UnresolvedFailures::take_gone(TimePoint now)
{
    std::vector<InterruptedCall> calls;
    for (const Gone& gone : m_undecided) {
        if (now < gone.at + cutoff_window || !disappeared_alone(gone))
            continue;
        const auto ended_there = ended({gone.runner, gone.start_ms}, now);
        calls.insert(calls.end(), ended_there.begin(), ended_there.end());
    }
    std::erase_if(m_undecided, [now](const Gone& gone) {
        return now >= gone.at + cutoff_window;
    });
    return calls;
}

/// Returns whether few other runners of the zone disappeared at the same time.
bool
UnresolvedFailures::disappeared_alone(const Gone& gone) const
{
    const auto together = static_cast<std::size_t>(
        std::count_if(m_gone.begin(), m_gone.end(), [&](const Gone& other) {
            return other.zone == gone.zone &&
                   std::chrono::abs(other.at - gone.at) <= cutoff_window;
        }));
    return together <= std::max<std::size_t>(gone.of_zone / zone_divisor, 1);
}

std::vector<ProbeTarget>
UnresolvedFailures::take_due(TimePoint now)
{
    expire(now);
    std::vector<ProbeTarget> ports;
    for (Open& open : m_failures) {
        const auto at = next_probe(open);
        if (!at || *at > now)
            continue;
        const UnresolvedFailure& call = open.call;
        const bool is_listed = std::any_of(
            ports.begin(), ports.end(), [&call](const ProbeTarget& port) {
                return port.runner == call.runner &&
                       port.start_ms == call.start_ms;
            });
        if (!is_listed)
            ports.push_back({call.runner, call.start_ms, call.address});
    }
    // One probe covers all failures there whose probes are due soon.
    for (const ProbeTarget& port : ports)
        for (Open& open : m_failures)
            while (is_of(open.call, {port.runner, port.start_ms}) &&
                   next_probe(open) &&
                   *next_probe(open) <= now + min_probe_interval)
                ++open.probes;
    return ports;
}

/// Returns when the port of a failed call is to be probed next.
std::optional<TimePoint>
UnresolvedFailures::next_probe(const Open& open)
{
    if (!open.call.probes_port || open.probes >= probe_delays.size())
        return std::nullopt;
    return open.call.failed_at + probe_delays[open.probes];
}

std::optional<TimePoint>
UnresolvedFailures::next_due() const
{
    std::optional<TimePoint> next;
    const auto consider = [&next](std::optional<TimePoint> at) {
        if (at && (!next || *at < *next))
            next = at;
    };
    for (const Open& open : m_failures)
        consider(next_probe(open));
    for (const Gone& gone : m_undecided)
        consider(gone.at + cutoff_window);
    return next;
}

void
UnresolvedFailures::expire(TimePoint now)
{
    std::erase_if(m_failures, [now](const Open& open) {
        return open.call.failed_at + decision_time <= now;
    });
    std::erase_if(m_ended, [now](const Ended& ended) {
        return ended.at + decision_time <= now;
    });
}

} // namespace crosslink
