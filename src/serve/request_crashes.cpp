// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "request_crashes.h"

#include <adapters/clock.h>

#include <algorithm>
#include <utility>

namespace crosslink
{

RequestCrashes::RequestCrashes(Guarded<CrashHistory>& history,
                               Guarded<UnresolvedFailures>& failures,
                               DigestFunction compute_digest,
                               std::vector<std::string> parts)
    : m_history(history), m_failures(failures),
      m_compute_digest(std::move(compute_digest)), m_parts(std::move(parts)),
      m_parts_again(m_parts.size())
{
}

RequestCrashes::~RequestCrashes()
{
    if (m_is_trial)
        m_history.with([this](CrashHistory& history) {
            history.return_trial(m_blocked_key);
        });
}

const std::string&
RequestCrashes::digest()
{
    if (m_digest.empty())
        m_digest = m_compute_digest();
    return m_digest;
}

/// Returns whether an upstream ended lately. If none did, no digest needs to be
/// computed.
bool
RequestCrashes::has_recent_ends()
{
    return m_history.with(
        [](const CrashHistory& history) { return !history.empty(); });
}

bool
RequestCrashes::blocked()
{
    if (m_is_trial || !has_recent_ends())
        return false;
    return m_history.with([this](const CrashHistory& history) {
        const TimePoint now = monotonic_now();
        const auto is_blocked = [&](const std::string& key) {
            return history.blocked(key, now);
        };
        if (is_blocked(digest())) {
            m_blocked_key = digest();
            return true;
        }
        const auto part =
            std::find_if(m_parts.begin(), m_parts.end(), is_blocked);
        if (part == m_parts.end())
            return false;
        m_blocked_key = *part;
        return true;
    });
}

std::vector<std::string>
RequestCrashes::all_keys()
{
    std::vector<std::string> keys = m_parts;
    keys.push_back(digest());
    return keys;
}

bool
RequestCrashes::may_try()
{
    const std::vector<std::string> keys = all_keys();
    return m_history.with([&keys](const CrashHistory& history) {
        return history.may_try(keys, monotonic_now());
    });
}

bool
RequestCrashes::take_trial()
{
    const std::vector<std::string> keys = all_keys();
    m_is_trial = m_history.with([&keys](CrashHistory& history) {
        return history.take_trial(keys, monotonic_now());
    });
    return m_is_trial;
}

/// A failure without a verdict counts too: long before the verdict, the next
/// copy of the request may be sent and end the next runner.
bool
RequestCrashes::failed_before(const std::string& key)
{
    const bool ended =
        has_recent_ends() && m_history.with([&key](const auto& history) {
            return history.ends(key) > 0;
        });
    return ended || m_failures.with([&key](const UnresolvedFailures& failures) {
        return !failures.empty() && failures.has(key, monotonic_now());
    });
}

void
RequestCrashes::record_send()
{
    m_begun = false;
    m_was_trial = std::exchange(m_is_trial, false);
    m_again = failed_before();
    for (std::size_t i = 0; i < m_parts.size(); ++i)
        m_parts_again[i] = failed_before(m_parts[i]);
}

void
RequestCrashes::record_unsent()
{
    m_is_trial = m_was_trial;
}

void
RequestCrashes::record_answer()
{
    record_answered_parts();
    if (!has_recent_ends())
        return;
    m_history.with([this](CrashHistory& history) {
        const TimePoint now = monotonic_now();
        history.answered(digest(), now, now);
    });
}

void
RequestCrashes::record_begun()
{
    if (m_begun)
        return;
    m_begun = true;
    record_answered_parts();
}

/// Records answers although nothing has ended: what stood in an answer before
/// is suspected later; see CrashHistory::settle_time.
void
RequestCrashes::record_answered_parts()
{
    if (m_parts.empty())
        return;
    m_history.with([this](CrashHistory& history) {
        const TimePoint now = monotonic_now();
        for (const std::string& part : m_parts)
            history.answered(part, now, now);
    });
}

/// Returns the keys of the request that may be why its upstream ended.
std::vector<FailedKey>
RequestCrashes::suspect_keys()
{
    std::vector<FailedKey> keys{{digest(), m_again}};
    if (!m_begun)
        for (std::size_t i = 0; i < m_parts.size(); ++i)
            keys.push_back({m_parts[i], m_parts_again[i]});
    return keys;
}

bool
RequestCrashes::record_failure(const ProbeTarget& upstream, bool is_probed)
{
    const TimePoint now = monotonic_now();
    if (m_again)
        m_history.with(
            [&](CrashHistory& history) { history.hold(digest(), now, now); });
    return m_failures.with([&](UnresolvedFailures& failures) {
        return failures.add({suspect_keys(), upstream.runner, upstream.start_ms,
                             upstream.address, now, is_probed},
                            now);
    });
}

std::size_t
record_process_ends(Guarded<CrashHistory>& history,
                    std::span<const InterruptedCall> calls)
{
    if (calls.empty())
        return 0;
    history.with(
        [calls](CrashHistory& known) { known.ended(calls, monotonic_now()); });
    return calls.size();
}

} // namespace crosslink
